#pragma once

#include "routing/RoutingPool.h"

namespace toucanstand {

/// What an event did to a candidate's health.
enum class EjectionEffect
{
  None,
  EjectedAsFailing,
  EjectedAsSlow,
  /// It would have been ejected, but the pool's share of ejected candidates is used up.
  KeptByEjectionLimit,
  /// Probation ended well.
  Returned,
};

/// Name of an effect in state dumps.
[[nodiscard]] const char* Name(EjectionEffect aEffect);

/// Ejects candidates that fail or that are slow compared with their pool, and lets them
/// return through probation.
class Ejection
{
public:
  explicit Ejection(const EjectionSettings& aSettings);

  /// An attempt failed by the candidate's fault.
  EjectionEffect OnFailure(CandidateState& aCandidate,
                           const RoutingPool& aPool,
                           TimePoint aNow) const;

  /// An attempt was answered completely.
  EjectionEffect OnSuccess(CandidateState& aCandidate, TimePoint aNow) const;

  /// A latency was measured. @param aSeries from LatencyAverages::SeriesIndex().
  EjectionEffect OnLatency(CandidateState& aCandidate,
                           RoutingPool& aPool,
                           std::size_t aSeries,
                           Duration aLatency,
                           TimePoint aNow) const;

  /// Starts the probation of the candidates whose ejection ends first, until no more than
  /// the share of a pool that became smaller is ejected.
  void EnforceEjectionLimit(const RoutingPool& aPool, TimePoint aNow) const;

  /// An attempt ended without an answer after the given time, so that the latency is at
  /// least that. Counts only when it is above the pool's median.
  EjectionEffect OnUnanswered(CandidateState& aCandidate,
                              RoutingPool& aPool,
                              std::size_t aSeries,
                              Duration aLatency,
                              TimePoint aNow) const;

private:
  /// Ejects, unless the share is used up.
  EjectionEffect Eject(CandidateState& aCandidate,
                       const RoutingPool& aPool,
                       EjectionEffect aEffect,
                       TimePoint aNow) const;
  [[nodiscard]] std::size_t MaxEjected(const RoutingPool& aPool) const;
  [[nodiscard]] bool IsSlow(double aSeconds, double aMedian) const;

  EjectionSettings settings;
};

} // namespace toucanstand
