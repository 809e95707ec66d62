#pragma once

#include "planning/PlanningStrategy.h"
#include "random/Random.h"

namespace toucanstand {

/// Baseline for comparison: dissolves broken groups and forms new ones from the first
/// free servers in order of id, regardless of the weights they hold and the load on the
/// weight store.
class FirstFitPlanner : public PlanningStrategy
{
public:
  [[nodiscard]] Plan MakePlan(const PlanningInput& aInput) override;
};

/// Baseline for comparison: like FirstFitPlanner, but takes free servers in random order.
class RandomPlanner : public PlanningStrategy
{
public:
  /// @param aRandom must outlive the planner.
  explicit RandomPlanner(Random& aRandom);

  [[nodiscard]] Plan MakePlan(const PlanningInput& aInput) override;

private:
  Random& random;
};

} // namespace toucanstand
