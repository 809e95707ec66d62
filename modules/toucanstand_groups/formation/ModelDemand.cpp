#include "formation/ModelDemand.h"

#include <algorithm>
#include <cmath>

namespace toucanstand {

namespace {

/// Groups that the operator's expectation counts as being busy.
constexpr double kPriorBusyGroups = 4.0;
/// A model that nobody asks for now keeps some need.
constexpr double kMinShare = 0.02;

/// Groups that the model's callers keep busy, in any unit that is the same for all.
double BusyGroups(const ModelTerms& aModel, const ModelWork& aWork)
{
  // The operator states the share of all engines that a model's groups should have. It
  // counts like a little measured work, so that the first requests decide nothing.
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
    const double need = std::max(share, kMinShare);
    this->shares[model.name] = need;
    this->enginesPerGroup += need * static_cast<double>(model.groupSize);
  }
}

double ModelDemand::TargetShare(const std::string& aModel) const
{
  const auto found = this->shares.find(aModel);
  return found == this->shares.end() ? kMinShare : found->second;
}

std::size_t ModelDemand::MaxGroups(const std::string& aModel) const
{
  if (this->enginesPerGroup <= 0) {
    return 1;
  }
  const double groups = this->TargetShare(aModel) * this->engines / this->enginesPerGroup;
  return static_cast<std::size_t>(std::max(1.0, std::ceil(groups)));
}

} // namespace toucanstand
