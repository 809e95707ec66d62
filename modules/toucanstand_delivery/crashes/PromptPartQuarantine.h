#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "crashes/CrashQuarantine.h"
#include "identifiers/Identifiers.h"
#include "observation/NewsScope.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Evidence that entry VMs exchange about prompt parts that crash backend servers.
/// Merging is idempotent and does not depend on the order.
struct PromptPartEvidence
{
  /// A crashed server and the parts of the runs that had just started on it.
  struct Crash
  {
    ServerId server;
    Duration age{ 0 };
    std::vector<PromptPartId> parts;
  };

  /// A run with the part went on undisturbed.
  struct Survival
  {
    PromptPartId part = 0;
    Duration age{ 0 };
  };

  std::vector<Crash> crashes;
  std::vector<Survival> survivals;
  /// Parts that the sender has quarantined because of its evidence.
  std::vector<PromptPartId> quarantined;
};

/// Finds the parts of prompts that crash each server that starts to answer a request with
/// them, whatever else the request holds, and quarantines them.
///
/// A crash is evidence against all parts of the runs that had just started on the server;
/// a run that goes on clears its parts of all earlier crashes. Of the parts that share
/// crashes, the one with the strongest evidence is quarantined. Its crashes are explained
/// then and no longer count against the others.
class PromptPartQuarantine
{
public:
  /// A part is quarantined after this many crashes if no run with it went on before and
  /// no other part shares all of them.
  static constexpr std::size_t kMinCrashes = 3;
  /// After this many crashes, a part is quarantined although runs with it went on before,
  /// or although other parts share the crashes.
  static constexpr std::size_t kDecisiveCrashes = 5;
  /// A run that delivered fewer events may still be about to crash its server.
  static constexpr std::size_t kEventsToSurvive = 3;
  /// Crashes that follow one another more closely count as one: a fault of the machines
  /// or the network ends several servers at once.
  static constexpr Duration kMinCrashDistance = std::chrono::milliseconds(100);
  /// Time within which other VMs' evidence on a crash arrives, and runs with the same
  /// parts on other servers show that they go on.
  static constexpr Duration kSettlingTime = std::chrono::milliseconds(600);
  /// Reports of one server within this time are about the same crash.
  static constexpr Duration kSameCrash = std::chrono::milliseconds(1500);
  static constexpr Duration kLifetime = std::chrono::minutes(10);
  /// New evidence is part of each report to other VMs for this long. Reports are sent at
  /// least once a second.
  static constexpr Duration kNewsLifetime = std::chrono::milliseconds(2500);
  /// A part that went on this recently is not quarantined because a peer says so.
  static constexpr Duration kRecentSurvival = std::chrono::seconds(1);

  static constexpr std::size_t kMaxPartsPerRun = 64;
  static constexpr std::size_t kMaxPartsPerCrash = 128;
  static constexpr std::size_t kMaxCrashes = 128;
  static constexpr std::size_t kMaxSurvivals = 4096;
  static constexpr std::size_t kMaxQuarantined = 1024;
  /// Maximum sizes of the lists of one report.
  static constexpr std::size_t kMaxReportedCrashes = 8;
  static constexpr std::size_t kMaxReportedSurvivals = 256;
  static constexpr std::size_t kMaxReportedQuarantined = 256;

  /// A request is about to be sent to a server.
  /// @param aParts the parts of its prompt that other requests may share, in order
  void OnSent(const RequestId& aRun,
              const ServerId& aServer,
              std::span<const PromptPartId> aParts);

  /// The run has delivered this many events so far.
  void OnEvents(const RequestId& aRun, std::size_t aEvents, TimePoint aNow);

  void OnEnded(const RequestId& aRun, RunEnd aEnd, TimePoint aNow);

  /// A server crashed, as the broken connection of a run and a probe have shown.
  void OnServerCrashed(const ServerId& aServer, TimePoint aNow);

  void Merge(const PromptPartEvidence& aEvidence, TimePoint aNow);

  /// Takes over a part that is quarantined in the store or by a peer.
  void OnQuarantinedElsewhere(PromptPartId aPart, TimePoint aNow);

