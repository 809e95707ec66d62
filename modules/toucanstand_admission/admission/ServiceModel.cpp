#include "admission/ServiceModel.h"

#include <algorithm>

namespace toucanstand {

namespace {

/// Weight of a new sample.
constexpr double kWeight = 0.02;

} // namespace

void ServiceModel::Record(WorkClass aClass, double aCost, double aSeconds)
{
  // Time and cost are averaged separately: the mean of their quotients would be dominated
  // by small requests with a fixed overhead.
  auto& entry = this->averages[IndexOf(aClass)];
  ++entry.samples;
  const double weight = std::max(kWeight, 1.0 / static_cast<double>(entry.samples));
  entry.seconds += weight * (aSeconds - entry.seconds);
  entry.cost += weight * (aCost - entry.cost);
}

double ServiceModel::Predict(WorkClass aClass, double aCost) const
{
  const auto& entry = this->averages[IndexOf(aClass)];
  return entry.cost > 0 ? entry.seconds / entry.cost * aCost : 0.0;
}

double ServiceModel::CostOf(WorkClass aClass, double aSeconds) const
{
  const auto& entry = this->averages[IndexOf(aClass)];
  return entry.seconds > 0 ? entry.cost / entry.seconds * aSeconds : 0.0;
}

double ServiceModel::Mean(WorkClass aClass) const
{
  return this->averages[IndexOf(aClass)].seconds;
}

} // namespace toucanstand
