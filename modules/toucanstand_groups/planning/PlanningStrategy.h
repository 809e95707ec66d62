#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "records/DomainRecord.h"

namespace toucanstand {

/// What the planner knows about one server of the domain.
struct PlannedServer
{
  ServerId id;
  PoolId pool;
  /// It was seen recently enough to count as present.
  bool reachable = false;
  bool leaving = false;
  /// False while it keeps refusing orders.
  bool accepting = true;
  /// It runs requests that a change of its group would cut off.
  bool busy = false;
  /// It has the weights of its pool's model.
  bool holdsWeights = false;
  /// What it reports itself; empty when it is in no group.
  GroupId group;
  Generation generation = 0;
};

/// The groups that the operators want of one pool in this domain.
struct PoolTarget
{
  PoolId pool;
  /// Servers per group.
  std::size_t groupSize = 1;
  /// Most groups in the domain; servers beyond them are spares.
  std::size_t wantedGroups = 0;
  /// Bytes that a server without the weights loads from the weight store.
  std::uint64_t weightBytes = 0;
};

/// Everything a plan depends on.
struct PlanningInput
{
  DomainRecord record;
  std::vector<PlannedServer> servers;
  std::vector<PoolTarget> pools;
  /// Whether the weight store is free for another load.
  bool mayLoadWeights = true;
  /// The weight store takes any number of loads at once.
  bool weightStoreUnlimited = false;
};

/// The wanted record and what reaching it costs.
struct Plan
{
  DomainRecord record;
  /// Bytes that the newly formed groups load from the weight store.
  std::uint64_t weightBytes = 0;
};

/// Decides which servers form which groups. Pure: the same input gives the same plan,
/// but for generators that an implementation was given.
class PlanningStrategy
{
public:
  virtual ~PlanningStrategy() = default;
  PlanningStrategy() = default;
  PlanningStrategy(const PlanningStrategy&) = delete;
  PlanningStrategy& operator=(const PlanningStrategy&) = delete;

  [[nodiscard]] virtual Plan MakePlan(const PlanningInput& aInput) = 0;
};

} // namespace toucanstand
