#pragma once

#include <nlohmann/json_fwd.hpp>

#include "time/BootClock.h"

namespace toucanstand {

/// What to do about an exchange that makes no progress.
enum class ProgressAction
{
  None,
  /// Probe the server over a new connection and report the result to OnProbeResult().
  Probe,
  /// The server answered the probe, so only the connection is dead: close it and keep
  /// using the server.
  CloseConnection,
  /// The probe failed too: close the connection and report the server as suspect.
  SuspectServer,
};

/// Maximum times without received bytes in one exchange.
struct ProgressTimeouts
{
  /// From the end of the request to the first event; includes queueing on the server.
  Duration firstEvent = std::chrono::seconds(10);
  /// Between later events.
  Duration betweenEvents = std::chrono::seconds(2);
  /// From sending the probe to its answer.
  Duration probe = std::chrono::seconds(1);
};

/// Enforces progress timeouts on one exchange and uses a probe to distinguish a dead
/// connection from a server that does not respond.
class ProgressWatch
{
public:
  ProgressWatch(ProgressTimeouts aLimits, TimePoint aNow);

  /// Bytes of the response arrived. Cancels a pending probe.
  void OnProgress(TimePoint aNow);

  /// Checks the timeouts. Call at NextCheck() or later.
  [[nodiscard]] ProgressAction OnTime(TimePoint aNow);

  /// The probe was answered or failed. Returns None if bytes arrived in the meantime.
  [[nodiscard]] ProgressAction OnProbeResult(bool aAnswered);

  /// When OnTime() has to be called next; TimePoint::max() after CloseConnection or
  /// SuspectServer was returned.
  [[nodiscard]] TimePoint NextCheck() const;

  [[nodiscard]] nlohmann::json Describe() const;

private:
  enum class State
  {
    Watching,
    Probing,
    Decided,
  };

  ProgressTimeouts limits;
  State state = State::Watching;
  TimePoint deadline;
};

} // namespace toucanstand
