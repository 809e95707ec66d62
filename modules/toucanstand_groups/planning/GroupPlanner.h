#pragma once

#include "planning/PlanningStrategy.h"

namespace toucanstand {

/// The planner in use.
///
/// A broken group first gets spares of the same domain; where they don't suffice, or
/// would have to wait for the weight store, the survivors of several broken groups are
/// merged. Servers that hold the weights come first. The weight store's rate goes to the
/// group that returns the most accelerators per byte loaded; one load at a time. Merging
/// costs no later loads: the number of servers without the weights stays the same.
class GroupPlanner : public PlanningStrategy
{
public:
  [[nodiscard]] Plan MakePlan(const PlanningInput& aInput) override;
};

} // namespace toucanstand
