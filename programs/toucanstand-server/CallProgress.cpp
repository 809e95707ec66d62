#include "CallProgress.h"

#include <algorithm>
#include <utility>

#include "ErrorResponder.h"

namespace toucanstand {

CallProgress::CallProgress(ServingState& aState, Call& aCall)
  : state(aState)
  , call(aCall)
  , tracker(aCall.route->MayRepeat(),
            aCall.account,
            aCall.pool,
            aCall.deadline,
            aState.retryBudget,
            aCall.route->mostServers)
{
}

Task<CallResult> CallProgress::GiveUp(std::string aReason, Duration aRetryAfter)
{
  const auto outcome = this->tracker.Outcome();
  if (this->responseStarted || this->call.exchange.CallerGone()) {
    this->call.exchange.BreakOff();
    co_return this->MakeResult(
      outcome, this->responseStarted ? 200 : 0, std::move(aReason));
  }
  if (this->lastServerError && outcome != CallOutcome::NotRun) {
    const int status = this->lastServerError->status;
    co_await this->call.exchange.Respond(std::move(*this->lastServerError));
    co_return this->MakeResult(outcome, status, std::move(aReason));
  }
  ErrorResponder responder(this->state, this->call.exchange, this->call.facts.id);
  if (outcome == CallOutcome::NotRun) {
    co_await responder.RespondNotRun(aReason, aRetryAfter);
    co_return this->MakeResult(outcome, 503, std::move(aReason));
  }
  const bool deadlinePassed = BootClock::now() >= this->call.deadline;
  co_await responder.RespondUnknown(aReason, deadlinePassed);
  co_return this->MakeResult(outcome, deadlinePassed ? 504 : 502, std::move(aReason));
}

bool CallProgress::MustLeaveToOtherVms(TimePoint aNow) const
{
  return !this->responseStarted && this->tracker.Outcome() == CallOutcome::NotRun &&
         !this->state.LeavesTimeFor(this->call, aNow);
}

bool CallProgress::IsTooLateToStream(TimePoint aNow) const
{
  return !this->responseStarted && !this->state.MayEndInTime(this->call, aNow);
}

bool CallProgress::LeavesTimeToContinue(Duration aFirstEvent, TimePoint aNow) const
{
  const auto beginsAt = aNow + aFirstEvent;
  if (beginsAt >= this->call.deadline) {
    return false;
  }
  if (!this->lastEventsAt) {
    return this->state.MayEndInTime(this->call, aNow);
  }
  return this->state.MayEndInTime(
    this->call, beginsAt, *this->lastEventsAt - this->call.arrivedAt);
}

void CallProgress::BeginAttempt(const std::string& aDestination, TimePoint aSentAt)
{
  this->destination = aDestination;
  this->tracker.OnAttemptStarted(aDestination);
  auto& server = this->call.exchange.Progress();
  server.destination = aDestination;
  server.sentAt = aSentAt;
  server.attempts = this->tracker.AttemptCount();
}

void CallProgress::EndParallelAttempt(AttemptFailure aFailure,
                                      const std::string& aDestination)
{
  this->tracker.OnParallelAttemptEnded(aFailure, aDestination);
  this->CountRejection(aFailure);
  this->call.exchange.Progress().attempts = this->tracker.AttemptCount();
}

void CallProgress::CountRejection(AttemptFailure aFailure)
{
  const bool isRejected = aFailure == AttemptFailure::RefusedAsNotRun;
  this->call.exchange.Progress().rejectedAttempts += isRejected ? 1 : 0;
}

RetryDecision CallProgress::EndAttempt(FailedAttempt aFailedAttempt, TimePoint aNow)
{
  this->CountRejection(aFailedAttempt.failure);
  this->lastServerError = std::move(aFailedAttempt.response);
  return this->tracker.OnFailure(aFailedAttempt.failure, this->destination, aNow);
}

void CallProgress::RecordEvents(std::size_t aCount, TimePoint aNow)
{
  this->eventCount = aCount;
  auto& server = this->call.exchange.Progress();
  server.events = aCount;
  server.lastEventAt = aNow;
  if (!this->timeToFirstByte) {
    this->timeToFirstByte = aNow - this->call.arrivedAt;
  }
  if (this->lastEventsAt) {
    this->maxEventGap = std::max(this->maxEventGap, aNow - *this->lastEventsAt);
  }
  this->lastEventsAt = aNow;
}

CallResult CallProgress::MakeResult(CallOutcome aOutcome,
                                    int aStatus,
                                    std::string aReason) const
{
  CallResult result;
  result.outcome = aOutcome;
  result.status = aStatus;
  result.reason = std::move(aReason);
  result.attempts = this->tracker.AttemptCount();
  result.destination = this->destination;
  result.timeToFirstByte = this->timeToFirstByte;
  result.events = this->eventCount;
  result.maxEventGap = this->maxEventGap;
  return result;
}

} // namespace toucanstand
