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
  /// It was observed recently enough to count as present.
  bool reachable = false;
  bool leaving = false;
  /// False while it counts as unusable because it repeatedly refused orders.
  bool accepting = true;
  /// It has requests in flight that a change of its group would abort.
  bool busy = false;
  /// It has the weights of its pool's model.
  bool holdsWeights = false;
  /// The group that the server reports; empty when it is in none.
  GroupId group;
  Generation generation = 0;
};

/// Configured groups of one pool in this domain.
struct PoolTarget
{
  PoolId pool;
  /// Servers per group.
  std::size_t groupSize = 1;
  /// Maximum number of groups in the domain; the remaining servers are spares.
  std::size_t wantedGroups = 0;
  /// Bytes that a server without the weights has to load from the weight store.
  std::uint64_t weightBytes = 0;
};

/// All inputs of a plan.
struct PlanningInput
{
  DomainRecord record;
  std::vector<PlannedServer> servers;
  std::vector<PoolTarget> pools;
  /// Whether the weight store is idle, so that another load may start.
  bool mayLoadWeights = true;
  /// Whether any number of loads may run concurrently.
  bool weightStoreUnlimited = false;
};

/// The new record and the cost of applying it.
struct Plan
{
  DomainRecord record;
  /// Bytes that the newly formed groups load from the weight store.
  std::uint64_t weightBytes = 0;
};

/// Decides which servers form which groups. Deterministic: the same input gives the same
/// plan, unless an implementation uses a random number generator.
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
