#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "attempts/AttemptFailure.h"
#include "crashes/SuspectDelta.h"
#include "identifiers/Identifiers.h"
#include "observation/WorldView.h"
#include "time/BootClock.h"

namespace toucanstand {

/// What is held against a fingerprint.
enum class SuspicionLevel
{
  /// Nothing: it runs like any other request.
  Clear,
  /// Was in flight in one crash: runs alone, with a grant of the SuspectArbiter.
  RunAlone,
  /// Was in flight in two crashes: not run; its caller gets 422 `quarantined` at once.
  Quarantined,
};

/// How a run on a server ended.
enum class RunEnd
{
  /// The server ran it and answered: this request did not crash it.
  Survived,
  /// The server did not run it: it refused the connection or the request. Says nothing
  /// about what a run would do.
  NotRun,
  /// The caller left, or the connection was lost while the server answers probes. The
  /// server may still be working on the request.
  Abandoned,
};

/// What the end of an attempt says about the request's effect on its server; nothing
/// stands for an answer.
[[nodiscard]] RunEnd RunEndOf(const std::optional<AttemptFailure>& aFailure);

/// Where a request may run now.
enum class PlacementKind
{
  /// On any of the servers.
  Run,
  /// Only on the first server, and only with a grant of the SuspectArbiter.
  RunAlone,
  /// Nowhere before the time given; ask again then.
  Wait,
  /// Nowhere: answer the caller now.
  Reject,
};

/// Decision of CrashQuarantine::Place().
struct Placement
{
  PlacementKind kind = PlacementKind::Reject;
  std::vector<ServerId> servers;
  TimePoint retryAt{};
};

/// A request that was in flight on a crashed server.
struct Suspect
{
  RequestId request;
  std::uint64_t fingerprint = 0;
  SuspicionLevel level = SuspicionLevel::RunAlone;
};

/// Requests in flight per server, and the fingerprints that are suspected of crashing
/// servers. One per entry process, and one per node process for merging.
///
/// @see HomeServers.h and SuspectArbiter.h for the rules between entry VMs.
class CrashQuarantine
{
public:
  static constexpr Duration kSuspicionLifetime = std::chrono::minutes(10);
  /// Deltas with less than this left are not passed on: nodes that exchange them would
  /// otherwise extend the lifetime by the message delay each time, without end.
  static constexpr Duration kMinForwardedLifetime = std::chrono::seconds(10);
  /// An abandoned request can still crash its server; it stays a suspect this long.
  /// Without that, a caller that leaves early and retries would lose a server each time.
  static constexpr Duration kAbandonedRunRetention = std::chrono::seconds(2);
  /// Time in which the other entry VMs' reports of a crash arrive.
  static constexpr Duration kCrashReportDelay = std::chrono::milliseconds(300);
  /// Time between two looks at whether another suspect has ended.
  static constexpr Duration kPlacementRetryInterval = std::chrono::milliseconds(20);
  /// A lost server counts as newly lost again after this.
  static constexpr Duration kLostServerRetention = std::chrono::seconds(10);
  static constexpr std::size_t kMaximumFingerprints = 10'000;
  /// A fingerprint with this many marks is quarantined even when all of them are cleared.
  static constexpr std::size_t kMaximumMarks = 8;

  /// A request is about to be sent to a server. Ends an earlier run of the same request.
  void OnSent(const RequestId& aRequest,
              std::uint64_t aFingerprint,
              const ServerId& aServer);

  /// The run of a request ended other than by a crash of the server.
  void OnEnded(const RequestId& aRequest, RunEnd aEnd, TimePoint aNow);

  /// A server crashed (its exchanges broke, and a probe is refused or shows a restart).
  /// Returns the requests that were in flight on it from this entry VM and marks them. A
  /// request that was abandoned is marked but not returned.
  std::vector<Suspect> OnServerCrashed(const ServerId& aServer, TimePoint aNow);

  /// A server refuses connections, or disappeared from the snapshot without leaving.
  void OnServerLost(const ServerId& aServer, TimePoint aNow);

