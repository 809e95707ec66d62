#pragma once

#include <cstdint>

#include "groups/ReplicaGroup.h"
#include "observation/Observation.h"
#include "routing/OwnRequests.h"

namespace toucanstand {

/// Whether a load report was accepted, or why not.
enum class ReportStatus
{
  Accepted,
  /// The report was already received.
  Repeated,
  /// The candidate has not reported yet.
  Missing,
  /// A number is negative, not finite or above kMaxRequests, or the capacity is zero.
  Implausible,
  /// Its sequence number is lower than that of the report in use.
  Outdated,
};

/// Name of a status, used in state dumps.
[[nodiscard]] const char* Name(ReportStatus aStatus);

/// Estimate of the load that other processes put on one candidate, from its last
/// plausible report.
class LoadEstimate
{
public:
  /// Maximum number of requests that a report may contain.
  static constexpr double kMaxRequests = 1'000'000;

  /// Applies a report if it is plausible and newer than the one in use.
  ReportStatus Accept(const LoadReport& aReport,
                      Generation aGeneration,
                      OwnRequests& aOwn,
                      Duration aMaxReportAge,
                      TimePoint aNow);

  /// Whether the report in use is younger than aMaxReportAge.
  [[nodiscard]] bool HasFreshReport(Duration aMaxReportAge, TimePoint aNow) const;

  /// Estimated requests of other processes: moves linearly from the reported number to
  /// aExpected as the report ages to aMaxReportAge.
  [[nodiscard]] double ExternalRequests(double aExpected,
                                        Duration aMaxReportAge,
                                        TimePoint aNow) const;

  /// Requests of other processes according to the last report.
  [[nodiscard]] double ReportedExternalRequests() const { return this->external; }

  /// Reported capacity; valid only while HasFreshReport().
  [[nodiscard]] double ReportedCapacity() const { return this->capacity; }

private:
  bool known = false;
  Generation generation = 0;
  std::uint64_t sequence = 0;
  TimePoint reportedAt{};
  double external = 0;
  double capacity = 1;
};

} // namespace toucanstand
