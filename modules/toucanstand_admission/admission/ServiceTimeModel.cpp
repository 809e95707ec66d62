#include "admission/ServiceTimeModel.h"

#include <algorithm>

namespace toucanstand {

namespace {

/// Weight of a new sample in the moving averages.
constexpr double kNewSampleWeight = 0.02;

} // namespace

void ServiceTimeModel::Record(WorkClass aClass, double aCost, double aSeconds)
{
  // Time and cost are averaged separately, because the mean of their quotients would be
  // dominated by small requests with a fixed overhead.
  auto& entry = this->averages[IndexOf(aClass)];
  ++entry.samples;
  const double weight =
    std::max(kNewSampleWeight, 1.0 / static_cast<double>(entry.samples));
  entry.seconds += weight * (aSeconds - entry.seconds);
  entry.cost += weight * (aCost - entry.cost);
}

double ServiceTimeModel::PredictSeconds(WorkClass aClass, double aCost) const
{
  const auto& entry = this->averages[IndexOf(aClass)];
  return entry.cost > 0 ? entry.seconds / entry.cost * aCost : 0.0;
}

double ServiceTimeModel::EquivalentCost(WorkClass aClass, double aSeconds) const
{
  const auto& entry = this->averages[IndexOf(aClass)];
  return entry.seconds > 0 ? entry.cost / entry.seconds * aSeconds : 0.0;
}

double ServiceTimeModel::MeanSeconds(WorkClass aClass) const
{
  return this->averages[IndexOf(aClass)].seconds;
}

} // namespace toucanstand
