#pragma once

#include <memory>

#include "random/Random.h"
#include "routing/SelectionContext.h"

namespace toucanstand {

/// Interface of the algorithms that choose one of the admitted candidates of a pool.
class SelectionStrategy
{
public:
  SelectionStrategy() = default;
  SelectionStrategy(const SelectionStrategy&) = delete;
  SelectionStrategy& operator=(const SelectionStrategy&) = delete;
  virtual ~SelectionStrategy() = default;

  /// @return null when no candidate is admitted.
  [[nodiscard]] virtual CandidateState* Choose(const SelectionContext& aSelection,
                                               RoutingPool& aPool,
                                               Random& aRandom) const = 0;
};

/// Creates the implementation of a routing strategy.
[[nodiscard]] std::unique_ptr<SelectionStrategy> MakeStrategy(RoutingStrategy aStrategy);

} // namespace toucanstand
