#include "ErrorResponder.h"

#include <array>
#include <cstdio>

#include "platform/HeaderTranslation.h"

namespace toucanstand {

namespace {

/// Maximum jitter that is added to a Retry-After, as a fraction of it.
constexpr double kMaxJitter = 0.5;

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

Task<> ErrorResponder::RespondNotRun(std::string_view aReason, Duration aRetryAfter)
{
  const auto retryAfter = FromSeconds(ToSeconds(aRetryAfter) *
                                      (1.0 + kMaxJitter * this->state.random.Fraction()));
  co_await this->Send(503,
                      aReason,
                      "not run; come back after the time given",
                      CallOutcome::NotRun,
                      retryAfter);
}

Task<> ErrorResponder::RespondUnknown(std::string_view aReason, bool aDeadlinePassed)
{
  co_await this->Send(aDeadlinePassed ? 504 : 502,
                      aReason,
                      "the request may have run; its answer is not available",
                      CallOutcome::Unknown,
                      std::nullopt);
}

Task<> ErrorResponder::RespondRejected(int aStatus, std::string_view aReason)
{
  co_await this->Send(
    aStatus, aReason, "the request was not accepted", CallOutcome::NotRun, std::nullopt);
}

Task<> ErrorResponder::Send(int aStatus,
                            std::string_view aReason,
                            std::string_view aMessage,
                            CallOutcome aOutcome,
                            std::optional<Duration> aRetryAfter)
{
  HttpResponse response = ErrorResponse(aStatus, aReason, aMessage);
  platform::AddAttemptId(response.headers, this->call);
  response.headers.Add("Toucanstand-Outcome", WireName(aOutcome));
  if (aRetryAfter) {
    response.headers.Add("Retry-After", FormatSeconds(*aRetryAfter));
  }
  co_await this->exchange.Respond(std::move(response));
}

} // namespace toucanstand