  /// Ends the quarantine of a part and drops all evidence against it.
  void Release(PromptPartId aPart, TimePoint aNow);

  /// Returns the first of the parts that is quarantined.
  [[nodiscard]] std::optional<PromptPartId> FindQuarantined(
    std::span<const PromptPartId> aParts,
    TimePoint aNow) const;

  /// Time until the end of a part's quarantine; zero if it is not quarantined.
  [[nodiscard]] Duration RemainingTime(PromptPartId aPart, TimePoint aNow) const;

  /// All quarantined parts, also those taken over from others.
  [[nodiscard]] std::vector<PromptPartId> Quarantined(TimePoint aNow) const;

  /// A part that has just been quarantined.
  struct Verdict
  {
    PromptPartId part = 0;
    std::size_t crashes = 0;
  };

  /// Removes what has expired and judges new evidence. Call several times a second.
  std::vector<Verdict> OnTime(TimePoint aNow);

  /// What has changed within kNewsLifetime, and the quarantined parts. Parts taken over
  /// from others are left out: two VMs would renew each other's quarantine forever.
  /// @param aScope of the survivals; all new crashes are passed on
  [[nodiscard]] PromptPartEvidence News(TimePoint aNow, NewsScope aScope) const;

  [[nodiscard]] nlohmann::json Describe(TimePoint aNow) const;

private:
  /// A run that may still be about to crash its server.
  struct Run
  {
    ServerId server;
    std::vector<PromptPartId> parts;
    std::size_t events = 0;
    /// Set when the run ended without an answer.
    std::optional<TimePoint> expiresAt;
  };

  struct Crash
  {
    ServerId server;
    TimePoint at{};
    TimePoint changedAt{};
    /// Parts of one run are in the order of its prompt.
    std::vector<PromptPartId> parts;
  };

  /// The last run with a part that went on.
  struct LastRun
  {
    TimePoint at{};
    /// It was a run of this VM.
    bool isOwn = false;
  };

  struct Survival
  {
    PromptPartId part = 0;
    LastRun run;
    TimePoint changedAt{};
  };

  struct Entry
  {
    TimePoint since{};
    TimePoint until{};
    bool isOwnVerdict = false;
  };

  /// The crashes that a part shares.
  struct Suspicion
  {
    PromptPartId part = 0;
    /// Crashes with at least kMinCrashDistance between them.
    std::size_t distinctCrashes = 0;
    TimePoint lastDistinctCrashAt{};
    std::vector<const Crash*> crashes;
    /// Position among the parts of the last crash.
    std::size_t position = 0;
  };

  void AddCrash(const ServerId& aServer,
                TimePoint aAt,
                std::vector<PromptPartId> aParts,
                TimePoint aNow);
  void AddSurvival(PromptPartId aPart, const LastRun& aRun, TimePoint aNow);
  void AddSurvivalNews(PromptPartId aPart, const LastRun& aRun, TimePoint aNow);
  void Quarantine(PromptPartId aPart, bool aIsOwnVerdict, TimePoint aNow);
  [[nodiscard]] bool IsSharedElsewhere(PromptPartId aPart, const Crash& aCrash) const;
  [[nodiscard]] bool IsExplained(const Crash& aCrash) const;
  /// True if a run with the part went on recently.
  [[nodiscard]] bool HasSurvived(PromptPartId aPart) const;
  /// TimePoint::min() if no run with the part went on recently.
  [[nodiscard]] TimePoint LastSurvival(PromptPartId aPart) const;
  [[nodiscard]] std::vector<Suspicion> Suspicions(TimePoint aNow) const;
  [[nodiscard]] std::optional<Verdict> FindCulprit(TimePoint aNow) const;

  std::unordered_map<RequestId, Run> runs;
  /// In the order of their times.
  std::deque<Crash> crashes;
  std::unordered_map<PromptPartId, LastRun> lastSurvivals;
  /// Survivals of parts that are in the evidence or were quarantined.
  std::deque<Survival> survivalNews;
  std::unordered_map<PromptPartId, Entry> quarantined;
  /// Evidence that is older was judged before.
  TimePoint lastChange{};
};

} // namespace toucanstand
