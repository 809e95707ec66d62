#pragma once

#include "Call.h"
#include "ServingState.h"

namespace toucanstand {

/// Answers that the system gives itself when no backend server's answer can be passed on.
class ErrorResponder
{
public:
  ErrorResponder(ServingState& aState, HttpExchange& aExchange, RequestId aCall);

  /// The request has not run and will not: 503. @param aRetryAfter when to come back; a
  /// random part is added so that refused callers do not return together
  Task<> RespondNotRun(std::string_view aReason, Duration aRetryAfter);

  /// The request may have run: 504 after the deadline, 502 otherwise.
  Task<> RespondUnknown(std::string_view aReason, bool aDeadlinePassed);

  /// The request can't be served as it is, by its own fault.
  Task<> RespondRejected(int aStatus, std::string_view aReason);

private:
  Task<> Send(int aStatus,
              std::string_view aReason,
              std::string_view aMessage,
              CallOutcome aOutcome,
              std::optional<Duration> aRetryAfter);

  ServingState& state;
  HttpExchange& exchange;
  RequestId call;
};

} // namespace toucanstand
