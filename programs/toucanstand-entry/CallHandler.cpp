#include "CallHandler.h"

#include <boost/asio/steady_timer.hpp>

#include "CallerAnswer.h"
#include "EngineCall.h"
#include "ServiceCall.h"
#include "hashing/Fingerprint.h"

namespace toucanstand {

namespace {

constexpr Duration kIsolatedRetryAfter = std::chrono::seconds(2);
constexpr Duration kStoreRetryAfter = std::chrono::seconds(2);

/// Counts a call as long as it is handled, also when an exception ends it.
class InFlightScope
{
public:
  explicit InFlightScope(std::size_t& aCount)
    : count(aCount)
  {
    ++this->count;
  }
  ~InFlightScope() { --this->count; }
  InFlightScope(const InFlightScope&) = delete;
  InFlightScope& operator=(const InFlightScope&) = delete;

private:
  std::size_t& count;
};

AttemptOutcome ToAttemptOutcome(CallOutcome aOutcome)
{
  switch (aOutcome) {
    case CallOutcome::Answered:
      return AttemptOutcome::Answered;
    case CallOutcome::NotRun:
      return AttemptOutcome::NotRun;
    case CallOutcome::Unknown:
      return AttemptOutcome::Unknown;
  }
  return AttemptOutcome::Unknown;
}

ClaimOutcome ToClaimOutcome(CallOutcome aOutcome)
{
  switch (aOutcome) {
    case CallOutcome::Answered:
      return ClaimOutcome::Answered;
    case CallOutcome::NotRun:
      return ClaimOutcome::NotRun;
    case CallOutcome::Unknown:
      return ClaimOutcome::Unknown;
  }
  return ClaimOutcome::Unknown;
}

/// The end of a call whose claim was not granted.
CallEnd EndWithoutGrant(const std::optional<ClaimReplyMessage>& aReply)
{
  const auto answer = aReply ? aReply->answer : ClaimAnswer::StoreDown;
  switch (answer) {
    case ClaimAnswer::StoredAnswer: {
      CallEnd end;
      end.outcome = CallOutcome::Answered;
      end.status = aReply->status;
      HttpResponse stored = aReply->bodyOmitted
                              ? ErrorResponse(aReply->status,
                                              "answer_not_stored",
                                              "the answer was too long to keep")
                              : JsonResponse(aReply->status, aReply->body);
      stored.headers.Add("Idempotent-Replay", "true");
      end.answer = std::move(stored);
      return end;
    }
    case ClaimAnswer::InProgress:
      return MakeError(CallOutcome::Unknown,
                       409,
                       "in_progress",
                       "a call with this key is in progress",
                       std::chrono::seconds(1));
    case ClaimAnswer::KeyReused:
      return MakeError(CallOutcome::NotRun,
                       422,
                       "key_reused",
                       "this Idempotency-Key was used with another request");
    case ClaimAnswer::StoreDown:
      // Says nothing about an earlier call with the same key.
      return MakeError(CallOutcome::NotRun,
                       503,
                       "claim_unavailable",
                       "this request was not run; whether an earlier one with the same "
                       "key ran is not known now",
                       kStoreRetryAfter);
    case ClaimAnswer::OutcomeUnknown:
    case ClaimAnswer::Granted:
      break;
  }
  return MakeError(CallOutcome::Unknown,
                   409,
                   "outcome_unknown",
                   "a call with this key may have run and its answer is not known");
}

/// Calls whose answers take about equally long.
AnswerDurations::Kind KindOf(const CallRequest& aRequest)
{
  return { aRequest.contract.pool, "", aRequest.isChat ? aRequest.cost : 0 };
}

/// The end of a call that was cancelled before it was sent.
CallEnd EndOfAbandoned(const CallState& aState)
{
  if (aState.cancelReason == CancelReason::Stopping) {
    return MakeStopEnd(CallOutcome::NotRun);
  }
  return MakeError(CallOutcome::NotRun, 499, "caller_left", "the caller left");
}

} // namespace

CallHandler::CallHandler(EntryContext& aContext)
  : context(aContext)
  , reader(aContext.settings.id, aContext.random.Engine()(), aContext.settings.longTokens)
{
}

Task<> CallHandler::Handle(HttpExchange& aExchange)
{
  if (auto refusal = this->RefuseNewWork()) {
    HttpResponse response = ToResponse(*refusal, "");
    co_await aExchange.Respond(std::move(response));
    co_return;
  }
  auto read =
    this->reader.Read(aExchange.Request(), this->context.configuration, BootClock::now());
  if (!read) {
    const auto& rejection = read.LastReason();
    this->context.metrics.Count(std::string("calls_rejected_total{type=\"") +
                                rejection.type + "\"}");
    HttpResponse response =
      ErrorResponse(rejection.status, rejection.type, rejection.message);
    response.headers.Add("Toucanstand-Outcome", WireName(CallOutcome::NotRun));
    co_await aExchange.Respond(std::move(response));
    co_return;
  }
  if (!this->CanEndBeforeStop(*read)) {
    this->context.metrics.Count("calls_rejected_total{type=\"stopping\"}");
    HttpResponse response = ToResponse(MakeStopEnd(CallOutcome::NotRun), "");
    co_await aExchange.Respond(std::move(response));
    co_return;
  }
  const InFlightScope scope(this->inFlight);
  const AnswerDurations::InProgress inProgress(
    this->context.answerDurations, KindOf(*read), read->arrivedAt);
  CallState state;
  state.request = std::move(*read);
  co_await this->RunCall(aExchange, state);
}

Task<> CallHandler::RunCall(HttpExchange& aExchange, CallState& aState)
{
  const auto& request = aState.request;
  const bool onlyOnce = request.contract.repeatability == Repeatability::OnlyOnce;
  aExchange.OnCallerGone([this, &aState, onlyOnce] {
    // A call that must not be repeated goes on after it was sent, so that its answer is
    // stored for the caller's next request with the same key.
    if (!onlyOnce || !aState.sent) {
      aState.Cancel(CancelReason::CallerLeft);
      this->context.gate.Abandon(aState.request.id);
    }
  });
  aExchange.OnFinalAnswerDue([this, &aState] {
    aState.Cancel(CancelReason::Stopping);
    this->context.gate.Abandon(aState.request.id);
  });
  boost::asio::steady_timer deadline(this->context.loop);
  deadline.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(
    request.deadline - request.arrivedAt));
  deadline.async_wait([&aState](const boost::system::error_code& aError) {
    if (!aError) {
      aState.Cancel(CancelReason::DeadlinePassed);
    }
  });

