#include "GenerationAttempt.h"

#include <algorithm>
#include <ranges>
#include <utility>
#include <vector>

#include "platform/HeaderTranslation.h"
#include "text/Hexadecimal.h"

namespace toucanstand {

namespace {

/// Prompt parts of a request that a log line names.
constexpr std::size_t kMaxLoggedPromptParts = 8;

std::string FormatPromptParts(const std::vector<PromptPartId>& aParts)
{
  std::string text;
  for (const auto part : aParts | std::views::take(kMaxLoggedPromptParts)) {
    if (!text.empty()) {
      text += ',';
    }
    text += FormatHexadecimal(part);
  }
  return text;
}

} // namespace

GenerationAttempt::GenerationAttempt(ServingState& aState,
                                     Call& aCall,
                                     GroupPlacement& aPlacement,
                                     PlacementChoice aChoice)
  : state(aState)
  , call(aCall)
  , placement(aPlacement)
  , choice(std::move(aChoice))
  , sender(aState, aCall)
  , startedAt(BootClock::now())
  , ticket(aPlacement.OnSent(this->choice, aCall.facts.promptTokens, this->startedAt))
  , run(aState.OnRunStarted(aCall, this->choice.group.head))
{
}

Task<std::optional<FailedAttempt>> GenerationAttempt::Open(CallSender::Target aTarget,
                                                           ErrorBodies aErrorBodies)
{
  const auto asked = this->state.directory.RunOf(this->choice.group.head);
  auto opened = co_await this->sender.Open(std::move(aTarget));
  if (!opened) {
    co_return FailedAttempt{ this->ClassifyFailure(opened.LastReason()), std::nullopt };
  }
  this->stream = std::move(*opened);
  const auto facts = platform::ReadResponseHead(
    this->stream->Status(), this->stream->Headers(), this->call.facts.id);
  this->statedRateLimit = facts.rateLimit;
  this->serverWaits = facts.statement.retryAfter.has_value();
  this->state.OnResponseHead(asked, facts);
  if (facts.load) {
    this->placement.OnStatedLoad(this->Group(), *facts.load, BootClock::now());
  }
  if (facts.startsStream && facts.isSigned) {
    co_return std::nullopt;
  }
  co_return co_await this->ReadFailure(facts, aErrorBodies);
}

void GenerationAttempt::OpenBeside(CallSender::Target aTarget, EventFramer aFramer)
{
  this->opening.emplace(this->state.loop,
                        this->shared_from_this(),
                        this->OpenAndReadEvent(std::move(aTarget), std::move(aFramer)));
}

Task<std::optional<FailedAttempt>> GenerationAttempt::OpenAndReadEvent(
  CallSender::Target aTarget,
  EventFramer aFramer)
{
  const auto silenceTimeout = aTarget.headTimeout;
  auto failedAttempt = co_await this->Open(std::move(aTarget), ErrorBodies::Skip);
  if (failedAttempt) {
    co_return failedAttempt;
  }
  aFramer.BeginAttempt();
  const auto eventsBefore = aFramer.EventCount();
  while (aFramer.EventCount() == eventsBefore && !aFramer.HasEventsWithoutId() &&
         !aFramer.HasEndMark()) {
    this->stream->SetProgressTimeout(silenceTimeout);
    auto bytes = co_await this->stream->Read(this->sender.Cancellation());
    if (!bytes) {
      co_return FailedAttempt{ this->ClassifyFailure(bytes.LastReason()), std::nullopt };
    }
    if (bytes->empty() || !aFramer.Feed(*bytes)) {
      co_return FailedAttempt{ AttemptFailure::BrokenInBody, std::nullopt };
    }
    this->firstBytes += *bytes;
    // The framer has a copy.
    if (!this->Hold(this->firstBytes.size() * 2)) {
      co_return FailedAttempt{ AttemptFailure::NoMemory, std::nullopt };
    }
  }
  co_return std::nullopt;
}

Task<Result<std::string, HttpFailure>> GenerationAttempt::Read()
{
  if (!this->firstBytes.empty()) {
    co_return std::exchange(this->firstBytes, {});
  }
  co_return co_await this->stream->Read(this->sender.Cancellation());
}

Task<std::optional<FailedAttempt>> GenerationAttempt::ReadFailure(
  const ReplyFacts& aFacts,
  ErrorBodies aErrorBodies)
{
  if (!aFacts.answersThisCall) {
    co_return FailedAttempt{ AttemptFailure::BrokenBeforeHead, std::nullopt };
  }
  if (aFacts.statesNotRun) {
    this->groupUnusable = aFacts.wrongServer || aFacts.serverAtFault.has_value();
    co_return FailedAttempt{ AttemptFailure::RefusedAsNotRun, std::nullopt };
  }
  if (aFacts.isSuccess) {
    co_return FailedAttempt{ AttemptFailure::BrokenBeforeHead, std::nullopt };
  }
  if (aErrorBodies == ErrorBodies::Skip) {
    co_return FailedAttempt{ AttemptFailure::ServerError, std::nullopt };
  }
  co_return co_await this->sender.ReadError(*this->stream);
}

void GenerationAttempt::End(const std::optional<FailedAttempt>& aFailedAttempt,
                            const EventCounts& aEvents)
{
  this->stream.reset();
  this->placement.OnEnded(
    this->ticket, this->ToGroupOutcome(aFailedAttempt), BootClock::now());
  this->state.OnRunEnded(this->run,
                         { this->choice.group.head, this->choice.group.endpoint },
                         aFailedAttempt ? std::optional(aFailedAttempt->failure)
                                        : std::nullopt);
  this->Log(aFailedAttempt, aEvents);
}

GroupRequestOutcome GenerationAttempt::ToGroupOutcome(
  const std::optional<FailedAttempt>& aFailedAttempt) const
{
  if (!aFailedAttempt) {
    return GroupRequestOutcome::Answered;
  }
  if (IsAbandoned(aFailedAttempt->failure)) {
    return GroupRequestOutcome::Abandoned;
  }
  switch (aFailedAttempt->failure) {
    case AttemptFailure::ConnectRefused:
    case AttemptFailure::ConnectTimedOut:
      return GroupRequestOutcome::Unusable;
    case AttemptFailure::RefusedAsNotRun:
      return this->groupUnusable ? GroupRequestOutcome::Unusable
                                 : GroupRequestOutcome::Rejected;
    case AttemptFailure::SilentConnection:
      return GroupRequestOutcome::Stalled;
    default:
      // A group whose head wants nothing for now has not failed.
      return this->serverWaits ? GroupRequestOutcome::Rejected
                               : GroupRequestOutcome::Failed;
  }
}

void GenerationAttempt::Log(const std::optional<FailedAttempt>& aFailedAttempt,
                            const EventCounts& aEvents)
{
  this->state.log.Write(
    aFailedAttempt ? LogWeight::Notable : LogWeight::Routine,
    "attempt_end",
    { { "request", this->call.facts.id.Value() },
      { "group", this->Group().Value() },
      { "server", this->choice.group.head.Value() },
      { "beside", this->opening.has_value() },
      { "predicted_ms", ToMilliseconds(this->choice.predicted).count() },
      { "reading", this->choice.backlog.prefillRequests },
      { "writing", this->choice.backlog.decodeRequests },
      { "events", static_cast<std::int64_t>(aEvents.call) },
      { "attempt_events", static_cast<std::int64_t>(aEvents.attempt) },
      { "rate_limit",
        this->statedRateLimit.kind == StatedRateLimit::Kind::Limited
          ? this->statedRateLimit.perSecond
          : -1.0 },
      { "spared", this->state.DescribeSpared(this->call.pool, BootClock::now()) },
      { "prompt_parts", FormatPromptParts(this->call.facts.sharedPromptParts) },
      { "end", aFailedAttempt ? Name(aFailedAttempt->failure) : "answered" } });
}

} // namespace toucanstand
