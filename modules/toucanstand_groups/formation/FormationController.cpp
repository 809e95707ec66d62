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

void FormationController::StartTerm(std::int64_t aTerm)
{
  this->term = aTerm;
  this->fence = aTerm;
  this->shortSince.reset();
  this->lastFences.clear();
  this->lifecycle.StartTerm(aTerm);
  this->staging.StartTerm();
}

std::vector<EngineOrder> FormationController::Plan(const FormationInputs& aInputs,
                                                   TimePoint aNow)
{
  const auto usable = this->CountUsable(aInputs);
  PlanContext context{ aInputs,
                       aInputs.directory.GroupsOf(this->pool),
                       ModelDemand(
                         aInputs, usable, this->SupplyOrder(aInputs, usable, aNow)),
                       aNow };
  this->staging.Update(this->pool, aInputs, aNow);
  this->lifecycle.Step(aInputs, context.observed, aNow);
  // The groups of an evacuated zone stay as they are, and take no part in the plan.
  std::erase_if(context.observed, [&aInputs](const auto& aGroup) {
    return aInputs.IsEvacuated(aGroup.second.members.front()->zone);
  });
  auto free = this->FreeEngines(aInputs.directory);
  std::erase_if(free, [&aInputs](const ServerEntry* aEntry) {
    return aInputs.IsEvacuated(aEntry->zone) ||
           (aInputs.isWaiting && aInputs.isWaiting(aEntry->id));
  });
  if (!aInputs.cost.models.empty()) {
    this->FormGroups(context, free);
    this->UpdateSummary(context, free);
    const auto taken = this->StageForCandidateGroups(context, free);
    this->ReassignEngines(context, free);
    this->StageForRepair(context, free, taken);
    this->StageForReassignment(context);
  }
  return this->TakeOrders(aInputs);
}

std::vector<EngineOrder> FormationController::TakeOrders(const FormationInputs& aInputs)
{
  auto orders = this->lifecycle.TakeOrders();
  std::ranges::move(this->staging.TakeOrders(), std::back_inserter(orders));
  std::erase_if(this->lastFences, [&aInputs](const auto& aLast) {
    return aInputs.directory.Find(aLast.first) == nullptr;
  });
  // A read that is served from an older copy of the store sets its revision back.
  this->fence = std::max(this->fence, aInputs.fence);
  for (auto& order : orders) {
    order.fence = this->fence;
    this->lastFences[order.server] = this->fence;
  }
  return orders;
}

void FormationController::OnReply(const EngineOrder& aOrder,
                                  EngineOrderReply aReply,
                                  TimePoint aNow)
{
  const auto last = this->lastFences.find(aOrder.server);
  const bool isOvertaken = aReply == EngineOrderReply::Outdated &&
                           last != this->lastFences.end() && aOrder.fence < last->second;
  if (isOvertaken) {
    // A later order of this term arrived first. The engine has not seen another lease
    // holder, and an order without effect is repeated.
    return;
  }
  this->lifecycle.OnReply(aOrder, aReply, aNow);
  this->staging.OnReply(aOrder, aReply);
}

ModelDemand::Order FormationController::SupplyOrder(const FormationInputs& aInputs,
                                                    std::size_t aUsable,
                                                    TimePoint aNow)
{
  if (!ModelDemand::IsShort(aInputs, aUsable)) {
    this->shortSince.reset();
    return ModelDemand::Order::Proportional;
  }
  if (!this->shortSince) {
    this->shortSince = aNow;
  }
  // A group that is closed for a shorter peak would come back after it.
  Duration longestLoad{ 0 };
  for (const auto& model : aInputs.cost.models) {
    longestLoad = std::max(longestLoad, model.loadTime);
  }
  return aNow - *this->shortSince >= longestLoad ? ModelDemand::Order::ByUrgency
                                                 : ModelDemand::Order::Proportional;
}