  CallerAnswer answer(aExchange, request);
  const std::string nonce = onlyOnce ? HashHex128(request.id.Value()) : "";
  std::optional<CallEnd> end;
  if (onlyOnce) {
    end = co_await this->Claim(aState, nonce);
  }
  const bool claimed = onlyOnce && !end;
  if (!end) {
    end = co_await this->Admit(aState);
  }
  if (!end) {
    const auto admittedAt = BootClock::now();
    if (request.isChat) {
      EngineCall call(this->context, aState, answer);
      end = co_await call.Run();
    } else {
      ServiceCall call(this->context, aState);
      end = co_await call.Run();
    }
    this->context.gate.Leave(
      request.id, ToAttemptOutcome(end->outcome), BootClock::now() - admittedAt);
  }
  deadline.cancel();
  if (claimed) {
    this->ReportOutcome(request, nonce, *end);
  }
  this->NoteEnd(aState, *end);
  const bool delivered = request.isChat && end->errorType.empty();
  if (!delivered) {
    co_await answer.Fail(std::move(*end));
  }
}

Task<std::optional<CallEnd>> CallHandler::Claim(const CallState& aState,
                                                const std::string& aNonce)
{
  const auto& request = aState.request;
  ClaimMessage claim;
  claim.account = request.account.id;
  claim.key = request.idempotencyKey;
  claim.fingerprint =
    HashHex128(request.method + ' ' + request.target + '\n' + request.body);
  claim.nonce = aNonce;
  const auto started = BootClock::now();
  const auto reply =
    co_await this->context.claims.Claim(claim, this->context.settings.claimTimeout);
  this->context.metrics.Record("claim_seconds", BootClock::now() - started);
  if (reply && reply->answer == ClaimAnswer::Granted) {
    if (aState.cancelReason == CancelReason::None) {
      co_return std::nullopt;
    }
    CallEnd given = EndOfAbandoned(aState);
    this->ReportOutcome(request, aNonce, given);
    co_return given;
  }
  CallEnd end = EndWithoutGrant(reply);
  if (end.retryAfter) {
    end.retryAfter = this->context.Spread(*end.retryAfter);
  }
  co_return end;
}

