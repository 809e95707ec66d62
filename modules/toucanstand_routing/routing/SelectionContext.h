#pragma once

#include "routing/RouteQuery.h"
#include "routing/RoutingPool.h"

namespace toucanstand {

/// What a strategy chooses from: the candidates of a pool that a query admits.
struct SelectionContext
{
  const RoutingPool& pool;
  const RouteQuery& query;
  const RouterSettings& settings;
  TimePoint now;
  /// True when ejected and paused candidates are admitted because no other is left.
  bool lastResort = false;

  /// Whether a candidate may be chosen.
  [[nodiscard]] bool Admits(const CandidateState& aCandidate) const;
};

} // namespace toucanstand
