#pragma once

#include "planning/PlanningStrategy.h"

namespace toucanstand {

/// The planner used in production.
///
/// A broken group is first repaired with spares of the same domain. If there are too few,
/// or they would have to wait for the weight store, the survivors of several broken
/// groups are merged. Servers that hold the weights are preferred. Only one group loads
/// weights at a time: the one that returns the most servers to service per byte loaded.
/// Merging causes no additional loads later, because the number of servers without the
/// weights stays the same.
class GroupPlanner : public PlanningStrategy
{
public:
  [[nodiscard]] Plan MakePlan(const PlanningInput& aInput) override;
};

} // namespace toucanstand
