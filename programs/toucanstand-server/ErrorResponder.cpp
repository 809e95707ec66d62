#include "ErrorResponder.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include "platform/HeaderTranslation.h"

namespace toucanstand {

namespace {

/// Maximum jitter that is added to a Retry-After, as a fraction of it.
constexpr double kMaxJitter = 0.5;
/// The same as a time: callers that wait for a server should return soon after it does.
constexpr Duration kMaxJitterTime = std::chrono::seconds(1);

std::string FormatSeconds(Duration aDuration)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f", ToSeconds(aDuration));
  return std::string(text.data());
}

} // namespace

ErrorResponder::ErrorResponder(ServingState& aState,
                               HttpExchange& aExchange,
                               RequestId aCall)
  : state(aState)
  , exchange(aExchange)
  , call(std::move(aCall))
{
}

HttpResponse ErrorResponder::MakeNotRunResponse(ServingState& aState,
                                                const RequestId& aCall,
                                                std::string_view aReason,
                                                Duration aRetryAfter)
{
  const double mostJitter =
    std::min(ToSeconds(aRetryAfter) * kMaxJitter, ToSeconds(kMaxJitterTime));
  const auto retryAfter =
    aRetryAfter + FromSeconds(mostJitter * aState.random.Fraction());
  return MakeResponse(aCall,
                      503,
                      aReason,
                      "not run; come back after the time given",
                      CallOutcome::NotRun,
                      retryAfter);
}

Task<> ErrorResponder::RespondNotRun(std::string_view aReason, Duration aRetryAfter)
{
  co_await this->exchange.Respond(
    MakeNotRunResponse(this->state, this->call, aReason, aRetryAfter));
}

Task<> ErrorResponder::RespondUnknown(std::string_view aReason, bool aDeadlinePassed)
{
  co_await this->exchange.Respond(
    MakeResponse(this->call,
                 aDeadlinePassed ? 504 : 502,
                 aReason,
                 "the request may have run; its answer is not available",
                 CallOutcome::Unknown,
                 std::nullopt));
}

Task<> ErrorResponder::RespondRejected(int aStatus, std::string_view aReason)
{
  co_await this->exchange.Respond(MakeResponse(this->call,
                                               aStatus,
                                               aReason,
                                               "the request was not accepted",
                                               CallOutcome::NotRun,
                                               std::nullopt));
}

HttpResponse ErrorResponder::MakeResponse(const RequestId& aCall,
                                          int aStatus,
                                          std::string_view aReason,
                                          std::string_view aMessage,
                                          CallOutcome aOutcome,
                                          std::optional<Duration> aRetryAfter)
{
  HttpResponse response = ErrorResponse(aStatus, aReason, aMessage);
  platform::AddAttemptId(response.headers, aCall);
  response.headers.Add("Toucanstand-Outcome", WireName(aOutcome));
  if (aRetryAfter) {
    response.headers.Add("Retry-After", FormatSeconds(*aRetryAfter));
  }
  return response;
}

} // namespace toucanstand
