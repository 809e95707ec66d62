#pragma once

#include "routing/RoutingPool.h"

namespace toucanstand {

/// Effect of an event on a candidate's health phase.
enum class EjectionEffect
{
  None,
  EjectedAsFailing,
  EjectedAsSlow,
  /// The candidate would have been ejected, but the pool already has its maximum of
  /// ejected candidates.
  KeptByEjectionLimit,
  /// The candidate completed probation and is active again.
  Returned,
};

/// Name of an effect, used in state dumps.
[[nodiscard]] const char* Name(EjectionEffect aEffect);

/// Outlier detection: ejects candidates that fail or are slow compared with their pool,
/// and returns them through probation.
class Ejection
{
public:
  explicit Ejection(const EjectionSettings& aSettings);

  /// Records an attempt that the candidate failed.
  EjectionEffect OnFailure(CandidateState& aCandidate,
                           const RoutingPool& aPool,
                           TimePoint aNow) const;

  /// Records a completely answered attempt.
  EjectionEffect OnSuccess(CandidateState& aCandidate, TimePoint aNow) const;

  /// Records a measured latency. @param aSeries from LatencyAverages::SeriesIndex().
  EjectionEffect OnLatency(CandidateState& aCandidate,
                           RoutingPool& aPool,
                           std::size_t aSeries,
                           Duration aLatency,
                           TimePoint aNow) const;

  /// After a pool has shrunk, starts the probation of the candidates whose ejections end
  /// first, until the pool's maximum of ejected candidates is no longer exceeded.
  void EnforceEjectionLimit(const RoutingPool& aPool, TimePoint aNow) const;

  /// Records an attempt that ended without an answer after the given time, which is a
  /// lower bound of the latency. Counts only when it is above the pool's median.
  EjectionEffect OnUnanswered(CandidateState& aCandidate,
                              RoutingPool& aPool,
                              std::size_t aSeries,
                              Duration aLatency,
                              TimePoint aNow) const;

private:
  /// Ejects the candidate unless the pool already has its maximum of ejected candidates.
  EjectionEffect Eject(CandidateState& aCandidate,
                       const RoutingPool& aPool,
                       EjectionEffect aEffect,
                       TimePoint aNow) const;
  [[nodiscard]] std::size_t MaxEjected(const RoutingPool& aPool) const;
  [[nodiscard]] bool IsSlow(double aSeconds, double aMedian) const;

  EjectionSettings settings;
};

} // namespace toucanstand
