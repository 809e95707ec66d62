#pragma once

#include "Call.h"
#include "ServingState.h"

namespace toucanstand {

/// Sends error responses to the caller when there is no backend response to forward.
class ErrorResponder
{
public:
  ErrorResponder(ServingState& aState, HttpExchange& aExchange, RequestId aCall);

  /// A 503 that says that the request has not run and will not run.
  ///
  /// @param aCall empty if its id was not read
  /// @param aRetryAfter see RespondNotRun()
  [[nodiscard]] static HttpResponse MakeNotRunResponse(ServingState& aState,
                                                       const RequestId& aCall,
                                                       std::string_view aReason,
                                                       Duration aRetryAfter);

  /// Responds 503: the request has not run and will not run.
  ///
  /// @param aRetryAfter minimum Retry-After; random jitter is added so that refused
  /// callers do not all retry at the same time
  Task<> RespondNotRun(std::string_view aReason, Duration aRetryAfter);

  /// Responds that the request may have run: 504 after the deadline, 502 otherwise.
  Task<> RespondUnknown(std::string_view aReason, bool aDeadlinePassed);

  /// Responds that the request itself is invalid or not allowed, so it was not run.
  Task<> RespondRejected(int aStatus, std::string_view aReason);

private:
  [[nodiscard]] static HttpResponse MakeResponse(const RequestId& aCall,
                                                 int aStatus,
                                                 std::string_view aReason,
                                                 std::string_view aMessage,
                                                 CallOutcome aOutcome,
                                                 std::optional<Duration> aRetryAfter);

  ServingState& state;
  HttpExchange& exchange;
  RequestId call;
};

} // namespace toucanstand
