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

/// Health phase of a candidate: active, ejected, or on probation after an ejection.
enum class HealthPhase
{
  Active,
  Ejected,
  /// Usable again after an ejection, with one request at a time.
  Probation,
};

/// Name of a phase, used in state dumps.
[[nodiscard]] const char* Name(HealthPhase aPhase);

/// Health record of one candidate: failures, latencies and ejections. @see Ejection
struct Health
{
  bool ejected = false;
  /// End of the ejection; probation follows.
  TimePoint ejectedUntil{};
  /// Consecutive ejections; determines the length of the next one.
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

  /// Updates the candidate from a newer view.
  /// @return whether the load report was accepted.
  ReportStatus UpdateFromView(const Candidate& aCandidate,
                              Duration aMaxReportAge,
                              TimePoint aNow);

  /// Marks the candidate as unusable after a refused connection, until a newer view shows
  /// that it is reachable.
  void OnConnectionRefused(TimePoint aNow);

  /// Pauses the candidate after a rejected request; the pause grows with consecutive
  /// rejections.
  void OnRejected(Duration aPause, TimePoint aNow);

  /// Resets the growth of pauses after an answered request.
  void OnAnswered() { this->rejectionsInARow = 0; }

  /// Whether the candidate is listed, valid at aNow, and not refusing connections.
  [[nodiscard]] bool IsUsable(TimePoint aNow) const;

  /// Whether the candidate is usable and neither ejected nor paused. On probation, it
  /// must also have no outstanding request.
  [[nodiscard]] bool IsPreferred(TimePoint aNow) const;

  /// Whether the last accepted report lists a prefix as cached.
  [[nodiscard]] bool HasPrefix(std::uint64_t aPrefix) const;

  /// Last known candidate; its cached prefixes are removed so that copies are cheap.
  Candidate candidate;
  /// False when the last view did not contain the candidate, or it is outside this node's
  /// subset.
  bool listed = true;
  /// When it was last listed.
  TimePoint lastListed{};
  bool inOwnZone;
  std::uint64_t hash;
  OwnRequests ownRequests;
  /// Outstanding own requests of class Long; included in `ownRequests`.
  double ownLong = 0;
  LoadEstimate load;
  Health health;
  /// Requests that the candidate can run at once, clamped to a range around the pool's
  /// median.
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