  /// Until when a request with these home servers waits for other entry VMs' reports; the
  /// past when it needn't wait. Judge it again after that.
  [[nodiscard]] TimePoint CrashReportsDueBy(const std::vector<ServerId>& aHomes) const;

  [[nodiscard]] SuspicionLevel Level(std::uint64_t aFingerprint, TimePoint aNow) const;

  /// False for a quarantined fingerprint. For a suspect, false where another suspect is
  /// in flight from here, and everywhere while the same fingerprint is in flight from
  /// here.
  [[nodiscard]] bool MayRunOn(std::uint64_t aFingerprint,
                              const ServerId& aServer,
                              TimePoint aNow) const;

  /// Where a request may run now: combines the rules below. Call it before each attempt,
  /// and again when a grant arrives.
  ///
  /// @param aServers the usable servers of the pool, including those that refused a
  /// connection but are still in the snapshot; otherwise the home servers would change
  /// before the reports have arrived.
  /// @param aHomeKey selects the home servers, see HomeServers(); the fingerprint unless
  /// given.
  [[nodiscard]] Placement Place(std::uint64_t aFingerprint,
                                const std::vector<ServerId>& aServers,
                                TimePoint aNow,
                                std::optional<std::uint64_t> aHomeKey = {}) const;

  /// Merges what another node knows. True when it was new here.
  bool Merge(const SuspectDelta& aDelta, TimePoint aNow);

  /// Merges a quarantined fingerprint of a WorldView snapshot.
  void Merge(const QuarantineEntry& aEntry, TimePoint aNow);

  /// What is known about one fingerprint, for a grant request.
  [[nodiscard]] SuspectDelta DeltaFor(std::uint64_t aFingerprint, TimePoint aNow) const;

  /// Changes since the last call, to send to the node at once.
  std::vector<SuspectDelta> TakeDeltas(TimePoint aNow);

  /// Everything that is worth passing on, for a peer that may have missed deltas.
  [[nodiscard]] std::vector<SuspectDelta> AllDeltas(TimePoint aNow) const;

  /// Quarantined fingerprints, for a WorldView snapshot.
  [[nodiscard]] std::vector<QuarantineEntry> Quarantined(TimePoint aNow) const;

  /// Fingerprints that are quarantined for crashes seen here, not on another's word:
  /// those must not be passed on, or each would renew the other without end.
  [[nodiscard]] std::vector<std::uint64_t> LocallyQuarantined(TimePoint aNow) const;

  /// Forgets what has outlived its lifetime. Call about once a second.
  void OnTime(TimePoint aNow);

  [[nodiscard]] nlohmann::json Describe(TimePoint aNow) const;

private:
  struct Run
  {
    std::uint64_t fingerprint = 0;
    ServerId server;
    std::uint32_t priorMarks = 0;
    /// Set once the run is abandoned.
    std::optional<TimePoint> expiresAt;
  };

  struct Record
  {
    std::set<CrashMark> marks;
    std::set<CrashMark> cleared;
    TimePoint expiresAt{};
    /// Quarantined on the word of the node, without marks.
    bool quarantinedByNode = false;
  };

  /// The home server on which a suspect runs alone: the first that did not crash with it.
  [[nodiscard]] std::optional<ServerId> TrialServer(
    std::uint64_t aFingerprint,
    const std::vector<ServerId>& aHomes) const;
  [[nodiscard]] static SuspicionLevel LevelOf(const Record& aRecord);
  [[nodiscard]] const Record* Find(std::uint64_t aFingerprint) const;
  Record& FindOrInsert(std::uint64_t aFingerprint, TimePoint aNow);
  void AddMark(const Run& aRun, TimePoint aNow);
  void EvictOne();

  std::unordered_map<RequestId, Run> runs;
  std::unordered_map<ServerId, std::unordered_set<RequestId>> runsOfServer;
  std::unordered_map<std::uint64_t, Record> records;
  std::unordered_map<ServerId, TimePoint> serverLostAt;
  std::set<std::uint64_t> changedFingerprints;
};

} // namespace toucanstand
