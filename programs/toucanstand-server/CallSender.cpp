#include "CallSender.h"

#include <algorithm>

#include "attempts/AttemptClassification.h"
#include "platform/HeaderTranslation.h"

namespace toucanstand {

CallSender::CallSender(ServingState& aState, Call& aCall)
  : state(aState)
  , call(aCall)
{
}

Task<Result<std::unique_ptr<HttpClientStream>, HttpFailure>> CallSender::Open(
  Target aTarget)
{
  const auto now = BootClock::now();
  const Duration remaining = std::max(this->call.deadline - now, Duration::zero());
  platform::ForwardingParameters terms;
  terms.server = aTarget.server;
  terms.remainingTime = remaining;
  terms.account = this->call.account;
  terms.lastEventId = aTarget.lastEventId;
  terms.urgency = aTarget.urgency;
  HttpRequest request =
    platform::BuildForwardedRequest(this->call.exchange.Request(), terms);
  HttpDeadlines deadlines;
  deadlines.connect = std::min(kConnectTimeout, remaining);
  deadlines.head = std::min(aTarget.headTimeout, remaining);
  deadlines.progress = remaining;
  deadlines.extend = std::move(aTarget.extend);
  co_return co_await this->state.backendClient.Open(aTarget.endpoint,
                                                    std::move(request),
                                                    deadlines,
                                                    ConnectionUse::Single,
                                                    this->cancelSwitch);
}

Task<Result<HttpResponse, HttpFailure>> CallSender::ReadWhole(HttpClientStream& aStream)
{
  HttpResponse response;
  response.status = aStream.Status();
  response.headers = platform::ResponseHeadersForClient(aStream.Headers());
  while (true) {
    aStream.SetProgressTimeout(
      std::max(this->call.deadline - BootClock::now(), Duration::zero()));
    auto chunk = co_await aStream.Read(this->cancelSwitch);
    if (!chunk) {
      co_return chunk.LastReason();
    }
    if (chunk->empty()) {
      co_return response;
    }
    response.body += *chunk;
    if (response.body.size() > kMaxResponseBytes) {
      co_return HttpFailure::TooLarge;
    }
    // A read that finds bytes waiting succeeds although its time is up.
    if (BootClock::now() >= this->call.deadline) {
      co_return HttpFailure::BodyTimedOut;
    }
  }
}

AttemptFailure CallSender::ClassifyFailure(HttpFailure aFailure) const
{
  if (this->call.exchange.CallerGone()) {
    return AttemptFailure::CallerLeft;
  }
  if (aFailure == HttpFailure::Cancelled) {
    return this->call.exchange.IsFinalAnswerDue() ? AttemptFailure::Stopping
                                                  : AttemptFailure::CallerLeft;
  }
  const bool timedOut =
    aFailure == HttpFailure::HeadTimedOut || aFailure == HttpFailure::BodyTimedOut;
  if (timedOut) {
    return BootClock::now() >= this->call.deadline
             ? AttemptFailure::NoAnswerBeforeDeadline
             : AttemptFailure::SilentConnection;
  }
  return ToAttemptFailure(aFailure);
}

} // namespace toucanstand