Task<std::optional<CallEnd>> CallHandler::Admit(const CallState& aState)
{
  const auto& request = aState.request;
  if (aState.cancelReason != CancelReason::None) {
    co_return EndOfAbandoned(aState);
  }
  Arrival arrival;
  arrival.id = request.id;
  arrival.pool = request.contract.pool;
  arrival.account = request.account.id;
  arrival.workClass = request.workClass;
  arrival.worth = request.worth;
  arrival.cost = request.cost;
  arrival.deadline = request.deadline;
  const auto entry = co_await this->context.gate.Enter(arrival);
  switch (entry.verdict) {
    case AdmissionGate::Verdict::Admitted:
      co_return std::nullopt;
    case AdmissionGate::Verdict::Abandoned:
      co_return EndOfAbandoned(aState);
    case AdmissionGate::Verdict::Refused:
      break;
  }
  this->context.metrics.Count(std::string("admission_refusals_total{reason=\"") +
                              Name(entry.refusal.reason) + "\"}");
  co_return MakeError(CallOutcome::NotRun,
                      503,
                      Name(entry.refusal.reason),
                      "the system is at its limit",
                      entry.refusal.retryAfter);
}

void CallHandler::ReportOutcome(const CallRequest& aRequest,
                                const std::string& aNonce,
                                const CallEnd& aEnd)
{
  OutcomeMessage outcome;
  outcome.nonce = aNonce;
  outcome.account = aRequest.account.id;
  outcome.key = aRequest.idempotencyKey;
  outcome.outcome = ToClaimOutcome(aEnd.outcome);
  if (aEnd.answer && aEnd.outcome == CallOutcome::Answered) {
    outcome.status = aEnd.status;
    outcome.body = aEnd.answer->body;
  } else if (aEnd.outcome == CallOutcome::Answered) {
    outcome.outcome = ClaimOutcome::Unknown;
  }
  this->context.claims.Report(outcome);
}

void CallHandler::NoteEnd(const CallState& aState, const CallEnd& aEnd)
{
  const auto& request = aState.request;
  auto& metrics = this->context.metrics;
  const std::string labels = std::string("{outcome=\"") + WireName(aEnd.outcome) +
                             "\",class=\"" + Name(request.workClass) + "\",contract=\"" +
                             request.contract.name + "\"}";
  metrics.Count("calls_total" + labels);
  if (aState.cancelReason == CancelReason::CallerLeft) {
    metrics.Count("calls_abandoned_total");
  }
  if (aState.cancelReason == CancelReason::Stopping &&
      aEnd.outcome == CallOutcome::Unknown) {
    ++this->context.callsEndedByStop;
  }
  if (aEnd.outcome == CallOutcome::Answered) {
    const auto took = BootClock::now() - request.arrivedAt;
    metrics.Record(std::string("call_seconds{class=\"") + Name(request.workClass) + "\"}",
                   took);
    this->context.answerDurations.OnAnswered(
      KindOf(request), AnswerDurations::Answer{ took, took, 0 }, BootClock::now());
    // Worth is a fraction, counters are whole numbers.
    metrics.Count(
      "worth_answered_milli_total",
      static_cast<std::uint64_t>(request.worth * request.account.worth * 1000));
  }
}

bool CallHandler::CanEndBeforeStop(const CallRequest& aRequest) const
{
  const auto& stop = this->context.stopSchedule;
  if (!stop) {
    return true;
  }
  const auto now = aRequest.arrivedAt;
  const auto kind = KindOf(aRequest);
  const auto& durations = this->context.answerDurations;
  // A call of which no like has been answered is taken until the listener closes.
  const auto longest = std::max(durations.Longest(kind, now).value_or(Duration::zero()),
                                durations.LongestInProgress(kind, now));
  return stop->LeavesTimeFor({ aRequest.deadline, longest, std::nullopt }, now);
}

std::optional<CallEnd> CallHandler::RefuseNewWork()
{
  if (this->context.draining) {
    this->context.metrics.Count("calls_rejected_total{type=\"draining\"}");
    return MakeError(CallOutcome::NotRun,
                     503,
                     "draining",
                     "this entry VM is stopping; another one takes the request",
                     Duration::zero());
  }
  if (!this->context.MayServe(BootClock::now())) {
    this->context.metrics.Count("calls_rejected_total{type=\"isolated\"}");
    return MakeError(CallOutcome::NotRun,
                     503,
                     "isolated",
                     "this entry VM has no recent configuration",
                     this->context.Spread(kIsolatedRetryAfter));
  }
  return std::nullopt;
}

} // namespace toucanstand
