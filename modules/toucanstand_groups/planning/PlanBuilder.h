#pragma once

#include <unordered_map>
#include <vector>

#include "planning/PlanningStrategy.h"

namespace toucanstand {

/// Builds a plan: applies the rules common to all strategies, and provides the operations
/// that change groups while keeping the record consistent.
class PlanBuilder
{
public:
  /// A group that cannot serve, and its members that are still usable.
  struct BrokenGroup
  {
    GroupId id;
    std::vector<ServerId> survivors;
  };

  /// Updates the states of all groups: a forming group that every member reports becomes
  /// serving; a serving group that has a leaving member or is surplus becomes draining;
  /// surplus groups without work in flight are removed. A group is surplus if it exceeds
  /// the wanted number, has another size than its pool's target, or its pool has no
  /// target.
  /// @param aInput must outlive the builder.
  explicit PlanBuilder(const PlanningInput& aInput);

  /// Groups of the pool with an unusable member, in the record's order. Surplus groups
  /// and groups that still finish work in flight are not included.
  [[nodiscard]] std::vector<BrokenGroup> BrokenGroups(const PoolTarget& aPool) const;

  /// Usable servers of the pool that are in no group, in the order of the input.
  [[nodiscard]] std::vector<ServerId> Spares(const PoolTarget& aPool) const;

  /// Number of groups that the pool lacks to reach its wanted number.
  [[nodiscard]] std::size_t MissingGroups(const PoolTarget& aPool) const;

  [[nodiscard]] bool HoldsWeights(const ServerId& aServer) const;

  /// Whether an unbroken forming group has a member that does not hold the weights yet.
  [[nodiscard]] bool IsLoading() const;

  /// Assigns new members to an existing group and increments its generation.
  void Reform(const GroupId& aGroup,
              const PoolTarget& aPool,
              std::vector<ServerId> aMembers);

  /// Forms a new group.
  void Create(const PoolTarget& aPool, std::vector<ServerId> aMembers);

  /// Removes a group; its usable members become spares.
  void Dissolve(const GroupId& aGroup);

  /// Returns the plan, including the orders of all forming groups.
  [[nodiscard]] Plan Build() const;

private:
  [[nodiscard]] const PlannedServer* Find(const ServerId& aServer) const;
  [[nodiscard]] bool IsUsable(const ServerId& aServer) const;
  [[nodiscard]] bool ReportsGroup(const ServerId& aServer,
                                  const ReplicaGroup& aGroup) const;
  [[nodiscard]] bool IsBusy(const GroupEntry& aEntry) const;
  [[nodiscard]] bool IsBroken(const GroupEntry& aEntry) const;
  [[nodiscard]] GroupEntry& GetEntry(const GroupId& aGroup);
  void MarkSurplus();
  void UpdateState(GroupEntry& aEntry);
  void AssignMembers(GroupEntry& aEntry,
                     const PoolTarget& aPool,
                     std::vector<ServerId> aMembers);

  const PlanningInput& input;
  std::unordered_map<ServerId, const PlannedServer*> servers;
  std::unordered_map<GroupId, bool> surplus;
  Plan plan;
};

} // namespace toucanstand
