#pragma once

#include <cstddef>
#include <cstdint>

#include "crashes/CrashQuarantine.h"
#include "crashes/PromptPartQuarantine.h"
#include "http/ProbeOutcome.h"
#include "time/BootClock.h"

namespace toucanstand {

/// What the probes of a server have shown so far.
enum class CrashConclusion
{
  /// Nothing yet; the server is to be probed again.
  Open,
  /// Nothing accepts connections at its address although other servers are reached.
  Refused,
  /// Another server has its address.
  OtherServer,
  /// It has registered another run.
  OtherRun,
  /// It answered, so its process goes on.
  Answered,
  /// Neither an answer nor evidence of a crash.
  Unknown,
};

/// Name of a conclusion for metrics and logs.
[[nodiscard]] const char* Name(CrashConclusion aConclusion);

/// True if the server's process ended.
[[nodiscard]] bool IsCrash(CrashConclusion aConclusion);

/// Decides whether a server whose connection broke has crashed. Only evidence that its
/// process ended is a crash: a busy machine and a lost path are silent, too.
class CrashProbeSeries
{
public:
  /// Probes of one series. A machine that is silent while a process ends refuses
  /// connections a moment later.
  static constexpr std::size_t kMaxProbes = 4;
  /// Between the starts of two probes.
  static constexpr Duration kProbeInterval = std::chrono::milliseconds(400);
  /// Time after the break after which no probe starts. A probe takes up to 300 ms more.
  static constexpr Duration kMaxTime = std::chrono::milliseconds(1200);
  // Evidence that comes later would find no run that the server had in progress, or
  // count as another crash than that which other VMs report.
  static_assert(kMaxTime < CrashQuarantine::kAbandonedRunRetention);
  static_assert(kMaxTime < PromptPartQuarantine::kSameCrash);

  /// @param aBrokenAt when the connection broke
  /// @param aStartedAtUnixMs the start of the registered run of the server at that time,
  /// 0 if unknown
  CrashProbeSeries(TimePoint aBrokenAt, std::int64_t aStartedAtUnixMs);

  /// What is known when a probe has ended.
  struct Observation
  {
    ProbeOutcome outcome = ProbeOutcome::Silent;
    /// This VM has reached another server since the connection broke. Without that, its
    /// own paths may be lost.
    bool reachesOthers = false;
    /// Start of the registered run of the server now, 0 if unknown.
    std::int64_t startedAtUnixMs = 0;
  };

  CrashConclusion OnProbed(const Observation& aObservation, TimePoint aNow);

  /// When the next probe is due, while the conclusion is Open.
  [[nodiscard]] TimePoint NextProbeAt() const { return this->nextProbeAt; }
  /// Probes that have ended.
  [[nodiscard]] std::size_t ProbeCount() const { return this->probeCount; }

private:
  TimePoint brokenAt;
  TimePoint nextProbeAt;
  std::int64_t startedAtUnixMs;
  std::size_t probeCount = 0;
};

} // namespace toucanstand
