#include "GenerationCall.h"

#include <algorithm>

#include "platform/CallTranslation.h"

namespace toucanstand {

namespace {

/// Urgency at the engine for the most urgent priority; larger numbers are admitted later.
constexpr int kMostUrgent = 3;
constexpr int kLeastUrgent = 9;
/// When a caller should come back whose request met a group that was full.
constexpr Duration kAfterFullGroup = std::chrono::milliseconds(250);

} // namespace

GenerationCall::GenerationCall(ServingState& aState, Call& aCall)
  : state(aState)
  , call(aCall)
  , placement(*aState.PlacementOf(aCall.pool))
  , sender(aState, aCall)
  , progress(aState, aCall)
  , framer(aCall.facts.lastEventId)
{
}

Task<CallEnd> GenerationCall::Run()
{
  this->call.exchange.OnCallerGone([this] { this->sender.Cancel(); });
  while (true) {
    const auto choice = this->placement.Choose(this->Query(), BootClock::now());
    if (!choice) {
      const auto& delay = choice.LastReason();
      this->LogRefusal(delay);
      co_return co_await this->progress.GiveUp(Name(delay.refusal), delay.until);
    }
    this->progress.destination = choice->group.id.Value();
    this->progress.tracker.OnAttemptStarted(this->progress.destination);
    const auto run = this->state.NoteSent(
      this->call.facts.id, this->call.fingerprint, choice->group.head);
    auto loss = co_await this->Attempt(*choice);
    this->state.NoteRunEnded(run,
                             { choice->group.head, choice->group.endpoint },
                             loss ? std::optional(loss->failure) : std::nullopt);
    this->LogAttempt(*choice, loss);
    if (!loss) {
      this->progress.tracker.OnAnswered();
      co_return this->progress.End(CallOutcome::Answered, 200);
    }
    this->progress.serverFailure = std::move(loss->response);
    this->tried.push_back(choice->group.id);
    const auto step = this->progress.tracker.OnFailure(
      loss->failure, this->progress.destination, BootClock::now());
    if (step.kind == RetryAction::GiveUp) {
      co_return co_await this->progress.GiveUp(Name(step.reason), kAfterFullGroup);
    }
  }
}

PlacementQuery GenerationCall::Query() const
{
  PlacementQuery query;
  query.model = this->call.facts.model;
  query.promptTokens = this->call.facts.promptTokens;
  query.wanted = this->call.route->targetLatency;
  query.excluded = this->tried;
  // A stream that has begun, or that waited for a lost group, is worth more than one that
  // has not.
  query.mustPlace = !this->tried.empty();
  return query;
}

CallSender::Target GenerationCall::TargetFor(const PlacementChoice& aChoice) const
{
  CallSender::Target target;
  target.server = aChoice.group.head;
  target.endpoint = aChoice.group.endpoint;
  // Only a run after another one changes what the caller asked to resume from.
  if (this->framer.EventCount() > 0) {
    target.lastEventId = this->framer.LastEventId();
  }
  target.urgency =
    std::clamp(kMostUrgent + this->call.priority, kMostUrgent, kLeastUrgent);
  target.headTimeout =
    this->SilenceLimit(std::max(kFirstEventLimit, aChoice.predicted * 2));
  return target;
}

Duration GenerationCall::SilenceLimit(Duration aLimit) const
{
  const auto remaining =
    std::max(this->call.deadline - BootClock::now(), Duration::zero());
  // A run that can't be repeated is waited for, however long it is silent.
  const bool repeatable = this->call.route->MayRepeat() == Repeatability::Idempotent;
  return repeatable ? std::min(aLimit, remaining) : remaining;
}

Task<std::optional<AttemptLoss>> GenerationCall::Attempt(const PlacementChoice& aChoice)
{
  this->framer.DropPartialEvent();
  this->memberLost = false;
  this->ticket =
    this->placement.OnSent(aChoice, this->call.facts.promptTokens, BootClock::now());
  std::optional<AttemptLoss> loss;
  auto opened = co_await this->sender.Open(this->TargetFor(aChoice));
  if (!opened) {
    loss = AttemptLoss{ this->sender.Meaning(opened.LastReason()), std::nullopt };
  } else {
    auto& stream = **opened;
    const auto facts =
      platform::ReadReply(stream.Status(), stream.Headers(), this->call.facts.id);
    if (facts.load) {
      this->placement.OnStatedLoad(aChoice.group.id, *facts.load, BootClock::now());
    }
    const bool begins = facts.isSuccess && facts.isSigned && facts.answersThisCall;
    if (begins) {
      loss = co_await this->Relay(stream);
    } else {
      loss = co_await this->TakeFailure(stream, facts);
    }
  }
  this->placement.OnEnded(this->ticket, this->RunEndOf(loss), BootClock::now());
  co_return loss;
}

Task<std::optional<AttemptLoss>> GenerationCall::Relay(HttpClientStream& aStream)
{
  // Only events count as progress: bytes that never make one must not keep a run open.
  auto nextEventDue = BootClock::now() + this->SilenceLimit(kFirstEventLimit);
  while (true) {
    aStream.SetProgressTimeout(
      std::max(nextEventDue - BootClock::now(), Duration::zero()));
    auto piece = co_await aStream.Read(this->sender.Switch());
    if (!piece) {
      co_return AttemptLoss{ this->sender.Meaning(piece.LastReason()), std::nullopt };
    }
    if (piece->empty()) {
      break;
    }
    const auto countBefore = this->framer.EventCount();
    const auto events = this->framer.Feed(*piece);
    if (!events) {
      co_return AttemptLoss{ AttemptFailure::BrokenInBody, std::nullopt };
    }
    if (events->empty()) {
      continue;
    }
    const bool progressed = this->framer.EventCount() > countBefore;
    if (progressed) {
      const auto now = BootClock::now();
      this->placement.OnEvents(this->ticket, now);
      this->progress.NoteEvents(now);
    }
    if (!co_await this->PassOn(aStream, *events)) {
      co_return AttemptLoss{ AttemptFailure::CallerLeft, std::nullopt };
    }
    if (progressed) {
      // A caller that reads slowly takes none of the engine's time.
      nextEventDue = BootClock::now() + this->SilenceLimit(kPauseLimit);
    }
  }
  if (this->framer.HasPartialEvent()) {
    co_return AttemptLoss{ AttemptFailure::BrokenInBody, std::nullopt };
  }
  // A stream without events is complete as well.
  const bool begun = co_await this->PassOn(aStream, std::string());
  if (!begun || !co_await this->call.exchange.FinishStream()) {
    co_return AttemptLoss{ AttemptFailure::CallerLeft, std::nullopt };
  }
  co_return std::nullopt;
}

Task<bool> GenerationCall::PassOn(const HttpClientStream& aStream,
                                  const std::string& aEvents)
{
  if (!this->progress.answerBegun) {
    this->progress.answerBegun = true;
    HttpHeaders headers = platform::ReturnedHeaders(aStream.Headers());
    if (!co_await this->call.exchange.BeginStream(aStream.Status(), std::move(headers))) {
      co_return false;
    }
  }
  if (aEvents.empty()) {
    co_return !this->call.exchange.CallerGone();
  }
  this->progress.tracker.OnTokensReceived(this->framer.EventCount());
  co_return co_await this->call.exchange.WriteChunk(aEvents);
}

Task<std::optional<AttemptLoss>> GenerationCall::TakeFailure(HttpClientStream& aStream,
                                                             const ReplyFacts& aFacts)
{
  if (aFacts.statesNotRun) {
    this->memberLost = aFacts.wrongServer || aFacts.serverAtFault.has_value();
    co_return AttemptLoss{ AttemptFailure::RefusedAsNotRun, std::nullopt };
  }
  if (!aFacts.answersThisCall || aFacts.isSuccess) {
    co_return AttemptLoss{ AttemptFailure::BrokenBeforeHead, std::nullopt };
  }
  auto response = co_await this->sender.ReadWhole(aStream);
  if (!response) {
    co_return AttemptLoss{ this->sender.Meaning(response.LastReason()), std::nullopt };
  }
  co_return AttemptLoss{ AttemptFailure::ServerError, std::move(*response) };
}

GroupRunEnd GenerationCall::RunEndOf(const std::optional<AttemptLoss>& aLoss) const
{
  if (!aLoss) {
    return GroupRunEnd::Answered;
  }
  switch (aLoss->failure) {
    case AttemptFailure::ConnectRefused:
    case AttemptFailure::ConnectTimedOut:
      return GroupRunEnd::Unusable;
    case AttemptFailure::RefusedAsNotRun:
      return this->memberLost ? GroupRunEnd::Unusable : GroupRunEnd::Rejected;
    case AttemptFailure::SilentConnection:
      return GroupRunEnd::Stalled;
    case AttemptFailure::CallerLeft:
      return GroupRunEnd::Abandoned;
    default:
      return GroupRunEnd::Failed;
  }
}

void GenerationCall::LogRefusal(const PlacementDelay& aDelay)
{
  this->state.log.Write(LogWeight::Notable,
                        "placement_refused",
                        { { "request", this->call.facts.id.Value() },
                          { "model", this->call.facts.model },
                          { "reason", Name(aDelay.refusal) },
                          { "groups", static_cast<std::int64_t>(aDelay.considered) },
                          { "soonest_ms", ToMilliseconds(aDelay.soonest).count() },
                          { "limit_ms", ToMilliseconds(aDelay.limit).count() },
                          { "prompt_tokens", this->call.facts.promptTokens },
                          { "retry_after_ms", ToMilliseconds(aDelay.until).count() } });
}

void GenerationCall::LogAttempt(const PlacementChoice& aChoice,
                                const std::optional<AttemptLoss>& aLoss)
{
  this->state.log.Write(
    aLoss ? LogWeight::Notable : LogWeight::Routine,
    "attempt_end",
    { { "request", this->call.facts.id.Value() },
      { "group", aChoice.group.id.Value() },
      { "server", aChoice.group.head.Value() },
      { "predicted_ms", ToMilliseconds(aChoice.predicted).count() },
      { "reading", aChoice.work.reading },
      { "writing", aChoice.work.writing },
      { "events", static_cast<std::int64_t>(this->framer.EventCount()) },
      { "end", aLoss ? Name(aLoss->failure) : "answered" } });
}

} // namespace toucanstand
