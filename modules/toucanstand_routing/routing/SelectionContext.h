#pragma once

#include "routing/RouteQuery.h"
#include "routing/RoutingPool.h"

namespace toucanstand {

/// Input of a selection strategy: a pool, the query and the settings that decide which
/// candidates may be chosen.
struct SelectionContext
{
  const RoutingPool& pool;
  const RouteQuery& query;
  const RouterSettings& settings;
  TimePoint now;
  /// True when ejected and paused candidates are admitted because no other candidate is
  /// left.
  bool lastResort = false;

  /// Whether a candidate may be chosen.
  [[nodiscard]] bool Admits(const CandidateState& aCandidate) const;
};

} // namespace toucanstand
