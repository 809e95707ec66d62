#pragma once

#include <cstdint>

#include "groups/ReplicaGroup.h"
#include "observation/Observation.h"
#include "routing/OwnRequests.h"

namespace toucanstand {

/// What became of a load report.
enum class ReportStatus
{
  Accepted,
  /// The report that is already known.
  Repeated,
  /// The candidate has not reported yet.
  Missing,
  /// A number is negative, not finite or above kMaxRequests.
  Implausible,
  /// Its sequence is lower than that of the report in use.
  Outdated,
};

/// Name of a verdict in state dumps.
[[nodiscard]] const char* Name(ReportStatus aStatus);

/// Load of one candidate that this process did not cause, from its last plausible report.
class LoadEstimate
{
public:
  /// Greatest number of requests that a report may name.
  static constexpr double kMaxRequests = 1'000'000;

  /// Takes over a report unless it is unusable.
  ReportStatus Accept(const LoadReport& aReport,
                      Generation aGeneration,
                      OwnRequests& aOwn,
                      Duration aMaxReportAge,
                      TimePoint aNow);

  /// Whether a report younger than aMaxReportAge is known.
  [[nodiscard]] bool HasFreshReport(Duration aMaxReportAge, TimePoint aNow) const;

  /// Requests of others, moving from the reported number to aExpected as the report ages.
  [[nodiscard]] double ExternalRequests(double aExpected,
                                        Duration aMaxReportAge,
                                        TimePoint aNow) const;

  /// Requests of others according to the last report.
  [[nodiscard]] double ReportedExternalRequests() const { return this->external; }

  /// Reported capacity; meaningful only when HasFreshReport().
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
