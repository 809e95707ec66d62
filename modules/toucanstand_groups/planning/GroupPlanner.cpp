#include "planning/GroupPlanner.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <utility>

#include "planning/PlanDraft.h"

namespace toucanstand {

namespace {

/// Members for one group, and which other groups give up survivors for it.
struct Formation
{
  /// The group to form again; empty for a new one.
  GroupId group;
  std::vector<ServerId> members;
  std::vector<GroupId> dissolved;
  /// Members that have to load the weights.
  std::size_t loads = 0;
};

/// Plans one pool; spares and broken groups are kept up to date instead of being
/// collected again for each formation, which would make large domains quadratic.
class PoolPlan
{
public:
  PoolPlan(PlanDraft& aDraft, const PoolTarget& aPool)
    : draft(aDraft)
    , pool(aPool)
    , broken(aDraft.BrokenGroups(aPool))
    , missing(aDraft.MissingGroups(aPool))
  {
    for (auto& spare : aDraft.Spares(aPool)) {
      this->AddSpare(std::move(spare));
    }
    // The group with the most survivors needs the fewest servers and is formed first.
    std::ranges::stable_sort(this->broken, std::greater{}, [](const auto& aGroup) {
      return aGroup.survivors.size();
    });
  }

  [[nodiscard]] const PoolTarget& Pool() const { return this->pool; }

  /// The cheapest formation with spares alone, then with survivors of broken groups, then
  /// of a new group. Nothing when there are too few servers.
  [[nodiscard]] std::optional<Formation> Cheapest() const
  {
    std::optional<Formation> best;
    for (const auto& group : this->broken) {
      auto repair = this->Repair(group);
      if (repair && (!best || repair->loads < best->loads)) {
        best = std::move(repair);
      }
    }
    if (!best) {
      best = this->Merge(true);
    }
    return best ? best : this->Fresh(true);
  }

  /// A repair with spares in which every member holds the weights.
  [[nodiscard]] std::optional<Formation> RepairWithoutLoad() const
  {
    for (const auto& group : this->broken) {
      auto repair = this->Repair(group);
      if (repair && repair->loads == 0) {
        return repair;
      }
    }
    return std::nullopt;
  }

  /// Any formation in which every member holds the weights.
  [[nodiscard]] std::optional<Formation> WithoutLoad() const
  {
    auto repair = this->RepairWithoutLoad();
    if (!repair) {
      repair = this->Merge(false);
    }
    return repair ? repair : this->Fresh(false);
  }

  void Apply(const Formation& aFormation)
  {
    for (const auto& id : aFormation.dissolved) {
      this->draft.Dissolve(id);
      this->Release(id);
    }
    const auto isMember = [&aFormation](const ServerId& aServer) {
      return std::ranges::find(aFormation.members, aServer) != aFormation.members.end();
    };
    std::erase_if(this->holders, isMember);
    std::erase_if(this->loaders, isMember);
    if (aFormation.group.IsEmpty()) {
      this->draft.Create(this->pool, aFormation.members);
      --this->missing;
      return;
    }
    const auto found =
      std::ranges::find(this->broken, aFormation.group, &PlanDraft::BrokenGroup::id);
    for (const auto& survivor : found->survivors) {
      if (!isMember(survivor)) {
        this->AddSpare(survivor);
      }
    }
    this->broken.erase(found);
    this->draft.Reform(aFormation.group, this->pool, aFormation.members);
  }

private:
  void AddSpare(ServerId aServer)
  {
    auto& list = this->draft.HoldsWeights(aServer) ? this->holders : this->loaders;
    list.push_back(std::move(aServer));
  }

  /// Turns the survivors of a dissolved group into spares; another group may be formed
  /// of them.
  void Release(const GroupId& aGroup)
  {
    const auto found =
      std::ranges::find(this->broken, aGroup, &PlanDraft::BrokenGroup::id);
    for (auto& survivor : found->survivors) {
      this->AddSpare(std::move(survivor));
    }
    this->broken.erase(found);
    ++this->missing;
  }

  void Fill(Formation& aFormation, const std::vector<ServerId>& aFrom) const
  {
    for (const auto& server : aFrom) {
      if (aFormation.members.size() >= this->pool.groupSize) {
        return;
      }
      aFormation.members.push_back(server);
      aFormation.loads += this->draft.HoldsWeights(server) ? 0 : 1;
    }
  }

  [[nodiscard]] std::optional<Formation> Complete(Formation aFormation) const
  {
    if (aFormation.members.size() != this->pool.groupSize) {
      return std::nullopt;
    }
    return aFormation;
  }

