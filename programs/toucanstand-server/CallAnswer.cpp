#include "CallAnswer.h"

#include <array>
#include <cstdio>

#include "platform/CallTranslation.h"

namespace toucanstand {

namespace {

/// Greatest random part of a Retry-After, relative to the whole.
constexpr double kSpread = 0.5;

std::string SecondsText(Duration aDuration)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f", ToSeconds(aDuration));
  return std::string(text.data());
}

} // namespace

CallAnswer::CallAnswer(ServingState& aState, HttpExchange& aExchange, RequestId aCall)
  : state(aState)
  , exchange(aExchange)
  , call(std::move(aCall))
{
}

Task<> CallAnswer::RefuseNotRun(std::string_view aReason, Duration aRetryAfter)
{
  const auto spread =
    FromSeconds(ToSeconds(aRetryAfter) * (1.0 + kSpread * this->state.random.Fraction()));
  co_await this->Send(
    503, aReason, "not run; come back after the time given", CallOutcome::NotRun, spread);
}

Task<> CallAnswer::FailUnknown(std::string_view aReason, bool aDeadlinePassed)
{
  co_await this->Send(aDeadlinePassed ? 504 : 502,
                      aReason,
                      "the request may have run; its answer is not available",
                      CallOutcome::Unknown,
                      std::nullopt);
}

Task<> CallAnswer::Reject(int aStatus, std::string_view aReason)
{
  co_await this->Send(
    aStatus, aReason, "the request was not accepted", CallOutcome::NotRun, std::nullopt);
}

Task<> CallAnswer::Send(int aStatus,
                        std::string_view aReason,
                        std::string_view aMessage,
                        CallOutcome aOutcome,
                        std::optional<Duration> aRetryAfter)
{
  HttpResponse response = ErrorResponse(aStatus, aReason, aMessage);
  platform::BindAnswer(response.headers, this->call);
  response.headers.Add("Toucanstand-Outcome", WireName(aOutcome));
  if (aRetryAfter) {
    response.headers.Add("Retry-After", SecondsText(*aRetryAfter));
  }
  co_await this->exchange.Respond(std::move(response));
}

} // namespace toucanstand
