#include "planning/BaselinePlanners.h"

#include <algorithm>
#include <functional>

#include "planning/PlanBuilder.h"

namespace toucanstand {

namespace {

Plan FormGroupsInOrder(const PlanningInput& aInput,
                       const std::function<void(std::vector<ServerId>&)>& aSortSpares)
{
  PlanBuilder builder(aInput);
  for (const auto& pool : aInput.pools) {
    for (const auto& group : builder.BrokenGroups(pool)) {
      builder.Dissolve(group.id);
    }
    auto spares = builder.Spares(pool);
    aSortSpares(spares);
    auto next = spares.begin();
    for (auto missingGroups = builder.MissingGroups(pool);
         missingGroups > 0 &&
         static_cast<std::size_t>(spares.end() - next) >= pool.groupSize;
         --missingGroups) {
      const auto last = next + static_cast<std::ptrdiff_t>(pool.groupSize);
      builder.Create(pool, { next, last });
      next = last;
    }
  }
  return builder.Build();
}

} // namespace

Plan FirstFitPlanner::MakePlan(const PlanningInput& aInput)
{
  return FormGroupsInOrder(aInput, [](auto& aSpares) { std::ranges::sort(aSpares); });
}

RandomPlanner::RandomPlanner(Random& aRandom)
  : random(aRandom)
{
}

Plan RandomPlanner::MakePlan(const PlanningInput& aInput)
{
  return FormGroupsInOrder(aInput, [this](auto& aSpares) {
    std::ranges::shuffle(aSpares, this->random.Engine());
  });
}

} // namespace toucanstand
