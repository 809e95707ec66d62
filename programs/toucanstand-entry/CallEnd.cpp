#include "CallEnd.h"

namespace toucanstand {

CallEnd MakeError(CallOutcome aOutcome,
                  int aStatus,
                  std::string aType,
                  std::string aMessage,
                  std::optional<Duration> aRetryAfter)
{
  CallEnd end;
  end.outcome = aOutcome;
  end.status = aStatus;
  end.errorType = std::move(aType);
  end.message = std::move(aMessage);
  end.retryAfter = aRetryAfter;
  return end;
}

CallEnd MakeStopEnd(CallOutcome aOutcome)
{
  if (aOutcome == CallOutcome::NotRun) {
    // Other entry VMs are ready, so the caller need not wait.
    return MakeError(aOutcome,
                     503,
                     "stopping",
                     "this entry VM is stopping; another one takes the request",
                     Duration::zero());
  }
  return MakeError(
    aOutcome, 502, "stopping", "this entry VM stops; the request may have run");
}

HttpResponse ToResponse(const CallEnd& aEnd, const std::string& aRequestId)
{
  HttpResponse response =
    aEnd.answer ? *aEnd.answer : ErrorResponse(aEnd.status, aEnd.errorType, aEnd.message);
  response.headers.Add("Toucanstand-Outcome", WireName(aEnd.outcome));
  response.headers.Add("Request-Id", aRequestId);
  if (aEnd.retryAfter) {
    // The standard field counts whole seconds; the second field spreads callers that
    // come back sooner.
    const auto whole = std::chrono::ceil<std::chrono::seconds>(*aEnd.retryAfter);
    response.headers.Add("Retry-After", std::to_string(whole.count()));
    response.headers.Add("Retry-After-Ms",
                         std::to_string(ToMilliseconds(*aEnd.retryAfter).count()));
  }
  return response;
}

} // namespace toucanstand
