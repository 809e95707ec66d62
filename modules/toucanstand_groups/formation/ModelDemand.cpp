#include "formation/ModelDemand.h"

#include <algorithm>
#include <cmath>

namespace toucanstand {

namespace {

/// The configured shares count as much as a measured load of this many busy groups.
constexpr double kPriorBusyGroups = 4.0;
/// Minimum share of a model, so that one without current requests keeps some groups.
constexpr double kMinShare = 0.02;

/// Estimated number of groups that the model's requests keep busy; only the ratio between
/// models matters.
double BusyGroups(const ModelTerms& aModel, const ModelWork& aWork)
{
  // The configured share of all engines counts like a small measured load, so that the
  // first few requests do not determine the shares.
  const double expected =
    kPriorBusyGroups * aModel.engineShare / static_cast<double>(aModel.groupSize);
  const auto measured = aWork.find(aModel.name);
  return expected +
         (measured == aWork.end() ? 0.0 : measured->second * aModel.paceFactor);
}

} // namespace

ModelDemand::ModelDemand(const FormationInputs& aInputs, std::size_t aEngines)
  : engines(static_cast<double>(aEngines))
{
  double total = 0;
  for (const auto& model : aInputs.cost.models) {
    total += BusyGroups(model, aInputs.work);
  }
  for (const auto& model : aInputs.cost.models) {
    const double share = total > 0 ? BusyGroups(model, aInputs.work) / total : 1.0;
    const double targetShare = std::max(share, kMinShare);
    this->shares[model.name] = targetShare;
    this->meanGroupSize += targetShare * static_cast<double>(model.groupSize);
  }
}

double ModelDemand::TargetShare(const std::string& aModel) const
{
  const auto found = this->shares.find(aModel);
  return found == this->shares.end() ? kMinShare : found->second;
}

std::size_t ModelDemand::MaxGroups(const std::string& aModel) const
{
  if (this->meanGroupSize <= 0) {
    return 1;
  }
  const double groups = this->TargetShare(aModel) * this->engines / this->meanGroupSize;
  return static_cast<std::size_t>(std::max(1.0, std::ceil(groups)));
}

} // namespace toucanstand
