#include "CallSender.h"

#include <algorithm>

#include "attempts/AttemptClassification.h"
#include "platform/HeaderTranslation.h"

namespace toucanstand {

CallSender::CallSender(ServingState& aState, Call& aCall)
  : state(aState)
  , call(aCall)
  , held(aState.responseMemory, [this] { this->OnEviction(); })
{
}

Task<Result<std::unique_ptr<HttpClientStream>, HttpFailure>> CallSender::Open(
  Target aTarget)
{
  if (this->state.availability.IsEvacuated(aTarget.server)) {
    this->isServerEvacuated = true;
    this->state.metrics.Count("sends_withheld_total{reason=\"evacuated\"}");
    co_return HttpFailure::Cancelled;
  }
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
  deadlines.extend = [this, extend = std::move(aTarget.extend)] {
    return this->areWaitsFinal || !extend ? Duration::zero() : extend();
  };
  co_return co_await this->state.backendClient.Open(aTarget.endpoint,
                                                    std::move(request),
                                                    deadlines,
                                                    ConnectionUse::Single,
                                                    this->cancelSwitch);
}

Task<Result<HttpResponse, HttpFailure>> CallSender::ReadWhole(HttpClientStream& aStream)
{
  const BodyLimits limits{ kMaxResponseBytes, this->call.deadline, kBodyStallTimeout };
  co_return co_await this->ReadBody(aStream, limits);
}

Task<FailedAttempt> CallSender::ReadError(HttpClientStream& aStream)
{
  this->areWaitsFinal = true;
  const BodyLimits limits{ kMaxErrorBytes,
                           std::min(this->call.deadline,
                                    BootClock::now() + kErrorBodyTimeout),
                           kErrorBodyTimeout };
  auto response = co_await this->ReadBody(aStream, limits);
  if (response) {
    co_return FailedAttempt{ AttemptFailure::ServerError, std::move(*response) };
  }
  const auto reason = response.LastReason();
  const bool isWithoutEnd =
    (reason == HttpFailure::TooLarge && !this->hasNoMemory) ||
    (reason == HttpFailure::BodyTimedOut && BootClock::now() < this->call.deadline);
  co_return FailedAttempt{ isWithoutEnd ? AttemptFailure::ServerError
                                        : this->ClassifyFailure(reason),
                           std::nullopt };
}

Task<Result<HttpResponse, HttpFailure>> CallSender::ReadBody(HttpClientStream& aStream,
                                                             BodyLimits aLimits)
{
  HttpResponse response;
  response.status = aStream.Status();
  response.headers = platform::ResponseHeadersForClient(aStream.Headers());
  while (true) {
    aStream.SetProgressTimeout(std::min(
      aLimits.stall, std::max(aLimits.due - BootClock::now(), Duration::zero())));
    auto chunk = co_await aStream.Read(this->cancelSwitch);
    if (!chunk) {
      co_return chunk.LastReason();
    }
    if (chunk->empty()) {
      co_return response;
    }
    const auto size = response.body.size() + chunk->size();
    if (size > aLimits.bytes || !this->Hold(size)) {
      co_return HttpFailure::TooLarge;
    }
    response.body += *chunk;
    // A read that finds bytes waiting succeeds although its time is up.
    if (BootClock::now() >= aLimits.due) {
      co_return HttpFailure::BodyTimedOut;
    }
  }
}

bool CallSender::Hold(std::size_t aBytes)
{
  // A string that grows takes up to twice its size.
  if (!this->hasNoMemory && !this->held.Resize(aBytes * 2)) {
    this->SetNoMemory();
  }
  return !this->hasNoMemory;
}

void CallSender::OnEviction()
{
  this->SetNoMemory();
  this->Cancel();
}

void CallSender::SetNoMemory()
{
  this->hasNoMemory = true;
  this->state.metrics.Count("responses_beyond_memory_total");
}

AttemptFailure CallSender::ClassifyFailure(HttpFailure aFailure) const
{
  if (this->isServerEvacuated) {
    return AttemptFailure::ServerEvacuated;
  }
  if (this->call.exchange.CallerGone()) {
    return AttemptFailure::CallerLeft;
  }
  if (this->hasNoMemory &&
      (aFailure == HttpFailure::Cancelled || aFailure == HttpFailure::TooLarge)) {
    return AttemptFailure::NoMemory;
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