std::size_t FormationController::CountUsable(const FormationInputs& aInputs) const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    aInputs.directory.Servers() | std::views::values, [&](const ServerEntry& aEntry) {
      return aEntry.pool == this->pool && !aInputs.IsEvacuated(aEntry.zone) &&
             this->lifecycle.IsUsable(aEntry);
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

double FormationController::SupplyRatio(const PlanContext& aContext,
                                        const ModelTerms& aModel,
                                        double aAdditionalGroups) const
{
  const auto groups = static_cast<double>(this->lifecycle.GroupCount(aModel.name));
  return (groups + aAdditionalGroups) / aContext.demand.TargetShare(aModel.name);
}

const ModelTerms& FormationController::MostUndersupplied(
  const PlanContext& aContext) const
{
  return *std::ranges::min_element(
    aContext.inputs.cost.models, {}, [&](const ModelTerms& aModel) {
      return this->SupplyRatio(aContext, aModel);
    });
}

void FormationController::FormGroups(const PlanContext& aContext, Engines& aFree)
{
  auto models = aContext.inputs.cost.models;
  while (!models.empty()) {
    // The model with the lowest supply ratio comes first; between equals, the one with
    // the larger groups.
    const auto next = std::ranges::min_element(models, {}, [&](const ModelTerms& aModel) {
      return std::pair(this->SupplyRatio(aContext, aModel),
                       -static_cast<double>(aModel.groupSize));
    });
    const bool wanted =
      this->lifecycle.GroupCount(next->name) < aContext.demand.MaxGroups(next->name);
    if (!wanted || !this->TryFormGroup(aContext, *next, aFree)) {
      models.erase(next);
    }
  }
}

bool FormationController::TryFormGroup(const PlanContext& aContext,
                                       const ModelTerms& aModel,
                                       Engines& aFree)
{
  const auto& inputs = aContext.inputs;
  std::map<DomainId, Engines> byDomain;
  for (const auto* entry : aFree) {
    // Once requests arrive, weights are staged before a group is formed: members that are
    // ready would otherwise wait idle for a member that has to load them.
    const bool withoutLoad = !inputs.trafficStarted ||
                             this->staging.CostOf(*entry, aModel.name) != JoinCost::Cold;
    if (withoutLoad && this->IsDomainAvailableFor(entry->domain, aModel.name)) {
      byDomain[entry->domain].push_back(entry);
    }
  }
  const std::size_t largest =
    std::ranges::max(inputs.cost.models | std::views::transform(&ModelTerms::groupSize));
  // Best fit: prefer the domain in which the fewest free engines are left over after
  // forming this group and as many groups of the largest size as possible, then the
  // domain with the fewest free engines.
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
  const auto members = this->FastestToJoin(*best, aModel);
  this->lifecycle.Form(aModel.name, members, aContext.now);
  std::erase_if(aFree, [&members](const ServerEntry* aEntry) {
    return std::ranges::find(members, aEntry) != members.end();
  });
  return true;
}

FormationController::Engines FormationController::FastestToJoin(
  Engines aEngines,
  const ModelTerms& aModel) const
{
  std::ranges::stable_sort(aEngines, {}, [&](const ServerEntry* aEntry) {
    return this->staging.CostOf(*aEntry, aModel.name);
  });
  aEngines.resize(aModel.groupSize);
  return aEngines;
}

bool FormationController::IsDomainAvailableFor(const DomainId& aDomain,
                                               const std::string& aModel) const
{
  return std::ranges::none_of(
    this->lifecycle.Groups() | std::views::values, [&](const GroupRecord& aRecord) {
      return aRecord.IsBeingReassigned() && aRecord.domain == aDomain &&
             aRecord.reassignedTo != aModel;
    });
}

void FormationController::ReassignEngines(const PlanContext& aContext,
                                          const Engines& aFree)
{
  const bool reassigning = std::ranges::any_of(
    this->lifecycle.Groups() | std::views::values, [](const GroupRecord& aRecord) {
      return aRecord.IsBeingReassigned() && !aRecord.isEvacuated;
    });
  if (reassigning) {
    return;
  }
  const auto& target = this->MostUndersupplied(aContext);
  const auto donor = this->FindDonor(aContext, target, aFree);
  if (!donor) {
    return;
  }
  // Reassign only when every engine has the weights; otherwise all engines of the new
  // group would be out of service for the duration of a load.
  if (donor->cold.empty()) {
    this->lifecycle.Reassign(donor->group,
                             target.name,
                             donor->domain,
                             aContext.inputs.longestRequest,
                             aContext.now);
    return;
  }
  for (const auto* entry : donor->cold) {
    this->staging.TryStage(*entry, target.name, aContext.inputs, aContext.now);
  }
}

std::optional<FormationController::Donor> FormationController::FindDonor(
  const PlanContext& aContext,
  const ModelTerms& aTarget,
  const Engines& aFree) const
{
  const double targetRatioAfter = this->SupplyRatio(aContext, aTarget, 1);
  std::optional<Donor> best;
  for (const auto& [id, record] : this->lifecycle.Groups()) {
    const auto* terms = aContext.inputs.cost.FindModel(record.model);
    const auto seen = aContext.observed.find(id);
    const bool canDonate = record.phase == GroupPhase::Active && !record.isEvacuated &&
                           terms != nullptr && seen != aContext.observed.end() &&
                           seen->second.Head() != nullptr &&
                           record.model != aTarget.name &&
                           this->SupplyRatio(aContext, *terms, -1) >= targetRatioAfter;
    if (!canDonate) {
      continue;
    }
    auto candidate = this->MakeDonor(seen->second, aTarget, aFree);
    if (candidate && (!best || candidate->cold.size() < best->cold.size())) {
      best = std::move(candidate);
    }
  }
  return best;
}

std::optional<FormationController::Donor> FormationController::MakeDonor(
  const ObservedGroup& aGroup,
  const ModelTerms& aTarget,
  const Engines& aFree) const
{
  const auto& domain = aGroup.Head()->domain;
  auto engines = aGroup.members;
  std::ranges::copy_if(
    aFree, std::back_inserter(engines), [&domain](const ServerEntry* aEntry) {
      return aEntry->domain == domain;
    });
  const bool hasFreeEngines = engines.size() > aGroup.members.size();
  if (!hasFreeEngines || engines.size() < aTarget.groupSize) {
    return std::nullopt;
  }
  Donor donor{ aGroup.id, domain, {} };
  std::ranges::copy_if(this->FastestToJoin(std::move(engines), aTarget),
                       std::back_inserter(donor.cold),
                       [&](const ServerEntry* aEntry) {
                         return this->staging.CostOf(*aEntry, aTarget.name) ==
                                JoinCost::Cold;
                       });
  return donor;
}

std::optional<FormationController::CandidateGroup>
FormationController::MakeCandidateGroup(const PlanContext& aContext,
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
  CandidateGroup candidate;
  candidate.model = &aModel;
  candidate.members = this->FastestToJoin(std::move(available), aModel);
  std::ranges::copy_if(candidate.members,
                       std::back_inserter(candidate.cold),
                       [&](const ServerEntry* aEntry) {
                         return this->staging.CostOf(*aEntry, aModel.name) ==
                                  JoinCost::Cold &&
                                !this->staging.IsLoading(aEntry->id);
                       });
  const auto loads = std::max<std::size_t>(candidate.cold.size(), 1);
  candidate.enginesPerLoad =
    static_cast<double>(aModel.groupSize) / static_cast<double>(loads);
  candidate.supplyRatio = this->SupplyRatio(aContext, aModel);
  return candidate;
}

std::vector<FormationController::CandidateGroup> FormationController::RankCandidateGroups(
  const PlanContext& aContext,
  const Engines& aFree) const
{
  std::map<DomainId, Engines> byDomain;
  for (const auto* entry : aFree) {
    byDomain[entry->domain].push_back(entry);
  }
  std::vector<CandidateGroup> rankedCandidates;
  for (const auto& [domain, engines] : byDomain) {
    for (const auto& model : aContext.inputs.cost.models) {
      if (!this->IsDomainAvailableFor(domain, model.name)) {
        continue;
      }
      if (auto candidate = this->MakeCandidateGroup(aContext, model, engines)) {
        rankedCandidates.push_back(std::move(*candidate));
      }
    }
  }
  std::ranges::stable_sort(rankedCandidates, {}, [](const CandidateGroup& aCandidate) {
    return std::pair(-aCandidate.enginesPerLoad, aCandidate.supplyRatio);
  });
  return rankedCandidates;
}

std::set<ServerId> FormationController::StageForCandidateGroups(
  const PlanContext& aContext,
  const Engines& aFree)
{
  std::set<ServerId> taken;
  std::map<std::string, std::size_t> planned;
  for (const auto& candidate : this->RankCandidateGroups(aContext, aFree)) {
    const auto& model = candidate.model->name;
    const bool wanted = this->lifecycle.GroupCount(model) + planned[model] <
                        aContext.demand.MaxGroups(model);
    const bool disjoint =
      std::ranges::none_of(candidate.members, [&taken](const ServerEntry* aEntry) {
        return taken.contains(aEntry->id);
      });
    if (!wanted || !disjoint) {
      continue;
    }
    ++planned[model];
    for (const auto* member : candidate.members) {
      taken.insert(member->id);
    }
    for (const auto* member : candidate.cold) {
      this->staging.TryStage(*member, model, aContext.inputs, aContext.now);
    }
  }
  return taken;
}

void FormationController::StageForRepair(const PlanContext& aContext,
                                         const Engines& aFree,
                                         const std::set<ServerId>& aTaken)
{
  // Number of engines per domain and model that are members of groups.
  std::map<std::pair<DomainId, std::string>, std::size_t> inService;
  for (const auto& group : aContext.observed | std::views::values) {
    for (const auto* member : group.members) {
      ++inService[{ member->domain, ModelOfGroup(group.id) }];
    }
  }
  const auto& models = aContext.inputs.cost.models;
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
    this->staging.TryStage(*entry, model.name, aContext.inputs, aContext.now);
  }
}

