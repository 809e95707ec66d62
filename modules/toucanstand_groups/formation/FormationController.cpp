#include "formation/FormationController.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include <nlohmann/json.hpp>

namespace toucanstand {

FormationController::FormationController(PoolId aPool)
  : pool(std::move(aPool))
{
}

void FormationController::Begin(std::int64_t aTerm)
{
  this->term = aTerm;
  this->lifecycle.Begin(aTerm);
  this->staging.Begin(aTerm);
}

std::vector<EngineOrder> FormationController::Plan(const FormationInputs& aInputs,
                                                   TimePoint aNow)
{
  Situation situation{ aInputs,
                       aInputs.directory.GroupsOf(this->pool),
                       ModelDemand(aInputs, this->CountUsable(aInputs.directory)),
                       aNow };
  this->staging.Update(this->pool, aInputs, aNow);
  this->lifecycle.Step(aInputs, situation.observed, aNow);
  auto free = this->FreeEngines(aInputs.directory);
  if (!aInputs.cost.models.empty()) {
    this->FormGroups(situation, free);
    this->Summarize(situation, free);
    const auto taken = this->StageForGroups(situation, free);
    this->MoveEngines(situation, free);
    this->StageSpares(situation, free, taken);
    this->StageAhead(situation);
  }
  auto orders = this->lifecycle.TakeOrders();
  std::ranges::move(this->staging.TakeOrders(), std::back_inserter(orders));
  return orders;
}

void FormationController::OnReply(const EngineOrder& aOrder,
                                  OrderReply aReply,
                                  TimePoint aNow)
{
  this->lifecycle.OnReply(aOrder, aReply, aNow);
  this->staging.OnReply(aOrder, aReply);
}

std::size_t FormationController::CountUsable(const ServerDirectory& aDirectory) const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    aDirectory.Servers() | std::views::values, [this](const ServerEntry& aEntry) {
      return aEntry.pool == this->pool && this->lifecycle.IsUsable(aEntry);
    }));
}

FormationController::Engines FormationController::FreeEngines(
  const ServerDirectory& aDirectory) const
{
  Engines free;
  for (const auto& entry : aDirectory.Servers() | std::views::values) {
    if (entry.pool == this->pool && this->lifecycle.IsFree(entry)) {
      free.push_back(&entry);
    }
  }
  return free;
}

double FormationController::Supply(const Situation& aSituation,
                                   const ModelTerms& aModel,
                                   double aFurtherGroups) const
{
  const auto groups = static_cast<double>(this->lifecycle.CountOf(aModel.name));
  return (groups + aFurtherGroups) / aSituation.demand.NeedOf(aModel.name);
}

const ModelTerms& FormationController::MostLacking(const Situation& aSituation) const
{
  return *std::ranges::min_element(
    aSituation.inputs.cost.models, {}, [&](const ModelTerms& aModel) {
      return this->Supply(aSituation, aModel);
    });
}

void FormationController::FormGroups(const Situation& aSituation, Engines& aFree)
{
  auto models = aSituation.inputs.cost.models;
  while (!models.empty()) {
    // The model with the fewest groups for its need first; the larger one of equals.
    const auto next = std::ranges::min_element(models, {}, [&](const ModelTerms& aModel) {
      return std::pair(this->Supply(aSituation, aModel),
                       -static_cast<double>(aModel.groupSize));
    });
    const bool wanted =
      this->lifecycle.CountOf(next->name) < aSituation.demand.MostGroups(next->name);
    if (!wanted || !this->FormOne(aSituation, *next, aFree)) {
      models.erase(next);
    }
  }
}

bool FormationController::FormOne(const Situation& aSituation,
                                  const ModelTerms& aModel,
                                  Engines& aFree)
{
  const auto& inputs = aSituation.inputs;
  std::map<DomainId, Engines> byDomain;
  for (const auto* entry : aFree) {
    // Once callers are served, weights are staged first: members that are ready would
    // wait for the load of one that is cold.
    const bool quick = !inputs.trafficStarted ||
                       this->staging.CostOf(*entry, aModel.name) != JoinCost::Cold;
    if (quick && this->MayForm(entry->domain, aModel.name)) {
      byDomain[entry->domain].push_back(entry);
    }
  }
  const std::size_t largest =
    std::ranges::max(inputs.cost.models | std::views::transform(&ModelTerms::groupSize));
  // Best fit: what remains should be whole groups of the largest model.
  const Engines* best = nullptr;
  std::pair<std::size_t, std::size_t> bestFit;
  for (const auto& candidates : byDomain | std::views::values) {
    if (candidates.size() < aModel.groupSize) {
      continue;
    }
    const std::pair fit((candidates.size() - aModel.groupSize) % largest,
                        candidates.size());
    if (best == nullptr || fit < bestFit) {
      best = &candidates;
      bestFit = fit;
    }
  }
  if (best == nullptr) {
    return false;
  }
  const auto members = this->Quickest(*best, aModel);
  this->lifecycle.Form(aModel.name, members, aSituation.now);
  std::erase_if(aFree, [&members](const ServerEntry* aEntry) {
    return std::ranges::find(members, aEntry) != members.end();
  });
  return true;
}

