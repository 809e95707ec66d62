#include "routing/LoadEstimate.h"

#include <algorithm>
#include <cmath>

namespace toucanstand {

namespace {

/// Share of a load that remains at least from one report to the next, less half a
/// request. A report that jumps to zero would otherwise attract the next requests of all
/// nodes.
constexpr double kRemainingShare = 0.5;
constexpr double kRemainderIgnored = 0.5;

bool IsCount(double aNumber)
{
  return std::isfinite(aNumber) && aNumber >= 0 && aNumber <= LoadEstimate::kGreatestLoad;
}

bool IsPlausible(const LoadReport& aReport)
{
  return IsCount(aReport.running) && IsCount(aReport.queued) &&
         IsCount(aReport.capacity) && aReport.capacity > 0;
}

} // namespace

const char* Name(ReportVerdict aVerdict)
{
  switch (aVerdict) {
    case ReportVerdict::Accepted:
      return "accepted";
    case ReportVerdict::Repeated:
      return "repeated";
    case ReportVerdict::Missing:
      return "missing";
    case ReportVerdict::Implausible:
      return "implausible";
    case ReportVerdict::Outdated:
      return "outdated";
  }
  return "unknown";
}

ReportVerdict LoadEstimate::Accept(const LoadReport& aReport,
                                   Generation aGeneration,
                                   OwnRequests& aOwn,
                                   Duration aStaleness,
                                   TimePoint aNow)
{
  if (aReport.sequence == 0 && aReport.receivedAt == TimePoint{}) {
    return ReportVerdict::Missing;
  }
  if (!IsPlausible(aReport)) {
    return ReportVerdict::Implausible;
  }
  // A restarted server counts from the start again, so that the order of sequences only
  // holds within one generation and while the last report is fresh.
  const bool sameRun = this->generation == aGeneration && this->IsKnown(aStaleness, aNow);
  if (sameRun && aReport.sequence < this->sequence) {
    return ReportVerdict::Outdated;
  }
  const bool repeated =
    this->known && this->generation == aGeneration && aReport.sequence == this->sequence;
  if (repeated) {
    return ReportVerdict::Repeated;
  }
  const TimePoint at = std::min(aReport.receivedAt, aNow);
  const double others =
    std::max(0.0, aReport.running + aReport.queued - aOwn.OutstandingAt(at, aNow));
  const double least = this->external * kRemainingShare - kRemainderIgnored;
  this->external = sameRun ? std::max(others, least) : others;
  this->capacity = aReport.capacity;
  this->sequence = aReport.sequence;
  this->generation = aGeneration;
  this->reportedAt = at;
  this->known = true;
  return ReportVerdict::Accepted;
}

bool LoadEstimate::IsKnown(Duration aStaleness, TimePoint aNow) const
{
  return this->known && aNow - this->reportedAt < aStaleness;
}

double LoadEstimate::External(double aExpected, Duration aStaleness, TimePoint aNow) const
{
  if (!this->IsKnown(aStaleness, aNow)) {
    return aExpected;
  }
  const double age = static_cast<double>((aNow - this->reportedAt).count()) /
                     static_cast<double>(aStaleness.count());
  return this->external + (aExpected - this->external) * std::clamp(age, 0.0, 1.0);
}

} // namespace toucanstand