void FormationController::StageForReassignment(const PlanContext& aContext)
{
  const bool forming = std::ranges::any_of(
    this->lifecycle.Groups() | std::views::values, [](const GroupRecord& aRecord) {
      return aRecord.phase == GroupPhase::Forming && !aRecord.isEvacuated;
    });
  if (forming) {
    return;
  }
  // Members of small groups come first: together with one or two free engines they can
  // form a large group.
  std::vector<std::pair<std::size_t, const ServerEntry*>> members;
  for (const auto& group : aContext.observed | std::views::values) {
    for (const auto* member : group.members) {
      members.emplace_back(group.members.size(), member);
    }
  }
  std::ranges::stable_sort(members, {}, &decltype(members)::value_type::first);
  const auto& models = aContext.inputs.cost.models;
  for (const auto& [size, member] : members) {
    if (this->staging.IsAtLoadLimit(aContext.inputs)) {
      return;
    }
    const auto other = std::ranges::find_if(models, [&](const ModelTerms& aModel) {
      return this->staging.CostOf(*member, aModel.name) == JoinCost::Cold;
    });
    if (other != models.end()) {
      this->staging.TryStage(*member, other->name, aContext.inputs, aContext.now);
    }
  }
}

void FormationController::UpdateSummary(const PlanContext& aContext, const Engines& aFree)
{
  this->summary.clear();
  for (const auto& model : aContext.inputs.cost.models) {
    this->summary +=
      model.name + ": " + std::to_string(this->lifecycle.GroupCount(model.name)) +
      " of at most " + std::to_string(aContext.demand.MaxGroups(model.name)) + "; ";
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
