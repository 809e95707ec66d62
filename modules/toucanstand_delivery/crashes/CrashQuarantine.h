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

/// How strongly a fingerprint is suspected of crashing servers.
enum class SuspicionLevel
{
  /// Not suspected: runs like any other request.
  Clear,
  /// Was in flight during one crash: runs one at a time, with a grant from the
  /// SuspectArbiter.
  RunAlone,
  /// Was in flight during two crashes, or three if it was answered shortly before: not
  /// run; the caller gets 422 `quarantined` immediately.
  Quarantined,
};

/// How a run on a server ended.
enum class RunEnd
{
  /// The server answered, so the request did not crash it.
  Survived,
  /// The server refused the connection or the request. Gives no evidence on whether the
  /// request would crash it.
  NotRun,
  /// The caller disconnected, or the connection was lost while the server still answers
  /// probes. The server may still be executing the request.
  Abandoned,
};

/// Maps the failure of an attempt to how its run ended. No failure means that the server
/// answered.
[[nodiscard]] RunEnd RunEndOf(const std::optional<AttemptFailure>& aFailure);

/// Where a request may run now.
enum class PlacementKind
{
  /// On any server of Placement::servers.
  Run,
  /// Only on the first server, and only with a grant from the SuspectArbiter.
  RunAlone,
  /// Nowhere yet; call Place() again at Placement::retryAt.
  Wait,
  /// Nowhere: reject the request now.
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

/// Tracks the requests in flight per server and the fingerprints that are suspected of
/// crashing servers. Each entry process has one, and each node process has one to merge
/// the reports of several processes.
///
/// @see HomeServers.h and SuspectArbiter.h for the coordination between entry VMs.
class CrashQuarantine
{
public:
  static constexpr Duration kSuspicionLifetime = std::chrono::minutes(10);
  /// Deltas with a shorter remaining lifetime are not forwarded. Otherwise nodes that
  /// exchange them would extend the lifetime by the message delay each time, forever.
  static constexpr Duration kMinForwardedLifetime = std::chrono::seconds(10);
  /// An abandoned request can still crash its server, so it is tracked for this long.
  /// Otherwise a caller that disconnects early and retries could crash a server each time
  /// without being detected.
  static constexpr Duration kAbandonedRunRetention = std::chrono::seconds(2);
  /// Time within which the other entry VMs' reports of a crash arrive.
  static constexpr Duration kCrashReportDelay = std::chrono::milliseconds(300);
  /// Interval at which a suspect that waits for another suspect to end is placed again.
  static constexpr Duration kPlacementRetryInterval = std::chrono::milliseconds(20);
  /// Time for which the loss of a server is remembered; after it, OnServerLost() records
  /// a new loss.
  static constexpr Duration kLostServerRetention = std::chrono::seconds(10);
  static constexpr std::size_t kMaximumFingerprints = 10'000;
  /// Uncleared marks that quarantine a fingerprint, and one that was answered shortly
  /// before its first mark: callers repeat it often, so that it is in flight on many
  /// servers that crash for another reason.
  static constexpr std::size_t kMarksForQuarantine = 2;
  static constexpr std::size_t kMarksAfterAnswers = 3;
  /// Time for which the answer to a fingerprint is remembered.
  static constexpr Duration kAnswerRetention = std::chrono::seconds(10);
  static constexpr std::size_t kMaximumAnswered = 4096;
  /// Crashes that follow one another more closely count as one for a fingerprint that was
  /// answered shortly before: a fault of the machines ends several servers at once.
  static constexpr Duration kMinCrashDistance = std::chrono::milliseconds(100);
  /// A fingerprint with this many marks is quarantined even if all of them are cleared.
  static constexpr std::size_t kMaximumMarks = 8;

  /// A request is about to be sent to a server. Replaces an earlier run of the request.
  void OnSent(const RequestId& aRequest,
              std::uint64_t aFingerprint,
              const ServerId& aServer);

  /// The run of a request ended without a crash of the server.
  void OnEnded(const RequestId& aRequest, RunEnd aEnd, TimePoint aNow);

  /// A server crashed (its exchanges broke, and a probe is refused or shows a restart).
  /// Marks the requests that this entry VM had in flight on it, and returns them except
  /// for abandoned ones.
  std::vector<Suspect> OnServerCrashed(const ServerId& aServer, TimePoint aNow);

  /// A server refuses connections, or vanished from the snapshot without a clean
  /// shutdown.
  void OnServerLost(const ServerId& aServer, TimePoint aNow);

  /// Time by which the other entry VMs' reports of recent losses of these servers have
  /// arrived; requests with these home servers wait until then. In the past if there is
  /// nothing to wait for.
  [[nodiscard]] TimePoint CrashReportsDueBy(const std::vector<ServerId>& aHomes) const;

