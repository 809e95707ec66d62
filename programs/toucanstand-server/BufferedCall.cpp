#include "BufferedCall.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "UnreadBytesScope.h"

namespace toucanstand {

namespace {

/// Minimum Retry-After if no backend server is available. A restarting server is back
/// after some seconds; a server at capacity accepts a request after the duration of one
/// call.
constexpr Duration kRetryAfter = std::chrono::milliseconds(400);
/// An idempotent call is retried elsewhere after this multiple of its target latency.
constexpr int kHeadTimeoutFactor = 3;

} // namespace

BufferedCall::BufferedCall(ServingState& aState, Call& aCall)
  : state(aState)
  , call(aCall)
  , progress(aState, aCall)
  , attempts(
      [this](auto& aStandby, auto aFailure) { this->OnStandbyEnd(aStandby, aFailure); })
{
}

Task<CallResult> BufferedCall::Run()
{
  this->call.exchange.OnCallerGone([this] { this->attempts.Cancel(); });
  this->call.exchange.OnFinalAnswerDue([this] { this->attempts.Cancel(); });
  co_return co_await this->attempts.Run(this->Serve());
}

Task<CallResult> BufferedCall::Serve()
{
  while (true) {
    const auto now = BootClock::now();
    if (this->attempts.Standby() == nullptr && this->progress.MustLeaveToOtherVms(now)) {
      co_return co_await this->GiveUp("stopping", this->state.stopRetryAfter);
    }
    if (const auto refusal = this->BeginAttempt(now)) {
      this->LogRefusal(*refusal);
      co_return co_await this->GiveUp(Name(*refusal), this->RetryAfter());
    }
    auto failedAttempt = co_await this->RunAttempt();
    this->attempts.Current().End(failedAttempt);
    if (!failedAttempt) {
      co_await this->attempts.DropStandby();
      this->progress.tracker.OnAnswered();
      const int status = this->attempts.Current().Response().status;
      co_await this->call.exchange.Respond(
        std::move(this->attempts.Current().Response()));
      co_return this->progress.MakeResult(CallOutcome::Answered, status);
    }
    this->triedCandidates.push_back(this->attempts.Current().Server().id);
    const auto decision =
      this->progress.EndAttempt(std::move(*failedAttempt), BootClock::now());
    if (decision.kind == RetryAction::GiveUp) {
      co_return co_await this->GiveUp(Name(decision.reason), this->RetryAfter());
    }
  }
}

Task<CallResult> BufferedCall::GiveUp(std::string aReason, Duration aRetryAfter)
{
  // Whether the call has run depends on it.
  co_await this->attempts.DropStandby();
  co_return co_await this->progress.GiveUp(std::move(aReason), aRetryAfter);
}

std::optional<RouteRefusal> BufferedCall::BeginAttempt(TimePoint aNow)
{
  if (!this->attempts.TakeOverStandby()) {
    auto candidate = this->state.router.Choose(this->MakeRouteQuery(aNow), aNow);
    if (!candidate) {
      return candidate.LastReason();
    }
    this->attempts.SetCurrent(this->MakeAttempt(std::move(*candidate)));
  }
  const auto& attempt = this->attempts.Current();
  this->progress.BeginAttempt(attempt.Server().id, attempt.StartedAt());
  return std::nullopt;
}

std::shared_ptr<BufferedAttempt> BufferedCall::MakeAttempt(Candidate aCandidate)
{
  return std::make_shared<BufferedAttempt>(
    this->state, this->call, std::move(aCandidate));
}

Task<std::optional<FailedAttempt>> BufferedCall::RunAttempt()
{
  auto& attempt = this->attempts.Current();
  std::optional<FailedAttempt> failedAttempt;
  if (auto* running = attempt.Background()) {
    failedAttempt = co_await running->Wait();
  } else {
    failedAttempt = co_await attempt.Open(this->MakeTarget(attempt));
    if (!failedAttempt) {
      const UnreadBytesScope unreadBytes(this->call.exchange, attempt.Stream());
      failedAttempt = co_await attempt.ReadResponse();
    }
  }
  if (const auto& headAt = attempt.HeadAt()) {
    this->progress.timeToFirstByte = *headAt - this->call.arrivedAt;
  }
  co_return failedAttempt;
}

CallSender::Target BufferedCall::MakeTarget(const BufferedAttempt& aAttempt)
{
  CallSender::Target target;
  target.server = aAttempt.Server().server;
  target.endpoint = aAttempt.Server().endpoint;
  target.headTimeout = this->HeadTimeout();
  target.extend = [this, &aAttempt] {
    return this->ExtendWait(aAttempt, BootClock::now());
  };
  return target;
}

Duration BufferedCall::RetryAfter() const
{
  return std::max(kRetryAfter,
                  this->state.TimeUntilAvailable(this->call, BootClock::now()));
}

void BufferedCall::LogRefusal(RouteRefusal aReason)
{
  const auto now = BootClock::now();
  this->state.log.Write(
    LogWeight::Notable,
    "route_refused",
    { { "request", this->call.facts.id.Value() },
      { "pool", this->call.pool.Value() },
      { "reason", Name(aReason) },
      { "spared", this->state.DescribeSpared(this->call.pool, now) },
      { "leaving", this->state.CountLeaving(this->call.pool) },
      { "retry_after_ms", ToMilliseconds(this->RetryAfter()).count() } });
}

RouteQuery BufferedCall::MakeRouteQuery(TimePoint aNow) const
{
  RouteQuery query;
  query.pool = this->call.pool;
  query.excluded = this->triedCandidates;
  std::ranges::transform(this->state.availability.Spared(aNow),
                         std::back_inserter(query.excluded),
                         [](const auto& aSpared) { return aSpared.server.Value(); });
  return query;
}

Duration BufferedCall::ExtendWait(const BufferedAttempt& aWaiting, TimePoint aNow)
{
  if (aNow >= this->call.deadline) {
    return Duration::zero();
  }
  const auto remaining = this->call.deadline - aNow;
  if (!this->attempts.IsCurrent(aWaiting)) {
    return std::min(kSilenceCheckInterval, remaining);
  }
  if (const auto wait = this->attempts.WaitForStandby()) {
    return std::min(*wait, remaining);
  }
  const auto interval = this->BeginStandby(aNow)
                          ? CallAttempts<BufferedAttempt>::kStandbyCheckInterval
                          : kSilenceCheckInterval;
  return std::min(interval, remaining);
}

bool BufferedCall::BeginStandby(TimePoint aNow)
{
  auto query = this->MakeRouteQuery(aNow);
  query.excluded.push_back(this->attempts.Current().Server().id);
  auto candidate = this->state.router.Choose(query, aNow);
  const bool canBegin = candidate && this->state.MayEndInTime(this->call, aNow) &&
                        this->progress.tracker.ReserveRetry(
                          AttemptFailure::SilentConnection, aNow) == GiveUpReason::None;
  if (canBegin) {
    this->attempts.SetStandby(this->MakeAttempt(std::move(*candidate)));
    auto& standby = *this->attempts.Standby();
    standby.RunBeside(this->MakeTarget(standby));
  }
  return canBegin;
}

void BufferedCall::OnStandbyEnd(BufferedAttempt& aStandby, AttemptFailure aFailure)
{
  aStandby.End(FailedAttempt{ aFailure, std::nullopt });
  this->progress.EndParallelAttempt(aFailure, aStandby.Server().id);
  this->triedCandidates.push_back(aStandby.Server().id);
}

Duration BufferedCall::HeadTimeout() const
{
  const auto remaining =
    std::max(this->call.deadline - BootClock::now(), Duration::zero());
  const Duration timeout =
    std::max(this->call.route->targetLatency * kHeadTimeoutFactor, kMinHeadTimeout);
  return std::min(timeout, remaining);
}

} // namespace toucanstand
