#pragma once

#include <optional>
#include <string>

#include "http/HttpMessage.h"
#include "outcomes/CallOutcome.h"
#include "time/BootClock.h"

namespace toucanstand {

/// How a call ended, for its caller, its claim and the metrics.
struct CallEnd
{
  CallOutcome outcome = CallOutcome::Unknown;
  int status = 502;
  /// Kind of the error for programs; empty for an answer.
  std::string errorType;
  std::string message;
  /// When the caller should come back, for refusals.
  std::optional<Duration> retryAfter;
  /// The backend's answer, when there is one.
  std::optional<HttpResponse> answer;
};

/// An error that states what is known about the call's execution.
[[nodiscard]] CallEnd MakeError(CallOutcome aOutcome,
                                int aStatus,
                                std::string aType,
                                std::string aMessage,
                                std::optional<Duration> aRetryAfter = {});

/// The end of a call that was cancelled by a planned stop.
[[nodiscard]] CallEnd MakeStopEnd(CallOutcome aOutcome);

/// The response for the caller, with `Toucanstand-Outcome` and `Retry-After`.
[[nodiscard]] HttpResponse ToResponse(const CallEnd& aEnd, const std::string& aRequestId);

} // namespace toucanstand