FormationController::Engines FormationController::Quickest(Engines aEngines,
                                                           const ModelTerms& aModel) const
{
  std::ranges::stable_sort(aEngines, {}, [&](const ServerEntry* aEntry) {
    return this->staging.CostOf(*aEntry, aModel.name);
  });
  aEngines.resize(aModel.groupSize);
  return aEngines;
}

bool FormationController::MayForm(const DomainId& aDomain,
                                  const std::string& aModel) const
{
  return std::ranges::none_of(
    this->lifecycle.Groups() | std::views::values, [&](const GroupRecord& aRecord) {
      return aRecord.IsMoving() && aRecord.domain == aDomain && aRecord.movesTo != aModel;
    });
}

void FormationController::MoveEngines(const Situation& aSituation, const Engines& aFree)
{
  const bool moving = std::ranges::any_of(this->lifecycle.Groups() | std::views::values,
                                          &GroupRecord::IsMoving);
  if (moving) {
    return;
  }
  const auto& lacking = this->MostLacking(aSituation);
  const auto donor = this->DonorFor(aSituation, lacking, aFree);
  if (!donor) {
    return;
  }
  // A cold engine would keep the others waiting for the whole time of a load.
  if (donor->cold.empty()) {
    this->lifecycle.Move(donor->group, lacking.name, donor->domain, aSituation.now);
    return;
  }
  for (const auto* entry : donor->cold) {
    this->staging.StageIfAffordable(
      *entry, lacking.name, aSituation.inputs, aSituation.now);
  }
}

std::optional<FormationController::Donor> FormationController::DonorFor(
  const Situation& aSituation,
  const ModelTerms& aLacking,
  const Engines& aFree) const
{
  const double lackingAfter = this->Supply(aSituation, aLacking, 1);
  std::optional<Donor> best;
  for (const auto& [id, record] : this->lifecycle.Groups()) {
    const auto* terms = aSituation.inputs.cost.FindModel(record.model);
    const auto seen = aSituation.observed.find(id);
    const bool mayGive = record.phase == GroupPhase::Standing && terms != nullptr &&
                         seen != aSituation.observed.end() &&
                         seen->second.Head() != nullptr &&
                         record.model != aLacking.name &&
                         this->Supply(aSituation, *terms, -1) >= lackingAfter;
    if (!mayGive) {
      continue;
    }
    auto candidate = this->AsDonor(seen->second, aLacking, aFree);
    if (candidate && (!best || candidate->cold.size() < best->cold.size())) {
      best = std::move(candidate);
    }
  }
  return best;
}

std::optional<FormationController::Donor> FormationController::AsDonor(
  const ObservedGroup& aGroup,
  const ModelTerms& aLacking,
  const Engines& aFree) const
{
  const auto& domain = aGroup.Head()->domain;
  auto engines = aGroup.members;
  std::ranges::copy_if(
    aFree, std::back_inserter(engines), [&domain](const ServerEntry* aEntry) {
      return aEntry->domain == domain;
    });
  const bool useful = engines.size() > aGroup.members.size();
  if (!useful || engines.size() < aLacking.groupSize) {
    return std::nullopt;
  }
  Donor donor{ aGroup.id, domain, {} };
  std::ranges::copy_if(this->Quickest(std::move(engines), aLacking),
                       std::back_inserter(donor.cold),
                       [&](const ServerEntry* aEntry) {
                         return this->staging.CostOf(*aEntry, aLacking.name) ==
                                JoinCost::Cold;
                       });
  return donor;
}

std::optional<FormationController::Prospect> FormationController::ProspectOf(
  const Situation& aSituation,
  const ModelTerms& aModel,
  const Engines& aDomain) const
{
  Engines available;
  std::ranges::copy_if(
    aDomain, std::back_inserter(available), [&](const ServerEntry* aEntry) {
      return !this->staging.IsLoading(aEntry->id) ||
             this->staging.IsLoading(aEntry->id, aModel.name);
    });
  if (available.size() < aModel.groupSize) {
    return std::nullopt;
  }
  Prospect prospect;
  prospect.model = &aModel;
  prospect.members = this->Quickest(std::move(available), aModel);
  std::ranges::copy_if(
    prospect.members, std::back_inserter(prospect.cold), [&](const ServerEntry* aEntry) {
      return this->staging.CostOf(*aEntry, aModel.name) == JoinCost::Cold &&
             !this->staging.IsLoading(aEntry->id);
    });
  const auto loads = std::max<std::size_t>(prospect.cold.size(), 1);
  prospect.engineGain =
    static_cast<double>(aModel.groupSize) / static_cast<double>(loads);
  prospect.supply = this->Supply(aSituation, aModel);
  return prospect;
}

