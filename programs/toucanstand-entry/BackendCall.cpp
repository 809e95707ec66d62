#include "BackendCall.h"

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <nlohmann/json.hpp>

#include "attempts/AttemptClassification.h"
#include "crashes/HomeServers.h"
#include "serialization/BoundedJson.h"

namespace toucanstand {

namespace {

/// When a caller should come back that found no server: about the time after which a
/// repaired group gets its permission.
constexpr Duration kNoServerRetryAfter = std::chrono::seconds(1);
/// Between two questions to the arbiter.
constexpr Duration kAskPause = std::chrono::milliseconds(50);
/// Between two probes of a server. One whose process is ending accepts connections for a
/// moment and refuses them then.
constexpr Duration kProbePause = std::chrono::milliseconds(100);
constexpr std::size_t kMaxProbes = 4;
constexpr std::size_t kMostStateBytes = 1U << 20U;

/// True unless a server's state shows that it left the candidate's group: an engine that
/// crashed and restarted before the probe reports none.
bool ReportsGroup(const std::string& aBody, const Candidate& aCandidate)
{
  if (aCandidate.generation == 0) {
    return true;
  }
  const auto state = DecodeJson(aBody);
  // Compared as JSON, so that a value of another type is unequal instead of an exception.
  return state && state->is_object() && state->contains("generation") &&
         state->contains("group") && state->at("group") == aCandidate.id &&
         state->at("generation") == aCandidate.generation;
}

/// True if the server may have crashed or not: nothing answered and nothing refused.
bool IsOpen(ProbeOutcome aOutcome)
{
  return aOutcome == ProbeOutcome::Broken || aOutcome == ProbeOutcome::Silent;
}

} // namespace

BackendCall::BackendCall(EntryContext& aContext, CallState& aState)
  : context(aContext)
  , state(aState)
  , tracker(aState.request.contract.repeatability,
            aState.request.account.id,
            aState.request.contract.pool,
            aState.request.deadline,
            aContext.budget)
{
}

Task<CallEnd> BackendCall::Run()
{
  while (true) {
    auto choice = co_await this->Choose();
    if (auto* end = std::get_if<CallEnd>(&choice)) {
      co_return std::move(*end);
    }
    const Candidate candidate = std::get<Candidate>(choice);
    const auto sentAt = BootClock::now();
    const auto number = this->tracker.OnAttemptStarted(candidate.id);
    this->context.metrics.Count(number == 1 ? "attempts_first_total"
                                            : "attempts_retry_total");
    this->context.RouterFor(candidate.pool)
      .OnSent(candidate.id, sentAt, this->state.request.workClass);
    this->context.quarantine.OnSent(
      this->state.request.id, this->state.request.fingerprint, candidate.server);
    this->state.sent = true;
    this->serverCrashed = false;

    auto result = co_await this->Attempt(candidate, number);
    if (auto* end = std::get_if<CallEnd>(&result)) {
      this->NoteEnd(candidate, std::nullopt, sentAt);
      co_return std::move(*end);
    }
    const auto failure = std::get<AttemptFailure>(result);
    this->NoteEnd(candidate, failure, sentAt);
    if (failure == AttemptFailure::RefusedAsNotRun) {
      this->declined.push_back(candidate.server);
    }
    this->context.metrics.Count(std::string("attempt_failures_total{reason=\"") +
                                Name(failure) + "\"}");
    const auto step = this->tracker.OnFailure(failure, candidate.id, BootClock::now());
    if (step.kind == RetryAction::GiveUp) {
      co_return this->GiveUp(step, failure);
    }
  }
}

Task<AttemptFailure> BackendCall::Judge(HttpFailure aFailure, const Candidate& aCandidate)
{
  auto& quarantine = this->context.quarantine;
  if (aFailure == HttpFailure::Cancelled) {
    co_return this->FailureOfCancellation();
  }
  if (NothingWasSent(aFailure)) {
    quarantine.OnServerLost(aCandidate.server, BootClock::now());
    co_return ToAttemptFailure(aFailure);
  }
  const bool wasSilent =
    aFailure == HttpFailure::HeadTimedOut || aFailure == HttpFailure::BodyTimedOut;
  const auto probed = co_await this->ProbeServer(aCandidate);
  this->context.client.DropIdle(aCandidate.endpoint);
  if (probed == ProbeOutcome::Answered) {
    co_return wasSilent ? AttemptFailure::SilentConnection : ToAttemptFailure(aFailure);
  }
  // A server that only stays silent, or answers with an error, may just be busy.
  const bool hasCrashed =
    probed == ProbeOutcome::Refused || probed == ProbeOutcome::OtherServer;
  if (!wasSilent && hasCrashed) {
    this->serverCrashed = true;
    quarantine.OnServerCrashed(aCandidate.server, BootClock::now());
    this->context.suspects.Publish(quarantine, BootClock::now());
  }
  co_return ToAttemptFailure(aFailure);
}

AttemptFailure BackendCall::FailureOfCancellation() const
{
  switch (this->state.cancelReason) {
    case CancelReason::DeadlinePassed:
      return AttemptFailure::NoAnswerBeforeDeadline;
    case CancelReason::Stopping:
      return AttemptFailure::Stopping;
    default:
      return AttemptFailure::CallerLeft;
  }
}

bool BackendCall::StatesNotRun(int aStatus, const HttpHeaders& aHeaders) const
{
  const auto& statuses = this->state.request.contract.notRunStatuses;
  return aHeaders.Find("Not-Run") == "true" ||
         std::ranges::find(statuses, aStatus) != statuses.end();
}

HttpDeadlines BackendCall::Deadlines() const
{
  HttpDeadlines deadlines;
  deadlines.connect = this->context.settings.connectTimeout;
  deadlines.head = this->context.settings.progress.firstEvent;
  deadlines.progress = this->context.settings.progress.betweenEvents;
  return deadlines;
}

ConnectionUse BackendCall::Connections() const
{
  return this->state.request.contract.repeatability == Repeatability::OnlyOnce
           ? ConnectionUse::Fresh
           : ConnectionUse::MayReuse;
}

Task<std::variant<Candidate, CallEnd>> BackendCall::Choose()
{
  while (this->state.cancelReason == CancelReason::None) {
    const auto now = BootClock::now();
    const auto& request = this->state.request;
    std::vector<ServerId> servers;
    for (const auto* candidate :
         this->context.UsableCandidates(request.contract.pool, now)) {
      if (std::ranges::find(this->declined, candidate->server) == this->declined.end()) {
        servers.push_back(candidate->server);
      }
    }
    if (!request.isChat) {
      co_return this->ChooseAmong(servers, now);
    }
    const auto placement = this->context.quarantine.Place(
      request.fingerprint, servers, now, request.conversation);
    switch (placement.kind) {
      case PlacementKind::Run:
        co_return this->ChooseAmong(placement.servers, now);
      case PlacementKind::RunAlone:
        if (this->granted == placement.servers.front()) {
          co_return this->ChooseAmong(placement.servers, now);
        }
        if (auto end = co_await this->AskToRunAlone(placement.servers.front())) {
          co_return std::move(*end);
        }
        break;
      case PlacementKind::Wait:
        co_await this->Pause(placement.retryAt - now);
        break;
      case PlacementKind::Reject:
        co_return this->NoServer();
    }
  }
  co_return this->GiveUp(RetryDecision{}, AttemptFailure::CallerLeft);
}

Task<std::optional<CallEnd>> BackendCall::AskToRunAlone(const ServerId& aServer)
{
  const auto& request = this->state.request;
  const auto now = BootClock::now();
  const auto known = this->context.quarantine.DeltaFor(request.fingerprint, now);
  const Endpoint arbiter = this->ArbiterEndpoint();
  const auto grant = co_await this->context.suspects.Ask(
    request.id, known, aServer, request.deadline - now, arbiter);
  switch (grant) {
    case RunGrant::Granted:
      this->granted = aServer;
      break;
    case RunGrant::Quarantined:
      co_return this->NoServer();
    case RunGrant::Wait:
    case RunGrant::Clear:
      co_await this->Pause(kAskPause);
      break;
  }
  co_return std::nullopt;
}

Task<> BackendCall::Pause(Duration aDuration)
{
  boost::asio::steady_timer timer(this->context.loop);
  timer.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(
    std::max(aDuration, Duration(std::chrono::milliseconds(1)))));
  this->state.cancel.Arm([&timer] { timer.cancel(); });
  co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
  this->state.cancel.Disarm();
}

