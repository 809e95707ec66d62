#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "support/CallerConnection.h"

namespace toucanstand {

using SoakTime = std::chrono::steady_clock::time_point;
/// A begin and an end.
using SoakInterval = std::pair<SoakTime, SoakTime>;

/// What a request of the soak asks for.
enum class SoakRequestKind
{
  Generation,
  NonIdempotent,
  Idempotent,
};

/// A caller's request and its answer, as the caller saw them.
struct SoakRequest
{
  std::string attemptId;
  SoakRequestKind kind = SoakRequestKind::Idempotent;
  std::size_t vm = 0;
  /// Before the caller connected.
  SoakTime connectedAt;
  /// Before the caller connected, or the end of the answer before on the connection.
  SoakTime quietSince;
  /// Nothing if the connection did not take the bytes.
  std::optional<SoakTime> firstByteSentAt;
  std::optional<SoakTime> wholeSentAt;
  /// Sent before the answer to the request before it, which did not keep the connection.
  bool followsLastAnswer = false;
  ReceivedAnswer answer;
  SoakTime endedAt;
};

/// A process of a VM from its start to its end.
struct SoakLife
{
  std::size_t vm = 0;
  /// Name of its program.
  std::string program;
  SoakTime startedAt;
  /// First SIGTERM.
  std::optional<SoakTime> terminatedAt;
  std::optional<SoakTime> endedAt;
  /// Times for which it was stopped by SIGSTOP, and from a SIGKILL to its end.
  std::vector<SoakInterval> disturbances;
  int exitCode = 0;
  std::string log;
  /// What the kernel said of its threads when it had not ended in time.
  std::string threadsAtLateEnd;
};

} // namespace toucanstand
