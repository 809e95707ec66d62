#include "RequestHandler.h"

#include <algorithm>
#include <numeric>

#include "BufferedCall.h"
#include "ErrorResponder.h"
#include "GenerationCall.h"
#include "hashing/Fingerprint.h"
#include "platform/HeaderTranslation.h"

namespace toucanstand {

namespace {

/// Returns which latency objective the response missed; null if it met all of them or
/// there was no response.
const char* MissedObjective(const ServingRoute& aRoute, const CallResult& aResult)
{
  if (aResult.outcome != CallOutcome::Answered) {
    return nullptr;
  }
  if (aResult.timeToFirstByte && *aResult.timeToFirstByte > aRoute.targetLatency) {
    return "first_byte";
  }
  const bool pausedTooLong =
    aRoute.targetPause > Duration::zero() && aResult.maxEventGap > aRoute.targetPause;
  return pausedTooLong ? "pause" : nullptr;
}

} // namespace

RequestHandler::RequestHandler(ServingState& aState)
  : state(aState)
{
}

Task<> RequestHandler::Handle(HttpExchange& aExchange)
{
  const auto now = BootClock::now();
  auto facts = platform::ReadRequestHeaders(aExchange.Request());
  if (!facts) {
    const Rejection malformed{ 400, "malformed_header" };
    co_await this->SendRejection(aExchange, RequestId(), malformed);
    co_return;
  }
  const RequestId id = facts->id;
  auto call = this->Admit(aExchange, std::move(*facts), now);
  if (!call) {
    co_await this->SendRejection(aExchange, id, call.LastReason());
    co_return;
  }
  const AnswerDurations::InProgress inProgress(
    this->state.answerDurations, this->state.KindOf(*call), call->arrivedAt);
  const auto result = co_await this->Forward(*call);
  this->RecordResult(*call, result);
}

Result<Call, RequestHandler::Rejection> RequestHandler::Admit(HttpExchange& aExchange,
                                                              CallFacts aFacts,
                                                              TimePoint aNow)
{
  const auto configuration = this->state.configuration;
  if (!configuration || !this->state.hasReadServers) {
    return Rejection{ 503, "not_ready" };
  }
  // With a possibly outdated configuration, the request might be allowed by a newer one,
  // so the response must not be a definite 401 or 404.
  const bool isRecent = this->state.IsStoreCopyRecent(aNow);
  const auto rejection = [isRecent](int aStatus, const char* aReason) {
    return isRecent ? Rejection{ aStatus, aReason }
                    : Rejection{ 503, "configuration_may_be_old" };
  };
  const auto* route = configuration->FindRoute(aFacts.host, aFacts.path);
  if (route == nullptr) {
    return rejection(404, "no_route");
  }
  Call call{ aExchange, std::move(aFacts), configuration, route };
  call.priority = route->priority;
  if (configuration->NeedsKeys() && !route->isPublic) {
    const auto* keyEntry = configuration->FindKey(call.facts.apiKey);
    if (keyEntry == nullptr) {
      return rejection(401, "unknown_key");
    }
    call.account = keyEntry->account;
    call.priority = keyEntry->priority.value_or(call.priority);
  }
  const auto& request = aExchange.Request();
  call.fingerprint =
    Hash64(request.body, Hash64(request.target, Hash64(call.account.Value())));
  if (this->state.quarantine.Level(call.fingerprint, aNow) ==
      SuspicionLevel::Quarantined) {
    return Rejection{ 503, "crashes_servers" };
  }
  const auto crashingPart =
    this->state.promptPartQuarantine.FindQuarantined(call.facts.sharedPromptParts, aNow);
  if (crashingPart) {
    return Rejection{ 503,
                      "crashing_prompt_part",
                      this->state.promptPartQuarantine.RemainingTime(*crashingPart,
                                                                     aNow) };
  }
  call.pool = this->PickPool(*route);
  call.arrivedAt = aNow;
  call.deadline =
    aNow + std::min(call.facts.patience.value_or(route->timeout), route->timeout);
  if (!this->state.LeavesTimeFor(call, aNow)) {
    return Rejection{ 503, "stopping", this->state.stopRetryAfter };
  }
  return call;
}

PoolId RequestHandler::PickPool(const ServingRoute& aRoute)
{
  if (aRoute.pools.size() == 1) {
    return aRoute.pools.front().pool;
  }
  const double total = std::accumulate(
    aRoute.pools.begin(), aRoute.pools.end(), 0.0, [](double aSum, const auto& aShare) {
      return aSum + aShare.weight;
    });
  double remainingWeight = this->state.random.Fraction() * total;
  for (const auto& share : aRoute.pools) {
    remainingWeight -= share.weight;
    if (remainingWeight < 0) {
      return share.pool;
    }
  }
  return aRoute.pools.empty() ? PoolId() : aRoute.pools.back().pool;
}

Task<CallResult> RequestHandler::Forward(Call& aCall)
{
  this->state.RefreshDestinations(aCall.arrivedAt);
  const auto* cost = this->state.FindCostModel(aCall.pool);
  if (cost == nullptr) {
    BufferedCall bufferedCall(this->state, aCall);
    co_return co_await bufferedCall.Run();
  }
  // Clients choose the name of the model: made-up ones must not fill the meter and
  // reports.
  if (cost->FindModel(aCall.facts.model) != nullptr) {
    this->state.workMeter.OnRequest(
      aCall.facts.model,
      aCall.priority,
      cost->WorkOf(aCall.facts.promptTokens,
                   aCall.facts.expectedAnswerTokens.value_or(cost->usualAnswerTokens)),
      aCall.arrivedAt);
  }
  GenerationCall generation(this->state, aCall);
  co_return co_await generation.Run();
}

Task<> RequestHandler::SendRejection(HttpExchange& aExchange,
                                     const RequestId& aCall,
                                     const Rejection& aRejection)
{
  this->state.metrics.Count(std::string("requests_rejected_total{reason=\"") +
                            aRejection.reason + "\"}");
  this->state.log.Write(LogWeight::Notable,
                        "request_rejected",
                        { { "request", aCall.Value() },
                          { "status", static_cast<std::int64_t>(aRejection.status) },
                          { "reason", aRejection.reason } });
  ErrorResponder responder(this->state, aExchange, aCall);
  if (aRejection.status == 503) {
    co_await responder.RespondNotRun(aRejection.reason, aRejection.retryAfter);
  } else {
    co_await responder.RespondRejected(aRejection.status, aRejection.reason);
  }
}

void RequestHandler::RecordResult(const Call& aCall, const CallResult& aResult)
{
  aCall.exchange.Progress().endReason = aResult.reason;
  const auto took = BootClock::now() - aCall.arrivedAt;
  const bool isSuccess = aResult.outcome == CallOutcome::Answered &&
                         aResult.status >= 200 && aResult.status < 300;
  if (isSuccess) {
    const AnswerDurations::Answer answer{ took,
                                          aResult.timeToFirstByte.value_or(took),
                                          aResult.events };
    this->state.OnAnswered(aCall, answer, BootClock::now());
  }
  const bool isEndedByStop =
    aCall.exchange.IsFinalAnswerDue() || aResult.reason == Name(GiveUpReason::Stopping);
  if (aResult.outcome == CallOutcome::Unknown && isEndedByStop) {
    ++this->state.requestsEndedByStop;
  }
  const bool isBrokenStream = aResult.outcome == CallOutcome::Unknown &&
                              aResult.status == 200 && !aCall.exchange.CallerGone();
  if (this->state.stopSchedule && isBrokenStream && !isEndedByStop) {
    ++this->state.streamsBrokenDuringStop;
  }
  const auto& stop = this->state.stopSchedule;
  const std::int64_t timeBeforeStop =
    stop ? ToMilliseconds(stop->End() - aCall.arrivedAt).count() : -1;
  this->state.metrics.Count(std::string("requests_total{outcome=\"") +
                            WireName(aResult.outcome) + "\"}");
  this->state.metrics.Record("request_seconds", took);
  if (aResult.timeToFirstByte) {
    this->state.metrics.Record("request_first_byte_seconds", *aResult.timeToFirstByte);
  }
  const char* missedObjective = MissedObjective(*aCall.route, aResult);
  if (missedObjective != nullptr) {
    this->state.metrics.Count("requests_late_total{route=\"" + aCall.route->name +
                              "\",by=\"" + missedObjective + "\"}");
  }
  this->state.log.Write(
    aResult.outcome == CallOutcome::Answered ? LogWeight::Routine : LogWeight::Notable,
    "request_end",
    { { "request", aCall.facts.id.Value() },
      { "route", aCall.route->name },
      { "account", aCall.account.Value() },
      { "configuration", aCall.configuration->Version() },
      { "outcome", WireName(aResult.outcome) },
      { "status", static_cast<std::int64_t>(aResult.status) },
      { "reason", aResult.reason },
      { "attempts", static_cast<std::int64_t>(aResult.attempts) },
      { "destination", aResult.destination },
      { "prompt_tokens", aCall.facts.promptTokens },
      { "first_ms",
        aResult.timeToFirstByte ? ToMilliseconds(*aResult.timeToFirstByte).count() : -1 },
      { "pause_ms", ToMilliseconds(aResult.maxEventGap).count() },
      { "received_ms", ToMilliseconds(aCall.exchange.ReceiveTime()).count() },
      { "before_stop_ms", timeBeforeStop },
      { "took_ms", ToMilliseconds(took).count() } });
}

} // namespace toucanstand