Task<ProbeOutcome> BackendCall::ProbeServer(Candidate aCandidate)
{
  const auto end = BootClock::now() + this->context.settings.progress.probe;
  auto outcome = ProbeOutcome::Silent;
  for (std::size_t number = 1; number <= kMaxProbes; ++number) {
    outcome = co_await this->ProbeOnce(aCandidate, end - BootClock::now());
    this->context.metrics.Count(std::string("probes_total{outcome=\"") + Name(outcome) +
                                "\"}");
    if (!IsOpen(outcome) || BootClock::now() + kProbePause >= end) {
      break;
    }
    co_await this->Pause(kProbePause);
  }
  co_return outcome;
}

Task<ProbeOutcome> BackendCall::ProbeOnce(Candidate aCandidate, Duration aTimeout)
{
  HttpRequest request;
  request.target = "/state";
  HttpDeadlines deadlines;
  deadlines.connect = aTimeout;
  deadlines.head = aTimeout;
  deadlines.progress = aTimeout;
  CancelSwitch never;
  auto opened = co_await this->context.client.Open(
    aCandidate.endpoint, std::move(request), deadlines, ConnectionUse::Fresh, never);
  if (!opened) {
    co_return ToProbeOutcome(opened.LastReason());
  }
  if ((*opened)->Status() != 200) {
    co_return ProbeOutcome::OtherAnswer;
  }
  std::string body;
  while (true) {
    auto piece = co_await (*opened)->Read(never);
    if (!piece || body.size() > kMostStateBytes) {
      co_return ProbeOutcome::OtherAnswer;
    }
    if (piece->empty()) {
      break;
    }
    body += *piece;
  }
  co_return ReportsGroup(body, aCandidate) ? ProbeOutcome::Answered
                                           : ProbeOutcome::OtherServer;
}

