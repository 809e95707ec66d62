#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

#include "http/ConnectionState.h"
#include "http/HttpMessage.h"
#include "http/ServerProgress.h"
#include "time/BootClock.h"

namespace toucanstand {

/// A request whose connection this process ended before the caller had a whole answer.
/// One whose caller left is none.
struct CutRequest
{
  /// Without its body if that was still arriving.
  const HttpRequest& request;
  const ServerProgress& server;
  ConnectionState state = ConnectionState::AwaitingAnswer;
  TimePoint firstByteAt{};
  /// When the whole request had been read.
  std::optional<TimePoint> readAt;
  /// Bytes of the answer that the caller has not acknowledged.
  std::size_t unacknowledgedBytes = 0;
  /// What ended it: `stop`, `write_timeout`, or the reason of the handler.
  std::string endedBy;
};

using CutListener = std::function<void(const CutRequest&)>;

} // namespace toucanstand
