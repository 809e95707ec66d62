#include "planning/BaselinePlanners.h"

#include <algorithm>
#include <functional>

#include "planning/PlanDraft.h"

namespace toucanstand {

namespace {

Plan FormInOrder(const PlanningInput& aInput,
                 const std::function<void(std::vector<ServerId>&)>& aArrange)
{
  PlanDraft draft(aInput);
  for (const auto& pool : aInput.pools) {
    for (const auto& group : draft.BrokenGroups(pool)) {
      draft.Dissolve(group.id);
    }
    auto spares = draft.Spares(pool);
    aArrange(spares);
    auto next = spares.begin();
    for (auto missing = draft.MissingGroups(pool);
         missing > 0 && static_cast<std::size_t>(spares.end() - next) >= pool.groupSize;
         --missing) {
      const auto last = next + static_cast<std::ptrdiff_t>(pool.groupSize);
      draft.Create(pool, { next, last });
      next = last;
    }
  }
  return draft.Finish();
}

} // namespace

Plan FirstFitPlanner::MakePlan(const PlanningInput& aInput)
{
  return FormInOrder(aInput, [](auto& aSpares) { std::ranges::sort(aSpares); });
}

RandomPlanner::RandomPlanner(Random& aRandom)
  : random(aRandom)
{
}

Plan RandomPlanner::MakePlan(const PlanningInput& aInput)
{
  return FormInOrder(aInput, [this](auto& aSpares) {
    std::ranges::shuffle(aSpares, this->random.Engine());
  });
}

} // namespace toucanstand
