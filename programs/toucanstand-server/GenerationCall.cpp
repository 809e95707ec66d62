#include "GenerationCall.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "UnreadBytesScope.h"
#include "platform/HeaderTranslation.h"

namespace toucanstand {

namespace {

/// Range of the urgency sent to the engine; it admits smaller numbers first.
constexpr int kMostUrgent = 3;
constexpr int kLeastUrgent = 9;
/// Minimum Retry-After for a caller whose request was rejected by a full group.
constexpr Duration kFullGroupRetryAfter = std::chrono::milliseconds(250);

} // namespace

GenerationCall::GenerationCall(ServingState& aState, Call& aCall)
  : state(aState)
  , call(aCall)
  , placement(*aState.FindPlacement(aCall.pool))
  , admission(aState, aCall)
  , progress(aState, aCall)
  , framer(aCall.facts.lastEventId,
           aCall.route->isResumable ? EventIds::Required : EventIds::Optional)
  , attempts(
      [this](auto& aStandby, auto aFailure) { this->OnStandbyEnd(aStandby, aFailure); })
{
}

Task<CallResult> GenerationCall::Run()
{
  this->call.exchange.OnCallerGone([this] { this->attempts.Cancel(); });
  this->call.exchange.OnFinalAnswerDue([this] { this->attempts.Cancel(); });
  co_return co_await this->attempts.Run(this->Serve());
}

Task<CallResult> GenerationCall::Serve()
{
  while (true) {
    if (auto refusal = this->BeginAttempt()) {
      co_return co_await this->GiveUp(std::move(*refusal));
    }
    auto failedAttempt = co_await this->RunAttempt();
    this->attempts.Current().End(failedAttempt, this->CountEvents());
    if (!failedAttempt) {
      this->progress.tracker.OnAnswered();
      co_return this->progress.MakeResult(CallOutcome::Answered, 200);
    }
    this->triedGroups.push_back(this->attempts.Current().Group());
    const auto decision =
      this->progress.EndAttempt(std::move(*failedAttempt), BootClock::now());
    if (decision.kind == RetryAction::GiveUp) {
      Refusal refusal{ Name(decision.reason),
                       std::max(
                         kFullGroupRetryAfter,
                         this->state.TimeUntilAvailable(this->call, BootClock::now())) };
      co_return co_await this->GiveUp(std::move(refusal));
    }
  }
}

Task<CallResult> GenerationCall::GiveUp(Refusal aRefusal)
{
  // Whether the call has run depends on it.
  co_await this->attempts.DropStandby();
  co_return co_await this->progress.GiveUp(std::move(aRefusal.reason),
                                           aRefusal.retryAfter);
}

std::optional<GenerationCall::Refusal> GenerationCall::BeginAttempt()
{
  const auto now = BootClock::now();
  // A part may have been quarantined while an earlier attempt ran.
  const auto crashingPart = this->state.promptPartQuarantine.FindQuarantined(
    this->call.facts.sharedPromptParts, now);
  if (crashingPart) {
    return Refusal{ "crashing_prompt_part",
                    this->state.promptPartQuarantine.RemainingTime(*crashingPart, now) };
  }
  if (!this->attempts.TakeOverStandby()) {
    if (auto refusal = this->PlaceAttempt(now)) {
      return refusal;
    }
  }
  const auto& attempt = this->attempts.Current();
  this->progress.BeginAttempt(attempt.Group().Value(), attempt.StartedAt());
  return std::nullopt;
}

std::optional<GenerationCall::Refusal> GenerationCall::PlaceAttempt(TimePoint aNow)
{
  if (this->progress.MustLeaveToOtherVms(aNow) ||
      this->progress.IsTooLateToStream(aNow)) {
    return Refusal{ "stopping", this->state.stopRetryAfter };
  }
  auto choice = this->placement.Choose(this->MakePlacementQuery(), aNow);
  // A retried call takes precedence over a new one: its stream may have started, or it
  // has already waited for a group that failed.
  const bool mustPlace = !this->triedGroups.empty();
  if (auto refusal = this->admission.Decide(choice, mustPlace, aNow)) {
    return refusal;
  }
  this->attempts.SetCurrent(this->MakeAttempt(std::move(*choice)));
  return std::nullopt;
}

std::shared_ptr<GenerationAttempt> GenerationCall::MakeAttempt(PlacementChoice aChoice)
{
  return std::make_shared<GenerationAttempt>(
    this->state, this->call, this->placement, std::move(aChoice));
}

PlacementQuery GenerationCall::MakePlacementQuery() const
{
  PlacementQuery query;
  query.model = this->call.facts.model;
  query.promptTokens = this->call.facts.promptTokens;
  query.firstEventTarget = this->call.route->targetLatency;
  query.excluded = this->triedGroups;
  std::ranges::transform(this->state.availability.Spared(BootClock::now()),
                         std::back_inserter(query.excludedServers),
                         &ServerAvailability::SparedServer::server);
  query.isResumed = this->progress.responseStarted;
  return query;
}

CallSender::Target GenerationCall::MakeTarget(const GenerationAttempt& aAttempt)
{
  const auto& choice = aAttempt.Choice();
  CallSender::Target target;
  target.server = choice.group.head;
  target.endpoint = choice.group.endpoint;
  // Without events from an earlier run, the caller's own Last-Event-ID stays in force.
  if (this->framer.EventCount() > 0) {
    target.lastEventId = this->framer.LastEventId();
  }
  target.urgency =
    std::clamp(kMostUrgent + this->call.priority, kMostUrgent, kLeastUrgent);
  target.headTimeout =
    this->EffectiveTimeout(std::max(kFirstEventTimeout, choice.predicted * 2));
  target.extend = [this, &aAttempt] {
    return this->ExtendWait(aAttempt, BootClock::now());
  };
  return target;
}

Duration GenerationCall::EffectiveTimeout(Duration aTimeout) const
{
  const auto remaining =
    std::max(this->call.deadline - BootClock::now(), Duration::zero());
  return std::min(aTimeout, remaining);
}

Duration GenerationCall::ExtendWait(const GenerationAttempt& aWaiting, TimePoint aNow)
{
  if (aNow >= this->call.deadline) {
    return Duration::zero();
  }
  this->placement.OnSilent(aWaiting.Ticket(), aNow);
  if (!this->attempts.IsCurrent(aWaiting)) {
    return this->EffectiveTimeout(kSilenceCheckInterval);
  }
  if (const auto wait = this->attempts.WaitForStandby()) {
    return this->EffectiveTimeout(*wait);
  }
  const char* const reasonToStay = this->BeginStandby(aNow);
  this->LogSilence(reasonToStay, aNow);
  return this->EffectiveTimeout(reasonToStay == nullptr
                                  ? CallAttempts<GenerationAttempt>::kStandbyCheckInterval
                                  : kSilenceCheckInterval);
}

const char* GenerationCall::BeginStandby(TimePoint aNow)
{
  if (this->state.promptPartQuarantine.FindQuarantined(this->call.facts.sharedPromptParts,
                                                       aNow)) {
    return "crashing_prompt_part";
  }
  auto query = this->MakePlacementQuery();
  query.excluded.push_back(this->attempts.Current().Group());
  // A group that is suspected itself is no better than this one.
  query.isResumed = false;
  auto choice = this->placement.Choose(query, aNow);
  if (!choice) {
    return "no_other_group";
  }
  if (!this->progress.LeavesTimeToContinue(choice->predicted, aNow)) {
    return "no_time";
  }
  const auto reason =
    this->progress.tracker.ReserveRetry(AttemptFailure::SilentConnection, aNow);
  if (reason != GiveUpReason::None) {
    return Name(reason);
  }
  this->attempts.SetStandby(this->MakeAttempt(std::move(*choice)));
  auto& standby = *this->attempts.Standby();
  standby.OpenBeside(this->MakeTarget(standby), this->framer);
  return nullptr;
}

void GenerationCall::OnStandbyEnd(GenerationAttempt& aStandby, AttemptFailure aFailure)
{
  aStandby.End(FailedAttempt{ aFailure, std::nullopt }, { this->framer.EventCount(), 0 });
  this->progress.EndParallelAttempt(aFailure, aStandby.Group().Value());
  this->triedGroups.push_back(aStandby.Group());
}

void GenerationCall::LogSilence(const char* aReasonToStay, TimePoint aNow)
{
  if (aReasonToStay != nullptr && this->loggedReasonToStay == aReasonToStay) {
    return;
  }
  this->loggedReasonToStay = aReasonToStay;
  const auto lastSignOfLife = this->progress.lastEventsAt.value_or(this->call.arrivedAt);
  this->state.log.Write(
    LogWeight::Notable,
    "server_silent",
    { { "request", this->call.facts.id.Value() },
      { "group", this->attempts.Current().Group().Value() },
      { "silent_ms", ToMilliseconds(aNow - lastSignOfLife).count() },
      { "stays", aReasonToStay == nullptr ? "" : aReasonToStay },
      { "next",
        aReasonToStay == nullptr ? this->attempts.Standby()->Group().Value() : "" } });
}

Task<std::optional<FailedAttempt>> GenerationCall::RunAttempt()
{
  this->loggedReasonToStay = nullptr;
  this->framer.BeginAttempt();
  this->eventsBeforeAttempt = this->framer.EventCount();
  auto failedAttempt = co_await this->OpenAttempt();
  if (failedAttempt) {
    co_return failedAttempt;
  }
  const UnreadBytesScope unreadBytes(this->call.exchange,
                                     this->attempts.Current().Stream());
  co_return co_await this->RelayStream();
}

Task<std::optional<FailedAttempt>> GenerationCall::OpenAttempt()
{
  auto& attempt = this->attempts.Current();
  if (auto* opening = attempt.Background()) {
    co_return co_await opening->Wait();
  }
  // The client can't be told of an error once the stream has begun: it is continued
  // elsewhere at once.
  using ErrorBodies = GenerationAttempt::ErrorBodies;
  co_return co_await attempt.Open(this->MakeTarget(attempt),
                                  this->progress.responseStarted ? ErrorBodies::Skip
                                                                 : ErrorBodies::Read);
}

Task<std::optional<FailedAttempt>> GenerationCall::RelayStream()
{
  // Only complete events extend the timeout: bytes that never complete an event must not
  // keep a run open.
  this->nextEventDue = BootClock::now() + this->EffectiveTimeout(kFirstEventTimeout);
  std::size_t bytesWithoutEvent = 0;
  while (true) {
    this->attempts.Current().Stream().SetProgressTimeout(
      std::max(this->nextEventDue - BootClock::now(), Duration::zero()));
    auto chunk = co_await this->attempts.Current().Read();
    if (!chunk) {
      co_return FailedAttempt{
        this->attempts.Current().ClassifyFailure(chunk.LastReason()), std::nullopt
      };
    }
    if (chunk->empty()) {
      break;
    }
    const auto eventsBefore = this->framer.EventCount();
    const auto events = this->framer.Feed(*chunk);
    if (!events) {
      co_return FailedAttempt{ AttemptFailure::BrokenInBody, std::nullopt };
    }
    const bool hasNewEvents = this->framer.EventCount() > eventsBefore;
    bytesWithoutEvent = hasNewEvents ? 0 : bytesWithoutEvent + chunk->size();
    if (!hasNewEvents && !this->MayWaitForEvent(bytesWithoutEvent)) {
      co_return FailedAttempt{
        this->attempts.Current().ClassifyFailure(HttpFailure::BodyTimedOut), std::nullopt
      };
    }
    if (!events->empty() && !co_await this->PassOn(*events, hasNewEvents)) {
      co_return this->MakeAbandonedAttempt();
    }
    if (!this->attempts.Current().Hold(this->framer.PendingBytes())) {
      co_return FailedAttempt{ AttemptFailure::NoMemory, std::nullopt };
    }
  }
  if (!this->IsPlausibleEnd()) {
    co_return FailedAttempt{ AttemptFailure::BrokenInBody, std::nullopt };
  }
  co_await this->attempts.DropStandby();
  // The head of a stream without any event still has to be sent.
  const bool started = co_await this->ForwardEvents(std::string());
  if (!started || !co_await this->call.exchange.FinishStream()) {
    co_return this->MakeAbandonedAttempt();
  }
  co_return std::nullopt;
}

Task<bool> GenerationCall::PassOn(const std::string& aEvents, bool aHasNewEvents)
{
  if (aHasNewEvents || this->framer.HasEventsWithoutId() || this->framer.HasEndMark()) {
    co_await this->attempts.DropStandby();
  }
  if (!aHasNewEvents) {
    co_return co_await this->ForwardEvents(aEvents);
  }
  const auto now = BootClock::now();
  auto& attempt = this->attempts.Current();
  this->placement.OnEvents(attempt.Ticket(), now);
  this->state.OnRunEvents(attempt.Run(), this->CountEvents().attempt, now);
  this->progress.RecordEvents(this->framer.EventCount(), now);
  const bool isForwarded = co_await this->ForwardEvents(aEvents);
  // Restart the timeout only after the write to the caller, so that the time a slow
  // caller takes to read is not charged to the engine.
  this->nextEventDue = BootClock::now() + this->EffectiveTimeout(kEventGapTimeout);
  this->loggedReasonToStay = nullptr;
  co_return isForwarded;
}

bool GenerationCall::MayWaitForEvent(std::size_t aBytesWithoutEvent)
{
  const auto now = BootClock::now();
  // A read that finds bytes waiting succeeds although its time is up.
  if (now < this->nextEventDue) {
    return true;
  }
  if (aBytesWithoutEvent > kMaxBytesWithoutEvent) {
    return false;
  }
  this->nextEventDue = now + this->ExtendWait(this->attempts.Current(), now);
  return this->nextEventDue > now;
}

bool GenerationCall::IsPlausibleEnd() const
{
  if (this->framer.HasPartialEvent()) {
    return false;
  }
  const bool hasEvents = this->framer.EventCount() > this->eventsBeforeAttempt ||
                         this->framer.HasEventsWithoutId() || this->framer.HasEndMark();
  if (hasEvents) {
    return true;
  }
  // A server that fails at once may end its stream in order. Without events it is
  // believed only if none can be missing: the client itself may have asked for what
  // follows the last event, or the answer has its greatest length.
  const auto events = static_cast<double>(this->framer.EventCount());
  return this->eventsBeforeAttempt == 0 ? this->call.facts.lastEventId.has_value()
                                        : events >= this->call.facts.mostAnswerTokens &&
                                            this->call.facts.mostAnswerTokens > 0;
}

Task<bool> GenerationCall::ForwardEvents(const std::string& aEvents)
{
  if (!this->progress.responseStarted) {
    this->progress.responseStarted = true;
    const auto& stream = this->attempts.Current().Stream();
    HttpHeaders headers = platform::ResponseHeadersForClient(stream.Headers());
    if (!co_await this->call.exchange.BeginStream(stream.Status(), std::move(headers))) {
      co_return false;
    }
  }
  if (aEvents.empty()) {
    co_return !this->call.exchange.CallerGone();
  }
  this->progress.tracker.OnTokensReceived(this->framer.EventCount());
  if (this->framer.HasEventsWithoutId()) {
    this->progress.tracker.OnBodyForwarded();
  }
  co_return co_await this->call.exchange.WriteChunk(aEvents);
}

FailedAttempt GenerationCall::MakeAbandonedAttempt() const
{
  return { this->attempts.Current().ClassifyFailure(HttpFailure::Cancelled),
           std::nullopt };
}

GenerationAttempt::EventCounts GenerationCall::CountEvents() const
{
  const auto count = this->framer.EventCount();
  return { count, count - this->eventsBeforeAttempt };
}

} // namespace toucanstand
