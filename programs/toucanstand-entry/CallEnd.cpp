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
