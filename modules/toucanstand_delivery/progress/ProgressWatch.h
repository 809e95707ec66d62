#pragma once

#include <nlohmann/json_fwd.hpp>

#include "time/BootClock.h"

namespace toucanstand {

/// What to do about an exchange whose progress is watched.
enum class ProgressAction
{
  None,
  /// Probe the server over a fresh connection and report the result.
  Probe,
  /// The server answers and the connection doesn't: close the connection, keep the
  /// server.
  CloseConnection,
  /// The server doesn't answer a probe either: close the connection, report the server.
  SuspectServer,
};

/// Longest silences of one exchange.
struct ProgressTimeouts
{
  /// From the end of the request to the first event; includes queueing in the server.
  Duration firstEvent = std::chrono::seconds(10);
  /// Between later events.
  Duration betweenEvents = std::chrono::seconds(2);
  /// For the answer to the probe.
  Duration probe = std::chrono::seconds(1);
};

/// Progress deadline of one exchange: tells a silent connection from a silent server.
class ProgressWatch
{
public:
  ProgressWatch(ProgressTimeouts aLimits, TimePoint aNow);

  /// Bytes of the response arrived. Cancels a probe that is under way.
  void OnProgress(TimePoint aNow);

  /// Call at NextCheck() or later.
  [[nodiscard]] ProgressAction OnTime(TimePoint aNow);

  /// The probe was answered or failed. None when progress has been made meanwhile.
  [[nodiscard]] ProgressAction OnProbeResult(bool aAnswered);

  /// When OnTime() has to be called next; TimePoint::max() when the exchange is judged.
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