std::vector<FormationController::Prospect> FormationController::Prospects(
  const Situation& aSituation,
  const Engines& aFree) const
{
  std::map<DomainId, Engines> byDomain;
  for (const auto* entry : aFree) {
    byDomain[entry->domain].push_back(entry);
  }
  std::vector<Prospect> prospects;
  for (const auto& [domain, engines] : byDomain) {
    for (const auto& model : aSituation.inputs.cost.models) {
      if (!this->MayForm(domain, model.name)) {
        continue;
      }
      if (auto prospect = this->ProspectOf(aSituation, model, engines)) {
        prospects.push_back(std::move(*prospect));
      }
    }
  }
  std::ranges::stable_sort(prospects, {}, [](const Prospect& aProspect) {
    return std::pair(-aProspect.engineGain, aProspect.supply);
  });
  return prospects;
}

std::set<ServerId> FormationController::StageForGroups(const Situation& aSituation,
                                                       const Engines& aFree)
{
  std::set<ServerId> taken;
  std::map<std::string, std::size_t> planned;
  for (const auto& prospect : this->Prospects(aSituation, aFree)) {
    const auto& model = prospect.model->name;
    const bool wanted = this->lifecycle.CountOf(model) + planned[model] <
                        aSituation.demand.MostGroups(model);
    const bool apart =
      std::ranges::none_of(prospect.members, [&taken](const ServerEntry* aEntry) {
        return taken.contains(aEntry->id);
      });
    if (!wanted || !apart) {
      continue;
    }
    ++planned[model];
    for (const auto* member : prospect.members) {
      taken.insert(member->id);
    }
    for (const auto* member : prospect.cold) {
      this->staging.StageIfAffordable(*member, model, aSituation.inputs, aSituation.now);
    }
  }
  return taken;
}

void FormationController::StageSpares(const Situation& aSituation,
                                      const Engines& aFree,
                                      const std::set<ServerId>& aTaken)
{
  // Engines that each model has in the groups of a domain.
  std::map<std::pair<DomainId, std::string>, std::size_t> inService;
  for (const auto& group : aSituation.observed | std::views::values) {
    for (const auto* member : group.members) {
      ++inService[{ member->domain, ModelOfGroup(group.id) }];
    }
  }
  const auto& models = aSituation.inputs.cost.models;
  for (const auto* entry : aFree) {
    const bool isSpare =
      !aTaken.contains(entry->id) &&
      std::ranges::all_of(models, [&](const ModelTerms& aModel) {
        return this->staging.CostOf(*entry, aModel.name) == JoinCost::Cold;
      });
    if (!isSpare) {
      continue;
    }
    const auto& model = *std::ranges::max_element(
      models, {}, [&inService, entry](const ModelTerms& aModel) {
        return inService[{ entry->domain, aModel.name }];
      });
    this->staging.StageIfAffordable(
      *entry, model.name, aSituation.inputs, aSituation.now);
  }
}

void FormationController::StageAhead(const Situation& aSituation)
{
  const bool forming = std::ranges::any_of(
    this->lifecycle.Groups() | std::views::values,
    [](const GroupRecord& aRecord) { return aRecord.phase == GroupPhase::Forming; });
  if (forming) {
    return;
  }
  // Members of small groups first: with a free engine or two they make a large one.
  std::vector<std::pair<std::size_t, const ServerEntry*>> members;
  for (const auto& group : aSituation.observed | std::views::values) {
    for (const auto* member : group.members) {
      members.emplace_back(group.members.size(), member);
    }
  }
  std::ranges::stable_sort(members, {}, &decltype(members)::value_type::first);
  const auto& models = aSituation.inputs.cost.models;
  for (const auto& [size, member] : members) {
    if (this->staging.IsBusy(aSituation.inputs)) {
      return;
    }
    const auto other = std::ranges::find_if(models, [&](const ModelTerms& aModel) {
      return this->staging.CostOf(*member, aModel.name) == JoinCost::Cold;
    });
    if (other != models.end()) {
      this->staging.StageIfAffordable(
        *member, other->name, aSituation.inputs, aSituation.now);
    }
  }
}

void FormationController::Summarize(const Situation& aSituation, const Engines& aFree)
{
  this->summary.clear();
  for (const auto& model : aSituation.inputs.cost.models) {
    this->summary +=
      model.name + ": " + std::to_string(this->lifecycle.CountOf(model.name)) +
      " of at most " + std::to_string(aSituation.demand.MostGroups(model.name)) + "; ";
  }
  std::map<DomainId, std::size_t> free;
  for (const auto* entry : aFree) {
    ++free[entry->domain];
  }
  this->summary += "free by domain:";
  for (const auto& [domain, count] : free) {
    this->summary += " " + domain.Value() + "=" + std::to_string(count);
  }
}

std::vector<GroupId> FormationController::EndingGroups() const
{
  std::vector<GroupId> ending;
  for (const auto& [id, record] : this->lifecycle.Groups()) {
    if (record.phase == GroupPhase::Retiring || record.phase == GroupPhase::Dissolved) {
      ending.push_back(id);
    }
  }
  return ending;
}

nlohmann::json FormationController::Describe() const
{
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [id, record] : this->lifecycle.Groups()) {
    list.push_back({ { "id", id.Value() },
                     { "model", record.model },
                     { "phase", Name(record.phase) },
                     { "head", record.head.Value() } });
  }
  return { { "term", this->term }, { "groups", std::move(list) } };
}

} // namespace toucanstand
