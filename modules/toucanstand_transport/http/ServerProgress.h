#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

#include "time/BootClock.h"

namespace toucanstand {

/// How far a backend server has come with the request of an exchange, for the log of
/// requests that are cut off.
struct ServerProgress
{
  /// Backend server or group of the last attempt; empty before the first one.
  std::string destination;
  /// Begin of the last attempt.
  std::optional<TimePoint> sentAt;
  std::size_t attempts = 0;
  /// Attempts that the backend server rejected without running them.
  std::size_t rejectedAttempts = 0;
  /// Complete events of all attempts.
  std::size_t events = 0;
  std::optional<TimePoint> lastEventAt;
  /// Bytes of the server that have arrived and are not read yet; empty unless a response
  /// is being read.
  std::function<std::size_t()> countUnreadBytes;
  /// Why the handler ended the exchange; empty while it runs.
  std::string endReason;
};

} // namespace toucanstand
