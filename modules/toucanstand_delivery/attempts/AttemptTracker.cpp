#include "attempts/AttemptTracker.h"

#include <array>
#include <utility>

#include <nlohmann/json.hpp>

namespace toucanstand {

const char* Name(GiveUpReason aReason)
{
  // In the order of GiveUpReason.
  constexpr std::array kNames = { "none",
                                  "may_have_run",
                                  "deadline_passed",
                                  "retry_budget_exhausted",
                                  "too_many_attempts",
                                  "answer_started",
                                  "caller_left",
                                  "stopping" };
  return kNames.at(static_cast<std::size_t>(aReason));
}

AttemptTracker::AttemptTracker(Repeatability aRepeatability,
                               AccountId aAccount,
                               PoolId aPool,
                               TimePoint aDeadline,
                               RetryBudget& aBudget,
                               std::size_t aMaxServers)
  : repeatability(aRepeatability)
  , account(std::move(aAccount))
  , pool(std::move(aPool))
  , deadline(aDeadline)
  , budget(aBudget)
  , maxServers(aMaxServers)
{
}

std::uint32_t AttemptTracker::OnAttemptStarted(const std::string& aCandidateId)
{
  if (this->tried.empty()) {
    this->budget.OnFirstAttempt(this->account, this->pool);
  }
  this->tried.push_back(aCandidateId);
  this->inProgress = true;
  return static_cast<std::uint32_t>(this->tried.size());
}

RetryDecision AttemptTracker::OnFailure(AttemptFailure aFailure,
                                        const std::string& aCandidateId,
                                        TimePoint aNow)
{
  if (!this->inProgress) {
    this->OnAttemptStarted(aCandidateId);
  }
  this->inProgress = false;
  this->Count(aFailure);

  const GiveUpReason reason = this->ReasonToGiveUp(aFailure, this->counts, aNow);
  // The attempt that was reserved has begun already.
  const bool isLimitMet =
    this->isRetryReserved && reason == GiveUpReason::TooManyAttempts;
  if (reason != GiveUpReason::None && !isLimitMet) {
    return this->GiveUp(reason);
  }
  const bool isPaid =
    std::exchange(this->isRetryReserved, false) || this->TakeFromBudget(aFailure);
  if (!isPaid) {
    return this->GiveUp(GiveUpReason::BudgetExhausted);
  }
  RetryDecision decision;
  decision.kind = this->offset > 0 ? RetryAction::Resume : RetryAction::Retry;
  decision.resumeOffset = this->offset;
  return decision;
}

GiveUpReason AttemptTracker::ReserveRetry(AttemptFailure aFailure, TimePoint aNow)
{
  const auto reason = this->ReasonToGiveUp(aFailure, this->counts.With(aFailure), aNow);
  if (reason == GiveUpReason::None && !this->isRetryReserved) {
    this->isRetryReserved = this->TakeFromBudget(aFailure);
    return this->isRetryReserved ? GiveUpReason::None : GiveUpReason::BudgetExhausted;
  }
  return reason;
}

void AttemptTracker::OnParallelAttemptEnded(AttemptFailure aFailure,
                                            const std::string& aCandidateId)
{
  this->tried.push_back(aCandidateId);
  this->isRetryReserved = false;
  this->Count(aFailure);
}

AttemptTracker::Counts AttemptTracker::Counts::With(AttemptFailure aFailure) const
{
  Counts sum = *this;
  sum.connected += FailedToConnect(aFailure) ? 0 : 1;
  sum.provenNotRun += ProvesNotRun(aFailure) ? 1 : 0;
  sum.mayHaveRun += ProvesNotRun(aFailure) ? 0 : 1;
  return sum;
}

void AttemptTracker::Count(AttemptFailure aFailure)
{
  this->counts = this->counts.With(aFailure);
}

bool AttemptTracker::TakeFromBudget(AttemptFailure aFailure)
{
  if (aFailure != AttemptFailure::RefusedAsNotRun) {
    this->cause =
      IndicatesLostServer(aFailure) ? RetryCause::LostServer : RetryCause::MayBeOverload;
  }
  return this->budget.TrySpend(this->account, this->pool, this->cause);
}

CallOutcome AttemptTracker::Outcome() const
{
  if (this->answered) {
    return CallOutcome::Answered;
  }
  return this->counts.provenNotRun == this->tried.size() ? CallOutcome::NotRun
                                                         : CallOutcome::Unknown;
}

nlohmann::json AttemptTracker::Describe() const
{
  return { { "account", this->account.Value() },
           { "pool", this->pool.Value() },
           { "tried", this->tried },
           { "proven_not_run", this->counts.provenNotRun },
           { "offset", this->offset },
           { "outcome", WireName(this->Outcome()) } };
}

GiveUpReason AttemptTracker::ReasonToGiveUp(AttemptFailure aFailure,
                                            const Counts& aCounts,
                                            TimePoint aNow) const
{
  if (aFailure == AttemptFailure::CallerLeft) {
    return GiveUpReason::CallerLeft;
  }
  if (aFailure == AttemptFailure::Stopping) {
    return GiveUpReason::Stopping;
  }
  if (this->repeatability == Repeatability::OnlyOnce &&
      this->Outcome() != CallOutcome::NotRun) {
    return GiveUpReason::MayHaveRun;
  }
  if (this->bodyForwarded) {
    return GiveUpReason::AnswerStarted;
  }
  if (aNow >= this->deadline) {
    return GiveUpReason::DeadlinePassed;
  }
  // The caller of a stream that has begun can't be told to try again, so one more full
  // server must not end it.
  const auto servers = aCounts.mayHaveRun > 0 ? aCounts.mayHaveRun : aCounts.connected;
  const bool tooMany =
    servers >= this->maxServers || this->tried.size() >= kMaximumAttempts;
  return tooMany ? GiveUpReason::TooManyAttempts : GiveUpReason::None;
}

RetryDecision AttemptTracker::GiveUp(GiveUpReason aReason) const
{
  return { RetryAction::GiveUp, this->Outcome(), aReason, 0 };
}

} // namespace toucanstand
