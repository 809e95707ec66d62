#pragma once

#include "planning/PlanningStrategy.h"
#include "random/Random.h"

namespace toucanstand {

/// Baseline for comparison: gives up broken groups and forms new ones of the first free
/// servers, whatever they hold and however busy the weight store is.
class FirstFitPlanner : public PlanningStrategy
{
public:
  [[nodiscard]] Plan MakePlan(const PlanningInput& aInput) override;
};

/// Baseline for comparison: as FirstFitPlanner, with free servers in random order.
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