  [[nodiscard]] SuspicionLevel Level(std::uint64_t aFingerprint, TimePoint aNow) const;

  /// False for a quarantined fingerprint. For a suspect, false on a server on which this
  /// process has another suspect in flight, and on all servers while this process has the
  /// same fingerprint in flight.
  [[nodiscard]] bool MayRunOn(std::uint64_t aFingerprint,
                              const ServerId& aServer,
                              TimePoint aNow) const;

  /// Decides where a request may run now, by its suspicion level, its home servers,
  /// recent server losses and suspects in flight. Call before each attempt, and again
  /// when a grant arrives.
  ///
  /// @param aServers the usable servers of the pool, including servers that refused a
  /// connection but are still in the snapshot; without them the home servers would change
  /// before the crash reports have arrived.
  /// @param aHomeKey selects the home servers, see HomeServers(); defaults to the
  /// fingerprint.
  [[nodiscard]] Placement Place(std::uint64_t aFingerprint,
                                const std::vector<ServerId>& aServers,
                                TimePoint aNow,
                                std::optional<std::uint64_t> aHomeKey = {}) const;

  /// Merges a delta from another node. True when it added marks or cleared any.
  bool Merge(const SuspectDelta& aDelta, TimePoint aNow);

  /// Merges a quarantined fingerprint from a WorldView snapshot or from a peer.
  void Merge(const QuarantineEntry& aEntry, TimePoint aNow);

  /// Current state of one fingerprint, for a grant request.
  [[nodiscard]] SuspectDelta DeltaFor(std::uint64_t aFingerprint, TimePoint aNow) const;

  /// Changes since the last call, to be sent to the node immediately.
  std::vector<SuspectDelta> TakeDeltas(TimePoint aNow);

  /// All forwardable deltas, for a peer that may have missed some.
  [[nodiscard]] std::vector<SuspectDelta> AllDeltas(TimePoint aNow) const;

  /// Quarantined fingerprints, for a WorldView snapshot.
  [[nodiscard]] std::vector<QuarantineEntry> Quarantined(TimePoint aNow) const;

  /// Fingerprints quarantined because of marks, without those taken over from a snapshot
  /// or peer. Forwarding the latter would make two VMs renew each other's quarantine
  /// forever.
  [[nodiscard]] std::vector<std::uint64_t> LocallyQuarantined(TimePoint aNow) const;

  /// Removes expired entries. Call about once a second.
  void OnTime(TimePoint aNow);

  [[nodiscard]] nlohmann::json Describe(TimePoint aNow) const;

private:
  struct Run
  {
    std::uint64_t fingerprint = 0;
    ServerId server;
    std::uint32_t priorMarks = 0;
    /// Set when the run is abandoned.
    std::optional<TimePoint> expiresAt;
  };

  struct Record
  {
    std::set<CrashMark> marks;
    std::set<CrashMark> cleared;
    TimePoint expiresAt{};
    std::size_t marksForQuarantine = kMarksForQuarantine;
    /// Time of the last mark for a run of this process.
    TimePoint lastOwnMarkAt{};
    /// Reported as quarantined by a snapshot or peer, without the marks behind it.
    bool quarantinedRemotely = false;
  };

  /// The home server for a suspect's next run: the first one without a mark for it.
  [[nodiscard]] std::optional<ServerId> TrialServer(
    std::uint64_t aFingerprint,
    const std::vector<ServerId>& aHomes) const;
  [[nodiscard]] static std::size_t UnclearedMarks(const Record& aRecord);
  [[nodiscard]] static SuspicionLevel LevelOf(const Record& aRecord);
  [[nodiscard]] bool WasAnsweredRecently(std::uint64_t aFingerprint,
                                         TimePoint aNow) const;
  [[nodiscard]] const Record* Find(std::uint64_t aFingerprint) const;
  Record& FindOrInsert(std::uint64_t aFingerprint, TimePoint aNow);
  void AddMark(const Run& aRun, TimePoint aNow);
  void RecordAnswer(std::uint64_t aFingerprint, TimePoint aNow);
  void EvictLeastSuspectedRecord();

  std::unordered_map<RequestId, Run> runs;
  std::unordered_map<ServerId, std::unordered_set<RequestId>> runsOfServer;
  std::unordered_map<std::uint64_t, Record> records;
  std::unordered_map<ServerId, TimePoint> serverLostAt;
  std::set<std::uint64_t> changedFingerprints;
  /// Time of the last answer, by fingerprint.
  std::unordered_map<std::uint64_t, TimePoint> answeredAt;
};

} // namespace toucanstand
