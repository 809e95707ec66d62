#include "planning/GroupPlanner.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <utility>

#include "planning/PlanBuilder.h"

namespace toucanstand {

namespace {

/// The members chosen for one group, and the groups that are dissolved to provide them.
struct Formation
{
  /// The existing group to repair; empty for a new group.
  GroupId group;
  std::vector<ServerId> members;
  std::vector<GroupId> dissolved;
  /// Number of members that have to load the weights.
  std::size_t loads = 0;
};

/// Plans one pool. Spares and broken groups are updated incrementally: collecting them
/// again for each formation would take quadratic time in large domains.
class PoolPlan
{
public:
  PoolPlan(PlanBuilder& aBuilder, const PoolTarget& aPool)
    : builder(aBuilder)
    , pool(aPool)
    , brokenGroups(aBuilder.BrokenGroups(aPool))
    , missingGroups(aBuilder.MissingGroups(aPool))
  {
    for (auto& spare : aBuilder.Spares(aPool)) {
      this->AddSpare(std::move(spare));
    }
    // The group with the most survivors needs the fewest servers and is repaired first.
    std::ranges::stable_sort(this->brokenGroups, std::greater{}, [](const auto& aGroup) {
      return aGroup.survivors.size();
    });
  }

  [[nodiscard]] const PoolTarget& Pool() const { return this->pool; }

  /// Returns the repair with spares that needs the fewest loads; if there is none, a
  /// merge of broken groups; if there is none, a new group. Nothing when there are too
  /// few servers.
  [[nodiscard]] std::optional<Formation> CheapestFormation() const
  {
    std::optional<Formation> best;
    for (const auto& group : this->brokenGroups) {
      auto repair = this->Repair(group);
      if (repair && (!best || repair->loads < best->loads)) {
        best = std::move(repair);
      }
    }
    if (!best) {
      best = this->Merge(true);
    }
    return best ? best : this->FormNew(true);
  }

  /// Returns a repair with spares in which every member holds the weights.
  [[nodiscard]] std::optional<Formation> RepairWithoutLoad() const
  {
    for (const auto& group : this->brokenGroups) {
      auto repair = this->Repair(group);
      if (repair && repair->loads == 0) {
        return repair;
      }
    }
    return std::nullopt;
  }

  /// Returns a repair, merge or new group in which every member holds the weights.
  [[nodiscard]] std::optional<Formation> FormationWithoutLoad() const
  {
    auto repair = this->RepairWithoutLoad();
    if (!repair) {
      repair = this->Merge(false);
    }
    return repair ? repair : this->FormNew(false);
  }

  void Apply(const Formation& aFormation)
  {
    for (const auto& id : aFormation.dissolved) {
      this->builder.Dissolve(id);
      this->ReleaseSurvivors(id);
    }
    const auto isMember = [&aFormation](const ServerId& aServer) {
      return std::ranges::find(aFormation.members, aServer) != aFormation.members.end();
    };
    std::erase_if(this->sparesWithWeights, isMember);
    std::erase_if(this->sparesWithoutWeights, isMember);
    if (aFormation.group.IsEmpty()) {
      this->builder.Create(this->pool, aFormation.members);
      --this->missingGroups;
      return;
    }
    const auto found = std::ranges::find(
      this->brokenGroups, aFormation.group, &PlanBuilder::BrokenGroup::id);
    for (const auto& survivor : found->survivors) {
      if (!isMember(survivor)) {
        this->AddSpare(survivor);
      }
    }
    this->brokenGroups.erase(found);
    this->builder.Reform(aFormation.group, this->pool, aFormation.members);
  }

private:
  void AddSpare(ServerId aServer)
  {
    auto& list = this->builder.HoldsWeights(aServer) ? this->sparesWithWeights
                                                     : this->sparesWithoutWeights;
    list.push_back(std::move(aServer));
  }

  /// Turns the survivors of a dissolved group into spares, and counts the group as
  /// missing.
  void ReleaseSurvivors(const GroupId& aGroup)
  {
    const auto found =
      std::ranges::find(this->brokenGroups, aGroup, &PlanBuilder::BrokenGroup::id);
    for (auto& survivor : found->survivors) {
      this->AddSpare(std::move(survivor));
    }
    this->brokenGroups.erase(found);
    ++this->missingGroups;
  }

  void AddMembers(Formation& aFormation, const std::vector<ServerId>& aFrom) const
  {
    for (const auto& server : aFrom) {
      if (aFormation.members.size() >= this->pool.groupSize) {
        return;
      }
      aFormation.members.push_back(server);
      aFormation.loads += this->builder.HoldsWeights(server) ? 0 : 1;
    }
  }

  [[nodiscard]] std::optional<Formation> IfComplete(Formation aFormation) const
  {
    if (aFormation.members.size() != this->pool.groupSize) {
      return std::nullopt;
    }
    return aFormation;
  }

  [[nodiscard]] std::optional<Formation> Repair(
    const PlanBuilder::BrokenGroup& aGroup) const
  {
    Formation formation{ aGroup.id, {}, {}, 0 };
    this->AddMembers(formation, aGroup.survivors);
    this->AddMembers(formation, this->sparesWithWeights);
    this->AddMembers(formation, this->sparesWithoutWeights);
    return this->IfComplete(std::move(formation));
  }

