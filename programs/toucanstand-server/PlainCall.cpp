#include "PlainCall.h"

#include <algorithm>

#include "attempts/AttemptMeaning.h"
#include "platform/CallTranslation.h"

namespace toucanstand {

namespace {

/// When a caller should come back that found no server: a server that restarts is back
/// after some seconds, one that was full after the time of a call.
constexpr Duration kRetryAfter = std::chrono::milliseconds(400);
/// An idempotent call that is this many times later than its target goes elsewhere.
constexpr int kSilentTargets = 3;

} // namespace

PlainCall::PlainCall(ServingState& aState, Call& aCall)
  : state(aState)
  , call(aCall)
  , sender(aState, aCall)
  , progress(aState, aCall)
{
}

Task<CallEnd> PlainCall::Run()
{
  this->call.exchange.OnCallerGone([this] { this->sender.Cancel(); });
  while (true) {
    RouteQuery query;
    query.pool = this->call.pool;
    query.excluded = this->tried;
    const auto candidate = this->state.router.Choose(query, BootClock::now());
    if (!candidate) {
      co_return co_await this->progress.GiveUp(Name(candidate.LastReason()), kRetryAfter);
    }
    const auto sentAt = BootClock::now();
    this->progress.destination = candidate->id;
    this->progress.tracker.OnAttemptStarted(candidate->id);
    this->state.router.OnSent(candidate->id, sentAt);
    const auto run = this->state.NoteSent(
      this->call.facts.id, this->call.fingerprint, candidate->server);
    auto loss = co_await this->Attempt(*candidate);
    this->state.NoteRunEnded(run,
                             { candidate->server, candidate->endpoint },
                             loss ? std::optional(loss->failure) : std::nullopt);
    this->NoteEnd(*candidate, loss, sentAt);
    if (!loss) {
      this->progress.tracker.OnAnswered();
      const int status = this->received->status;
      co_await this->call.exchange.Respond(std::move(*this->received));
      co_return this->progress.End(CallOutcome::Answered, status);
    }
    this->progress.serverFailure = std::move(loss->response);
    this->tried.push_back(candidate->id);
    const auto step =
      this->progress.tracker.OnFailure(loss->failure, candidate->id, BootClock::now());
    if (step.kind == RetryAction::GiveUp) {
      co_return co_await this->progress.GiveUp(Name(step.reason), kRetryAfter);
    }
  }
}

Duration PlainCall::HeadTimeout() const
{
  const auto remaining =
    std::max(this->call.deadline - BootClock::now(), Duration::zero());
  const bool last =
    this->progress.tracker.AttemptCount() >= this->call.route->mostServers;
  if (last || this->call.route->MayRepeat() == Repeatability::OnlyOnce) {
    return remaining;
  }
  const Duration patience =
    std::max(this->call.route->targetLatency * kSilentTargets, kSilenceLimit);
  return std::min(patience, remaining);
}

Task<std::optional<AttemptLoss>> PlainCall::Attempt(const Candidate& aCandidate)
{
  CallSender::Target target;
  target.server = aCandidate.server;
  target.endpoint = aCandidate.endpoint;
  target.headTimeout = this->HeadTimeout();
  auto opened = co_await this->sender.Open(std::move(target));
  if (!opened) {
    co_return AttemptLoss{ this->sender.Meaning(opened.LastReason()), std::nullopt };
  }
  co_return co_await this->Receive(**opened);
}

Task<std::optional<AttemptLoss>> PlainCall::Receive(HttpClientStream& aStream)
{
  this->progress.firstByte = BootClock::now() - this->call.arrivedAt;
  const int status = aStream.Status();
  const auto facts = platform::ReadReply(status, aStream.Headers(), this->call.facts.id);
  if (facts.statesNotRun) {
    co_return AttemptLoss{ AttemptFailure::RefusedAsNotRun, std::nullopt };
  }
  if (!facts.answersThisCall || (facts.isSuccess && !facts.isSigned)) {
    co_return AttemptLoss{ AttemptFailure::BrokenBeforeHead, std::nullopt };
  }
  auto response = co_await this->sender.ReadWhole(aStream);
  if (!response) {
    co_return AttemptLoss{ this->sender.Meaning(response.LastReason()), std::nullopt };
  }
  if (status >= 500) {
    co_return AttemptLoss{ AttemptFailure::ServerError, std::move(*response) };
  }
  this->received = std::move(*response);
  co_return std::nullopt;
}

void PlainCall::NoteEnd(const Candidate& aCandidate,
                        const std::optional<AttemptLoss>& aLoss,
                        TimePoint aSentAt)
{
  const auto now = BootClock::now();
  // Each exchange has a connection of its own, whose silence is the server's.
  const auto end = aLoss ? EndOf(aLoss->failure, AttemptEnd::Slow) : AttemptEnd::Answered;
  if (!aLoss) {
    this->state.router.OnFirstByte(aCandidate.id, now - aSentAt, now);
  }
  this->state.router.OnFinished(aCandidate.id, end, now - aSentAt, now);
  this->state.log.Write(aLoss ? LogWeight::Notable : LogWeight::Routine,
                        "attempt_end",
                        { { "request", this->call.facts.id.Value() },
                          { "server", aCandidate.id },
                          { "took_ms", ToMilliseconds(now - aSentAt).count() },
                          { "end", aLoss ? Name(aLoss->failure) : "answered" } });
}

} // namespace toucanstand
