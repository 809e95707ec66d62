#pragma once

#include <unordered_map>
#include <vector>

#include "planning/PlanningStrategy.h"

namespace toucanstand {

/// A plan in the making: the rules that every strategy shares, and the operations that
/// keep the record consistent.
class PlanBuilder
{
public:
  /// A group that cannot serve as it is, with the members that still could.
  struct BrokenGroup
  {
    GroupId id;
    std::vector<ServerId> survivors;
  };

  /// Updates the states of all groups: forming groups that every member reports serve;
  /// groups with a leaving member, and groups beyond the wanted number or of another
  /// size, drain; drained groups beyond the wanted number are removed.
  /// @param aInput must outlive the draft.
  explicit PlanBuilder(const PlanningInput& aInput);

  /// Groups of the pool that lost a member, in the record's order. A group that waits for
  /// the end of its work in flight is not among them.
  [[nodiscard]] std::vector<BrokenGroup> BrokenGroups(const PoolTarget& aPool) const;

  /// Usable servers of the pool that are in no group, in the order of the input.
  [[nodiscard]] std::vector<ServerId> Spares(const PoolTarget& aPool) const;

  /// How many more groups the pool may have.
  [[nodiscard]] std::size_t MissingGroups(const PoolTarget& aPool) const;

  [[nodiscard]] bool HoldsWeights(const ServerId& aServer) const;

  /// Whether a member of a forming group that is not broken has yet to load its weights.
  [[nodiscard]] bool IsLoading() const;

  /// Gives an existing group new members and the next generation.
  void Reform(const GroupId& aGroup,
              const PoolTarget& aPool,
              std::vector<ServerId> aMembers);

  /// Forms a new group.
  void Create(const PoolTarget& aPool, std::vector<ServerId> aMembers);

  /// Removes a group; its members become spares.
  void Dissolve(const GroupId& aGroup);

  /// The finished plan, with the orders of all forming groups.
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