  /// The survivors that may be used: all if loads are allowed, otherwise those that hold
  /// the weights.
  [[nodiscard]] std::vector<ServerId> Survivors(const PlanBuilder::BrokenGroup& aGroup,
                                                bool aMayLoad) const
  {
    auto survivors = aGroup.survivors;
    std::erase_if(survivors, [this, aMayLoad](const ServerId& aServer) {
      return !aMayLoad && !this->builder.HoldsWeights(aServer);
    });
    return survivors;
  }

  /// Completes the group with the most survivors. Members come from spares, then from the
  /// groups with the fewest survivors, so that few groups are dissolved.
  [[nodiscard]] std::optional<Formation> Merge(bool aMayLoad) const
  {
    std::vector<PlanBuilder::BrokenGroup> groups;
    groups.reserve(this->brokenGroups.size());
    for (const auto& group : this->brokenGroups) {
      groups.push_back({ group.id, this->Survivors(group, aMayLoad) });
    }
    std::erase_if(groups, [](const auto& aGroup) { return aGroup.survivors.empty(); });
    if (groups.empty()) {
      return std::nullopt;
    }
    std::ranges::stable_sort(
      groups, std::greater{}, [](const auto& aGroup) { return aGroup.survivors.size(); });
    Formation formation{ groups.front().id, {}, {}, 0 };
    this->AddMembers(formation, groups.front().survivors);
    this->AddMembers(formation, this->sparesWithWeights);
    for (auto other = groups.rbegin(); other + 1 != groups.rend(); ++other) {
      if (formation.members.size() >= this->pool.groupSize) {
        break;
      }
      this->AddMembers(formation, other->survivors);
      formation.dissolved.push_back(other->id);
    }
    if (aMayLoad) {
      this->AddMembers(formation, this->sparesWithoutWeights);
    }
    return this->IfComplete(std::move(formation));
  }

  [[nodiscard]] std::optional<Formation> FormNew(bool aMayLoad) const
  {
    if (this->missingGroups == 0) {
      return std::nullopt;
    }
    Formation formation;
    this->AddMembers(formation, this->sparesWithWeights);
    if (aMayLoad) {
      this->AddMembers(formation, this->sparesWithoutWeights);
    }
    return this->IfComplete(std::move(formation));
  }

  PlanBuilder& builder;
  const PoolTarget& pool;
  std::vector<PlanBuilder::BrokenGroup> brokenGroups;
  /// Spares with and without the weights.
  std::vector<ServerId> sparesWithWeights;
  std::vector<ServerId> sparesWithoutWeights;
  std::size_t missingGroups;
};

using FormationSelector = std::optional<Formation> (PoolPlan::*)() const;

void ApplyAll(std::vector<PoolPlan>& aPools, FormationSelector aSelector)
{
  for (auto& pool : aPools) {
    while (const auto formation = (pool.*aSelector)()) {
      pool.Apply(*formation);
    }
  }
}

/// Applies the formation that returns the most servers to service per byte loaded.
/// @returns false when no formation is possible.
bool ApplyMostEfficientLoad(std::vector<PoolPlan>& aPools)
{
  PoolPlan* bestPool = nullptr;
  std::optional<Formation> best;
  double bestServersPerByte = 0;
  for (auto& pool : aPools) {
    auto formation = pool.CheapestFormation();
    if (!formation) {
      continue;
    }
    const auto bytes = static_cast<double>(formation->loads) *
                       static_cast<double>(pool.Pool().weightBytes);
    const double serversPerByte =
      static_cast<double>(pool.Pool().groupSize) / std::max(1.0, bytes);
    if (serversPerByte > bestServersPerByte) {
      bestPool = &pool;
      best = std::move(formation);
      bestServersPerByte = serversPerByte;
    }
  }
  if (bestPool != nullptr) {
    bestPool->Apply(*best);
  }
  return bestPool != nullptr;
}

} // namespace

Plan GroupPlanner::MakePlan(const PlanningInput& aInput)
{
  PlanBuilder builder(aInput);
  std::vector<PoolPlan> pools;
  pools.reserve(aInput.pools.size());
  for (const auto& pool : aInput.pools) {
    pools.emplace_back(builder, pool);
  }
  // First come repairs with spares that need no load, then formations that need one, as
  // far as the weight store allows. Instead of formations that would have to wait for the
  // weight store, repairs, merges and new groups that need no load come last.
  const bool isLoading = builder.IsLoading();
  ApplyAll(pools, &PoolPlan::RepairWithoutLoad);
  // If no group is loading, for example because a formation was aborted, the weight store
  // is idle although the budget still counts the load. Conversely, if a load takes longer
  // than the budget expects, the next one starts without waiting for its end.
  bool mayLoad = aInput.mayLoadWeights || aInput.weightStoreUnlimited || !isLoading;
  while (mayLoad && ApplyMostEfficientLoad(pools)) {
    mayLoad = aInput.weightStoreUnlimited;
  }
  ApplyAll(pools, &PoolPlan::FormationWithoutLoad);
  return builder.Build();
}

} // namespace toucanstand
