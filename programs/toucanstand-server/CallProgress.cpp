#include "CallProgress.h"

#include <algorithm>
#include <utility>

#include "CallAnswer.h"

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

Task<CallEnd> CallProgress::GiveUp(std::string aReason, Duration aRetryAfter)
{
  const auto outcome = this->tracker.Outcome();
  if (this->answerBegun || this->call.exchange.CallerGone()) {
    this->call.exchange.BreakOff();
    co_return this->End(outcome, this->answerBegun ? 200 : 0, std::move(aReason));
  }
  if (this->serverFailure && outcome != CallOutcome::NotRun) {
    const int status = this->serverFailure->status;
    co_await this->call.exchange.Respond(std::move(*this->serverFailure));
    co_return this->End(outcome, status, std::move(aReason));
  }
  CallAnswer answer(this->state, this->call.exchange, this->call.facts.id);
  if (outcome == CallOutcome::NotRun) {
    co_await answer.RefuseNotRun(aReason, aRetryAfter);
    co_return this->End(outcome, 503, std::move(aReason));
  }
  const bool late = BootClock::now() >= this->call.deadline;
  co_await answer.FailUnknown(aReason, late);
  co_return this->End(outcome, late ? 504 : 502, std::move(aReason));
}

void CallProgress::NoteEvents(TimePoint aNow)
{
  if (!this->firstByte) {
    this->firstByte = aNow - this->call.arrivedAt;
  }
  if (this->lastEventsAt) {
    this->longestPause = std::max(this->longestPause, aNow - *this->lastEventsAt);
  }
  this->lastEventsAt = aNow;
}

CallEnd CallProgress::End(CallOutcome aOutcome, int aStatus, std::string aReason) const
{
  CallEnd end;
  end.outcome = aOutcome;
  end.status = aStatus;
  end.reason = std::move(aReason);
  end.attempts = this->tracker.AttemptCount();
  end.destination = this->destination;
  end.firstByte = this->firstByte;
  end.longestPause = this->longestPause;
  return end;
}

} // namespace toucanstand
