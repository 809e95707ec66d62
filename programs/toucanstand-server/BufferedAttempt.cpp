#include "BufferedAttempt.h"

#include <utility>

#include "attempts/AttemptClassification.h"
#include "platform/HeaderTranslation.h"

namespace toucanstand {

namespace {

constexpr int kFirstServerErrorStatus = 500;

} // namespace

BufferedAttempt::BufferedAttempt(ServingState& aState, Call& aCall, Candidate aCandidate)
  : state(aState)
  , call(aCall)
  , candidate(std::move(aCandidate))
  , sender(aState, aCall)
  , startedAt(BootClock::now())
  , run(aState.OnRunStarted(aCall, this->candidate.server))
{
  aState.router.OnSent(this->candidate.id, this->startedAt);
}

Task<std::optional<FailedAttempt>> BufferedAttempt::Open(CallSender::Target aTarget)
{
  const auto asked = this->state.directory.RunOf(this->candidate.server);
  auto opened = co_await this->sender.Open(std::move(aTarget));
  if (!opened) {
    co_return FailedAttempt{ this->sender.ClassifyFailure(opened.LastReason()),
                             std::nullopt };
  }
  this->stream = std::move(*opened);
  this->headAt = BootClock::now();
  const auto facts = platform::ReadResponseHead(
    this->stream->Status(), this->stream->Headers(), this->call.facts.id);
  this->state.OnResponseHead(asked, facts);
  this->serverWaits = facts.statement.retryAfter.has_value();
  if (!facts.answersThisCall || (facts.isSuccess && !facts.isSigned)) {
    co_return FailedAttempt{ AttemptFailure::BrokenBeforeHead, std::nullopt };
  }
  if (facts.statesNotRun) {
    co_return FailedAttempt{ AttemptFailure::RefusedAsNotRun, std::nullopt };
  }
  co_return std::nullopt;
}

Task<std::optional<FailedAttempt>> BufferedAttempt::ReadResponse()
{
  if (this->stream->Status() >= kFirstServerErrorStatus) {
    co_return co_await this->sender.ReadError(*this->stream);
  }
  auto whole = co_await this->sender.ReadWhole(*this->stream);
  if (!whole) {
    co_return FailedAttempt{ this->sender.ClassifyFailure(whole.LastReason()),
                             std::nullopt };
  }
  this->response = std::move(*whole);
  co_return std::nullopt;
}

Task<std::optional<FailedAttempt>> BufferedAttempt::Run(CallSender::Target aTarget)
{
  auto failedAttempt = co_await this->Open(std::move(aTarget));
  if (failedAttempt) {
    co_return failedAttempt;
  }
  co_return co_await this->ReadResponse();
}

void BufferedAttempt::RunBeside(CallSender::Target aTarget)
{
  this->running.emplace(
    this->state.loop, this->shared_from_this(), this->Run(std::move(aTarget)));
}

void BufferedAttempt::End(const std::optional<FailedAttempt>& aFailedAttempt)
{
  this->stream.reset();
  this->state.OnRunEnded(this->run,
                         { this->candidate.server, this->candidate.endpoint },
                         aFailedAttempt ? std::optional(aFailedAttempt->failure)
                                        : std::nullopt);
  const auto now = BootClock::now();
  const auto took = now - this->startedAt;
  // Each exchange has its own connection, so a timeout is attributed to the server.
  auto end = aFailedAttempt ? ToRouteOutcome(aFailedAttempt->failure, RouteOutcome::Slow)
                            : RouteOutcome::Answered;
  if (end == RouteOutcome::Broken && this->serverWaits) {
    // An ejection would outlast the time for which the server wants nothing.
    end = RouteOutcome::Refused;
  }
  if (!aFailedAttempt) {
    this->state.router.OnFirstByte(this->candidate.id, took, now);
  }
  this->state.router.OnFinished(this->candidate.id, end, took, now);
  this->Log(aFailedAttempt, now);
}

void BufferedAttempt::Log(const std::optional<FailedAttempt>& aFailedAttempt,
                          TimePoint aNow)
{
  this->state.log.Write(
    aFailedAttempt ? LogWeight::Notable : LogWeight::Routine,
    "attempt_end",
    { { "request", this->call.facts.id.Value() },
      { "server", this->candidate.id },
      { "beside", this->running.has_value() },
      { "spared", this->state.DescribeSpared(this->call.pool, aNow) },
      { "took_ms", ToMilliseconds(aNow - this->startedAt).count() },
      { "end", aFailedAttempt ? Name(aFailedAttempt->failure) : "answered" } });
}

} // namespace toucanstand
