#include "routing/Ejection.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <vector>

namespace toucanstand {

namespace {

/// Upper bound of the doublings of the ejection period; keeps the shift in range.
constexpr std::size_t kMaxDoublings = 16;

/// Samples are capped at this multiple of the limit for slow candidates, so that a single
/// outlier cannot eject a candidate.
constexpr double kMaxSampleMultiple = 2.0;

std::vector<CandidateState*> EjectedCandidates(const RoutingPool& aPool, TimePoint aNow)
{
  std::vector<CandidateState*> ejected;
  std::ranges::copy_if(
    aPool.Candidates(), std::back_inserter(ejected), [aNow](const auto* aCandidate) {
      return aCandidate->health.Phase(aNow) == HealthPhase::Ejected;
    });
  return ejected;
}

} // namespace

const char* Name(EjectionEffect aEffect)
{
  switch (aEffect) {
    case EjectionEffect::None:
      return "none";
    case EjectionEffect::EjectedAsFailing:
      return "ejected-failing";
    case EjectionEffect::EjectedAsSlow:
      return "ejected-slow";
    case EjectionEffect::KeptByEjectionLimit:
      return "kept-by-share";
    case EjectionEffect::Returned:
      return "returned";
  }
  return "unknown";
}

Ejection::Ejection(const EjectionSettings& aSettings)
  : settings(aSettings)
{
}

EjectionEffect Ejection::OnFailure(CandidateState& aCandidate,
                                   const RoutingPool& aPool,
                                   TimePoint aNow) const
{
  auto& health = aCandidate.health;
  ++health.failuresInARow;
  const auto phase = health.Phase(aNow);
  const bool due = phase == HealthPhase::Probation ||
                   (phase == HealthPhase::Active &&
                    health.failuresInARow >= this->settings.consecutiveFailures);
  return due ? this->Eject(aCandidate, aPool, EjectionEffect::EjectedAsFailing, aNow)
             : EjectionEffect::None;
}

EjectionEffect Ejection::OnSuccess(CandidateState& aCandidate, TimePoint aNow) const
{
  auto& health = aCandidate.health;
  health.failuresInARow = 0;
  if (health.Phase(aNow) != HealthPhase::Probation) {
    return EjectionEffect::None;
  }
  if (++health.probationSuccesses < this->settings.probationSuccesses) {
    return EjectionEffect::None;
  }
  health.ejected = false;
  health.activeSince = aNow;
  return EjectionEffect::Returned;
}

EjectionEffect Ejection::OnLatency(CandidateState& aCandidate,
                                   RoutingPool& aPool,
                                   std::size_t aSeries,
                                   Duration aLatency,
                                   TimePoint aNow) const
{
  auto& health = aCandidate.health;
  const std::size_t needed = this->settings.minLatencySamples;
  const auto median = aPool.MedianLatency(aSeries, needed, aNow);
  double seconds = std::max(ToSeconds(aLatency), 0.0);
  if (median) {
    const double floor = ToSeconds(this->settings.minSlowExcess);
    const double limit = std::max(this->settings.slowFactor * *median, *median + floor);
    seconds = std::min(seconds, kMaxSampleMultiple * limit);
  }
  health.latencies.Record(aSeries, seconds);
  const auto phase = health.Phase(aNow);
  if (!median || phase == HealthPhase::Ejected) {
    return EjectionEffect::None;
  }
  const auto average =
    health.latencies.Average(aSeries, phase == HealthPhase::Probation ? 1 : needed);
  return average && this->IsSlow(*average, *median)
           ? this->Eject(aCandidate, aPool, EjectionEffect::EjectedAsSlow, aNow)
           : EjectionEffect::None;
}

EjectionEffect Ejection::OnUnanswered(CandidateState& aCandidate,
                                      RoutingPool& aPool,
                                      std::size_t aSeries,
                                      Duration aLatency,
                                      TimePoint aNow) const
{
  // Callers of a very slow candidate give up before it answers. Without their waiting
  // times it would never get enough samples to be ejected as slow.
  const auto median =
    aPool.MedianLatency(aSeries, this->settings.minLatencySamples, aNow);
  return median && ToSeconds(aLatency) > *median
           ? this->OnLatency(aCandidate, aPool, aSeries, aLatency, aNow)
           : EjectionEffect::None;
}

EjectionEffect Ejection::Eject(CandidateState& aCandidate,
                               const RoutingPool& aPool,
                               EjectionEffect aEffect,
                               TimePoint aNow) const
{
  auto& health = aCandidate.health;
  if (EjectedCandidates(aPool, aNow).size() >= this->MaxEjected(aPool)) {
    return EjectionEffect::KeptByEjectionLimit;
  }
  // A candidate that stayed active for longer than the maximum period starts again with
  // the initial period.
  if (!health.ejected && aNow - health.activeSince > this->settings.maxPeriod) {
    health.ejections = 0;
  }
  const std::size_t doublings = std::min(health.ejections, kMaxDoublings);
  health.ejectedUntil = aNow + std::min(this->settings.initialPeriod * (1U << doublings),
                                        this->settings.maxPeriod);
  health.ejected = true;
  ++health.ejections;
  health.failuresInARow = 0;
  health.probationSuccesses = 0;
  health.latencies.Clear();
  return aEffect;
}

void Ejection::EnforceEjectionLimit(const RoutingPool& aPool, TimePoint aNow) const
{
  auto ejected = EjectedCandidates(aPool, aNow);
  const std::size_t maxEjected = this->MaxEjected(aPool);
  std::ranges::sort(ejected, std::greater<>(), [](const auto* aCandidate) {
    return aCandidate->health.ejectedUntil;
  });
  for (std::size_t index = maxEjected; index < ejected.size(); ++index) {
    ejected[index]->health.ejectedUntil = aNow;
  }
}

std::size_t Ejection::MaxEjected(const RoutingPool& aPool) const
{
  // 1e-9 compensates for rounding, so that a third of three candidates is one.
  return static_cast<std::size_t>(this->settings.maxEjectedShare *
                                    static_cast<double>(aPool.Candidates().size()) +
                                  1e-9);
}

bool Ejection::IsSlow(double aSeconds, double aMedian) const
{
  return aSeconds > this->settings.slowFactor * aMedian &&
         aSeconds - aMedian > ToSeconds(this->settings.minSlowExcess);
}

} // namespace toucanstand