std::variant<Candidate, CallEnd> BackendCall::ChooseAmong(
  const std::vector<ServerId>& aServers,
  TimePoint aNow)
{
  const auto& request = this->state.request;
  RouteQuery query;
  query.pool = request.contract.pool;
  query.workClass = request.workClass;
  query.prefix = request.prefix;
  query.excluded = this->tracker.TriedCandidates();
  for (const auto* candidate :
       this->context.UsableCandidates(request.contract.pool, aNow)) {
    if (std::ranges::find(aServers, candidate->server) == aServers.end()) {
      query.excluded.push_back(candidate->id);
    }
  }
  auto chosen = this->context.RouterFor(request.contract.pool).Choose(query, aNow);
  if (!chosen) {
    this->context.metrics.Count(std::string("route_refusals_total{reason=\"") +
                                Name(chosen.LastReason()) + "\"}");
    return this->NoServer();
  }
  return std::move(*chosen);
}

void BackendCall::NoteEnd(const Candidate& aCandidate,
                          const std::optional<AttemptFailure>& aFailure,
                          TimePoint aSentAt)
{
  const auto now = BootClock::now();
  const auto& request = this->state.request;
  // A silence on a connection that is shared is not the server's.
  const auto end = aFailure ? ToRouteOutcome(*aFailure, RouteOutcome::DeadConnection)
                            : RouteOutcome::Answered;
  this->context.RouterFor(aCandidate.pool)
    .OnFinished(aCandidate.id, end, now - aSentAt, now, request.workClass);
  if (!this->serverCrashed) {
    this->context.quarantine.OnEnded(request.id, RunEndOf(aFailure), now);
  }
  if (this->granted) {
    this->context.suspects.ReportRunEnded(
      request.id,
      this->context.quarantine.DeltaFor(request.fingerprint, now),
      this->ArbiterEndpoint());
    this->granted.reset();
  }
  this->context.suspects.Publish(this->context.quarantine, now);
}

CallEnd BackendCall::GiveUp(const RetryDecision& aStep, AttemptFailure aFailure) const
{
  if (this->state.cancelReason == CancelReason::CallerLeft) {
    return MakeError(this->tracker.Outcome(), 499, "caller_left", "the caller left");
  }
  if (this->state.cancelReason == CancelReason::DeadlinePassed ||
      aStep.reason == GiveUpReason::DeadlinePassed) {
    return MakeError(
      this->tracker.Outcome(), 504, "deadline_passed", "no answer before the deadline");
  }
  if (this->state.cancelReason == CancelReason::Stopping) {
    return MakeStopEnd(this->tracker.Outcome());
  }
  if (aStep.outcome == CallOutcome::NotRun) {
    return MakeError(CallOutcome::NotRun,
                     503,
                     Name(aFailure),
                     "the backend servers did not take the request",
                     this->context.Spread(kNoServerRetryAfter));
  }
  return MakeError(aStep.outcome, 502, Name(aFailure), "the backend server failed");
}

CallEnd BackendCall::NoServer() const
{
  const auto& request = this->state.request;
  const auto outcome = this->tracker.Outcome();
  const auto level =
    this->context.quarantine.Level(request.fingerprint, BootClock::now());
  if (level == SuspicionLevel::Quarantined) {
    return MakeError(
      outcome, 422, "quarantined", "backend servers crashed while they ran this request");
  }
  if (outcome == CallOutcome::NotRun) {
    return MakeError(outcome,
                     503,
                     "no_server",
                     "no backend server can take the request now",
                     this->context.Spread(kNoServerRetryAfter));
  }
  return MakeError(outcome, 502, "no_server", "no other backend server can take over");
}

Endpoint BackendCall::ArbiterEndpoint() const
{
  std::vector<VmId> vms;
  std::ranges::transform(this->context.view.liveEntryVms,
                         std::back_inserter(vms),
                         [](const Vm& aVm) { return aVm.id; });
  const auto arbiter = ArbiterVm(vms);
  const auto found = std::ranges::find(
    this->context.view.liveEntryVms, arbiter, [](const Vm& aVm) { return aVm.id; });
  return found == this->context.view.liveEntryVms.end() ? this->context.settings.node
                                                        : found->nodeEndpoint;
}

} // namespace toucanstand
