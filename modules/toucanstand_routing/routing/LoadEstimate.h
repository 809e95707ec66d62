#pragma once

#include <cstdint>

#include "groups/ReplicaGroup.h"
#include "observation/Observation.h"
#include "routing/OwnRequests.h"

namespace toucanstand {

/// What became of a load report.
enum class ReportVerdict
{
  Accepted,
  /// The report that is already known.
  Repeated,
  /// The candidate has not reported yet.
  Missing,
  /// A number is negative, not finite or above kGreatestLoad.
  Implausible,
  /// Its sequence is lower than that of the report in use.
  Outdated,
};

/// Name of a verdict in state dumps.
[[nodiscard]] const char* Name(ReportVerdict aVerdict);

/// Load of one candidate that this process did not cause, from its last plausible report.
class LoadEstimate
{
public:
  /// Greatest number of requests that a report may name.
  static constexpr double kGreatestLoad = 1'000'000;

  /// Takes over a report unless it is unusable.
  ReportVerdict Accept(const LoadReport& aReport,
                       Generation aGeneration,
                       OwnRequests& aOwn,
                       Duration aStaleness,
                       TimePoint aNow);

  /// Whether a report younger than aStaleness is known.
  [[nodiscard]] bool IsKnown(Duration aStaleness, TimePoint aNow) const;

  /// Requests of others, moving from the reported number to aExpected as the report ages.
  [[nodiscard]] double External(double aExpected,
                                Duration aStaleness,
                                TimePoint aNow) const;

  /// Requests of others according to the last report.
  [[nodiscard]] double ReportedExternal() const { return this->external; }

  /// Reported capacity; meaningful only when IsKnown().
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