  [[nodiscard]] std::optional<Formation> Repair(
    const PlanDraft::BrokenGroup& aGroup) const
  {
    Formation formation{ aGroup.id, {}, {}, 0 };
    this->Fill(formation, aGroup.survivors);
    this->Fill(formation, this->holders);
    this->Fill(formation, this->loaders);
    return this->Complete(std::move(formation));
  }

  /// Survivors that may be used: all, or those that hold the weights.
  [[nodiscard]] std::vector<ServerId> Survivors(const PlanDraft::BrokenGroup& aGroup,
                                                bool aMayLoad) const
  {
    auto survivors = aGroup.survivors;
    std::erase_if(survivors, [this, aMayLoad](const ServerId& aServer) {
      return !aMayLoad && !this->draft.HoldsWeights(aServer);
    });
    return survivors;
  }

  /// Completes the group with the most survivors from spares and from the groups with the
  /// fewest, so that few groups are given up.
  [[nodiscard]] std::optional<Formation> Merge(bool aMayLoad) const
  {
    std::vector<PlanDraft::BrokenGroup> groups;
    groups.reserve(this->broken.size());
    for (const auto& group : this->broken) {
      groups.push_back({ group.id, this->Survivors(group, aMayLoad) });
    }
    std::erase_if(groups, [](const auto& aGroup) { return aGroup.survivors.empty(); });
    if (groups.empty()) {
      return std::nullopt;
    }
    std::ranges::stable_sort(
      groups, std::greater{}, [](const auto& aGroup) { return aGroup.survivors.size(); });
    Formation formation{ groups.front().id, {}, {}, 0 };
    this->Fill(formation, groups.front().survivors);
    this->Fill(formation, this->holders);
    for (auto other = groups.rbegin(); other + 1 != groups.rend(); ++other) {
      if (formation.members.size() >= this->pool.groupSize) {
        break;
      }
      this->Fill(formation, other->survivors);
      formation.dissolved.push_back(other->id);
    }
    if (aMayLoad) {
      this->Fill(formation, this->loaders);
    }
    return this->Complete(std::move(formation));
  }

  [[nodiscard]] std::optional<Formation> Fresh(bool aMayLoad) const
  {
    if (this->missing == 0) {
      return std::nullopt;
    }
    Formation formation;
    this->Fill(formation, this->holders);
    if (aMayLoad) {
      this->Fill(formation, this->loaders);
    }
    return this->Complete(std::move(formation));
  }

  PlanDraft& draft;
  const PoolTarget& pool;
  std::vector<PlanDraft::BrokenGroup> broken;
  /// Spares with and without the weights.
  std::vector<ServerId> holders;
  std::vector<ServerId> loaders;
  std::size_t missing;
};

using FormationChoice = std::optional<Formation> (PoolPlan::*)() const;

void ApplyAll(std::vector<PoolPlan>& aPools, FormationChoice aChoice)
{
  for (auto& pool : aPools) {
    while (const auto formation = (pool.*aChoice)()) {
      pool.Apply(*formation);
    }
  }
}

/// Starts the load that returns the most servers per byte.
/// @returns whether there was one.
bool ApplyBestLoad(std::vector<PoolPlan>& aPools)
{
  PoolPlan* bestPool = nullptr;
  std::optional<Formation> best;
  double bestWorth = 0;
  for (auto& pool : aPools) {
    auto formation = pool.Cheapest();
    if (!formation) {
      continue;
    }
    const auto bytes = static_cast<double>(formation->loads) *
                       static_cast<double>(pool.Pool().weightBytes);
    const double worth =
      static_cast<double>(pool.Pool().groupSize) / std::max(1.0, bytes);
    if (worth > bestWorth) {
      bestPool = &pool;
      best = std::move(formation);
      bestWorth = worth;
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
  PlanDraft draft(aInput);
  std::vector<PoolPlan> pools;
  pools.reserve(aInput.pools.size());
  for (const auto& pool : aInput.pools) {
    pools.emplace_back(draft, pool);
  }
  // Repairs with spares come before merges, those that load only as fast as the weight
  // store allows; what would have to wait for it is merged where that needs no load.
  const bool isLoading = draft.IsLoading();
  ApplyAll(pools, &PoolPlan::RepairWithoutLoad);
  // Formations that broke in the middle of a load leave the store free before the budget
  // says so; loads that take longer than expected do not block the others for ever.
  bool mayLoad = aInput.mayLoadWeights || aInput.weightStoreUnlimited || !isLoading;
  while (mayLoad && ApplyBestLoad(pools)) {
    mayLoad = aInput.weightStoreUnlimited;
  }
  ApplyAll(pools, &PoolPlan::WithoutLoad);
  return draft.Finish();
}

} // namespace toucanstand
