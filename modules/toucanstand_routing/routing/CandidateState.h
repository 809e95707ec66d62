#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "observation/WorldView.h"
#include "routing/LatencyAverages.h"
#include "routing/LoadEstimate.h"
#include "routing/OwnRequests.h"
#include "routing/RouteQuery.h"

namespace toucanstand {

/// Where a candidate stands in the cycle of ejection and return.
enum class HealthPhase
{
  Active,
  Ejected,
  /// Back after an ejection, with one request at a time.
  Probation,
};

/// Name of a phase in state dumps.
[[nodiscard]] const char* Name(HealthPhase aPhase);

/// Failures and latencies of one candidate. @see Ejection
struct Health
{
  bool ejected = false;
  /// End of the ejection; probation follows.
  TimePoint ejectedUntil{};
  /// Ejections in a row; determines the length of the next one.
  std::size_t ejections = 0;
  std::size_t failuresInARow = 0;
  std::size_t probationSuccesses = 0;
  TimePoint activeSince{};
  LatencyAverages latencies;

  [[nodiscard]] HealthPhase Phase(TimePoint aNow) const;
};

/// Everything a router knows about one candidate.
class CandidateState
{
public:
  CandidateState(Candidate aCandidate, bool aInOwnZone);

  /// Takes over what a newer view says.
  /// @return what became of the load report.
  ReportStatus UpdateFromView(const Candidate& aCandidate,
                              Duration aMaxReportAge,
                              TimePoint aNow);

  /// A connection was refused: the candidate is unusable until a newer view renews it.
  void OnConnectionRefused(TimePoint aNow);

  /// The candidate rejected a request: it is paused, longer for each one in a row.
  void OnRejected(Duration aPause, TimePoint aNow);

  /// An answer ends the growth of pauses.
  void OnAnswered() { this->rejectionsInARow = 0; }

  /// Listed, valid at aNow, and not refusing connections.
  [[nodiscard]] bool IsUsable(TimePoint aNow) const;

  /// Usable, and neither ejected nor paused; in probation only without other requests.
  [[nodiscard]] bool IsPreferred(TimePoint aNow) const;

  /// Whether the last report names a prefix as cached.
  [[nodiscard]] bool HasPrefix(std::uint64_t aPrefix) const;

  /// Without the cached prefixes, so that a copy is cheap.
  Candidate candidate;
  /// False when the last view did not name it, or it is outside this node's subset.
  bool listed = true;
  /// When it was last listed.
  TimePoint lastListed{};
  bool inOwnZone;
  std::uint64_t hash;
  OwnRequests ownRequests;
  /// Own requests outstanding that are long work; part of `own`.
  double ownLong = 0;
  LoadEstimate load;
  Health health;
  /// Requests it can run at once, bounded by what is usual in its pool.
  double capacity = 1;

private:
  struct ConnectionRefusal
  {
    TimePoint at;
    TimePoint usableUntil;
    Generation generation;
  };
  /// Cached prefixes of the last accepted report, in ascending order.
  std::vector<std::uint64_t> prefixes;
  std::optional<ConnectionRefusal> refusal;
  TimePoint pausedUntil{};
  std::size_t rejectionsInARow = 0;
};

} // namespace toucanstand
