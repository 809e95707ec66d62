#include "routing/LoadEstimate.h"

#include <algorithm>
#include <cmath>

namespace toucanstand {

namespace {

/// A new report lowers the external load at most to this share of the previous one, minus
/// half a request. A report that jumps to zero would otherwise attract the next requests
/// of all nodes.
constexpr double kMinRetainedShare = 0.5;
constexpr double kRetainedDeduction = 0.5;

bool IsValidCount(double aNumber)
{
  return std::isfinite(aNumber) && aNumber >= 0 && aNumber <= LoadEstimate::kMaxRequests;
}

bool IsPlausible(const LoadReport& aReport)
{
  return IsValidCount(aReport.running) && IsValidCount(aReport.queued) &&
         IsValidCount(aReport.capacity) && aReport.capacity > 0;
}

} // namespace

const char* Name(ReportStatus aStatus)
{
  switch (aStatus) {
    case ReportStatus::Accepted:
      return "accepted";
    case ReportStatus::Repeated:
      return "repeated";
    case ReportStatus::Missing:
      return "missing";
    case ReportStatus::Implausible:
      return "implausible";
    case ReportStatus::Outdated:
      return "outdated";
  }
  return "unknown";
}

ReportStatus LoadEstimate::Accept(const LoadReport& aReport,
                                  Generation aGeneration,
                                  OwnRequests& aOwn,
                                  Duration aMaxReportAge,
                                  TimePoint aNow)
{
  if (aReport.sequence == 0 && aReport.receivedAt == TimePoint{}) {
    return ReportStatus::Missing;
  }
  if (!IsPlausible(aReport)) {
    return ReportStatus::Implausible;
  }
  // A restarted server starts its sequence numbers again, so they are compared only
  // within one generation and while the last report is fresh.
  const bool comparable =
    this->generation == aGeneration && this->HasFreshReport(aMaxReportAge, aNow);
  if (comparable && aReport.sequence < this->sequence) {
    return ReportStatus::Outdated;
  }
  const bool repeated =
    this->known && this->generation == aGeneration && aReport.sequence == this->sequence;
  if (repeated) {
    return ReportStatus::Repeated;
  }
  const TimePoint at = std::min(aReport.receivedAt, aNow);
  const double others =
    std::max(0.0, aReport.running + aReport.queued - aOwn.OutstandingAt(at, aNow));
  const double minRetained = this->external * kMinRetainedShare - kRetainedDeduction;
  this->external = comparable ? std::max(others, minRetained) : others;
  this->capacity = aReport.capacity;
  this->sequence = aReport.sequence;
  this->generation = aGeneration;
  this->reportedAt = at;
  this->known = true;
  return ReportStatus::Accepted;
}

bool LoadEstimate::HasFreshReport(Duration aMaxReportAge, TimePoint aNow) const
{
  return this->known && aNow - this->reportedAt < aMaxReportAge;
}

double LoadEstimate::ExternalRequests(double aExpected,
                                      Duration aMaxReportAge,
                                      TimePoint aNow) const
{
  if (!this->HasFreshReport(aMaxReportAge, aNow)) {
    return aExpected;
  }
  const double age = static_cast<double>((aNow - this->reportedAt).count()) /
                     static_cast<double>(aMaxReportAge.count());
  return this->external + (aExpected - this->external) * std::clamp(age, 0.0, 1.0);
}

} // namespace toucanstand
