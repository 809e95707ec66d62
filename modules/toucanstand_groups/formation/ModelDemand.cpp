#include "formation/ModelDemand.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>
#include <ranges>
#include <set>
#include <utility>

namespace toucanstand {

namespace {

/// The configured shares count as much as a measured load of this many busy groups.
constexpr double kPriorBusyGroups = 4.0;
/// Minimum share of a model, so that one without current requests keeps some groups.
constexpr double kMinShare = 0.02;

/// Number of groups of each model.
using Groups = std::map<std::string, double>;

/// Estimated number of groups that the model's requests keep busy.
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

Groups BusyGroups(const FormationInputs& aInputs)
{
  Groups busy;
  for (const auto& model : aInputs.cost.models) {
    busy[model.name] = BusyGroups(model, aInputs.work);
  }
  return busy;
}

double EnginesOf(const EngineCostModel& aCost, const Groups& aGroups)
{
  return std::accumulate(
    aCost.models.begin(), aCost.models.end(), 0.0, [&](double aSum, const auto& aModel) {
      return aSum + aGroups.at(aModel.name) * static_cast<double>(aModel.groupSize);
    });
}

/// The priorities of all models' requests, the most urgent first.
std::set<int> Priorities(const FormationInputs& aInputs)
{
  std::set<int> priorities;
  for (const auto& model : aInputs.cost.models) {
    const auto mix = aInputs.mix.find(model.name);
    if (mix != aInputs.mix.end()) {
      std::ranges::copy(mix->second | std::views::keys,
                        std::inserter(priorities, priorities.end()));
    }
  }
  return priorities;
}

/// Share of a model's work that is at least as urgent as the priority. Work of unknown
/// priority is the least urgent.
double ShareUpTo(const FormationInputs& aInputs,
                 const std::string& aModel,
                 int aPriority,
                 bool aIsLeastUrgent)
{
  const auto mix = aInputs.mix.find(aModel);
  if (aIsLeastUrgent || mix == aInputs.mix.end()) {
    return aIsLeastUrgent ? 1.0 : 0.0;
  }
  double total = 0;
  double urgent = 0;
  for (const auto& [priority, work] : mix->second) {
    total += work;
    urgent += priority <= aPriority ? work : 0.0;
  }
  return total > 0 ? urgent / total : 0.0;
}

/// Divides the engines among the models, the most urgent work of all models first. The
/// priority at which they run out is supplied in proportion.
Groups SupplyByUrgency(const FormationInputs& aInputs,
                       const Groups& aBusy,
                       double aEngines)
{
  const auto priorities = Priorities(aInputs);
  if (priorities.size() < 2) {
    return aBusy;
  }
  const double proportional = aEngines / EnginesOf(aInputs.cost, aBusy);
  Groups supply = aBusy;
  for (auto& groups : supply | std::views::values) {
    groups *= proportional * ModelDemand::kMinSupply;
  }
  for (const int priority : priorities) {
    auto wanted = supply;
    for (auto& [model, groups] : wanted) {
      const double share =
        ShareUpTo(aInputs, model, priority, priority == *priorities.rbegin());
      groups = std::max(groups, aBusy.at(model) * (1.0 + ModelDemand::kHeadroom) * share);
    }
    const double supplied = EnginesOf(aInputs.cost, supply);
    const double needed = EnginesOf(aInputs.cost, wanted) - supplied;
    if (needed > aEngines - supplied) {
      const double part = (aEngines - supplied) / needed;
      for (auto& [model, groups] : supply) {
        groups += part * (wanted.at(model) - groups);
      }
      return supply;
    }
    supply = std::move(wanted);
  }
  return supply;
}

} // namespace

bool ModelDemand::IsShort(const FormationInputs& aInputs, std::size_t aEngines)
{
  return EnginesOf(aInputs.cost, BusyGroups(aInputs)) * (1.0 + kHeadroom) >
         static_cast<double>(aEngines);
}

ModelDemand::ModelDemand(const FormationInputs& aInputs,
                         std::size_t aEngines,
                         Order aOrder)
  : engines(static_cast<double>(aEngines))
{
  auto groups = BusyGroups(aInputs);
  if (aOrder == Order::ByUrgency && IsShort(aInputs, aEngines)) {
    groups = SupplyByUrgency(aInputs, groups, this->engines);
  }
  double total = 0;
  for (const auto& model : aInputs.cost.models) {
    total += groups.at(model.name);
  }
  for (const auto& model : aInputs.cost.models) {
    const double share = total > 0 ? groups.at(model.name) / total : 1.0;
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
