#include "support/BackendServerStandin.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace toucanstand {

using nlohmann::json;

namespace {

constexpr auto kStateChangeDelay = std::chrono::milliseconds(20);

std::string EventText(int aNumber, std::size_t aPadding)
{
  return "id: " + std::to_string(aNumber) + "\ndata: piece " + std::to_string(aNumber) +
         std::string(aPadding, '.') + "\n\n";
}

/// Uploads are as large as a test lets the configuration allow.
constexpr std::size_t kMaxBodyBytes = 16U << 20U;

/// Decrements the count. Returns false when it is already zero.
bool ConsumeFault(int& aCount)
{
  if (aCount == 0) {
    return false;
  }
  --aCount;
  return true;
}

} // namespace

BackendServerStandin::BackendServerStandin(boost::asio::io_context& aLoop,
                                           MetricsRegistry& aMetrics,
                                           std::string aId,
                                           std::string aService,
                                           std::string aDomain)
  : loop(aLoop)
  , metrics(aMetrics)
  , id(std::move(aId))
  , service(std::move(aService))
  , domain(std::move(aDomain))
{
}

void BackendServerStandin::Listen()
{
  HttpServerLimits limits;
  limits.bodyBytes = kMaxBodyBytes;
  this->server = std::make_unique<HttpServer>(
    this->loop,
    limits,
    [this](HttpExchange& aExchange) { return this->HandleRequest(aExchange); },
    this->metrics);
  this->endpoint = *this->server->Listen({ "127.0.0.1", this->endpoint.port });
  this->reservedPort.reset();
}

void BackendServerStandin::RefuseConnections()
{
  using boost::asio::ip::tcp;
  this->server->Abort();
  this->reservedPort.emplace(this->loop, tcp::v4());
  this->reservedPort->set_option(tcp::socket::reuse_address(true));
  this->reservedPort->bind(
    { boost::asio::ip::address_v4::loopback(), this->endpoint.port });
}

std::string BackendServerStandin::CompleteStream(int aEvents, std::size_t aPadding)
{
  std::string text;
  for (int number = 1; number <= aEvents; ++number) {
    text += EventText(number, aPadding);
  }
  return text;
}

void BackendServerStandin::Crash()
{
  this->alive = false;
  this->server->Abort();
}

void BackendServerStandin::PutBehindFront()
{
  this->front = std::make_unique<ConnectionFront>(this->loop, this->endpoint);
  this->advertised = this->front->Address();
  this->onRegistrationChanged(this->RegistrationText());
}

void BackendServerStandin::Place(const std::string& aZone)
{
  this->zone = aZone;
  this->domain = this->domain.empty() ? "" : "domain-of-" + aZone;
  this->onRegistrationChanged(this->RegistrationText());
}

std::string BackendServerStandin::RegistrationText() const
{
  json entry = { { "Service", this->service },
                 { "Address", this->advertised.value_or(this->endpoint).Text() },
                 { "Zone", this->zone },
                 { "Version", "v1" },
                 { "Slots", 8 },
                 { "State", this->registrationState },
                 { "ColdRemainingMs", this->coldRemaining.count() },
                 { "Seq", this->receivedOrders.size() + this->coldChanges },
                 { "born", this->startedAtUnixMs } };
  if (!this->domain.empty()) {
    entry["Domain"] = this->domain;
    entry["Staged"] = this->stagedModels;
    entry["Models"] = json::array();
    if (!this->group.empty()) {
      entry["group"] = { { "Name", this->group },
                         { "epoch", this->epoch },
                         { "rank", this->rank },
                         { "State", this->groupState } };
    }
  }
  return entry.dump();
}

void BackendServerStandin::Advertise(const Endpoint& aEndpoint)
{
  this->advertised = aEndpoint;
  this->onRegistrationChanged(this->RegistrationText());
}

void BackendServerStandin::SetDraining()
{
  this->registrationState = "draining";
  this->onRegistrationChanged(this->RegistrationText());
}

void BackendServerStandin::SetCold(std::chrono::milliseconds aRemaining)
{
  this->coldRemaining = aRemaining;
  ++this->coldChanges;
  this->onRegistrationChanged(this->RegistrationText());
}

void BackendServerStandin::RegisterAnotherRun()
{
  ++this->startedAtUnixMs;
  this->onRegistrationChanged(this->RegistrationText());
}

void BackendServerStandin::BeginNewRun()
{
  ++this->startedAtUnixMs;
  this->faults = {};
  this->registrationState = "ready";
  this->group.clear();
  this->SetGroupState("");
}

void BackendServerStandin::SetGroupState(const std::string& aState)
{
  this->groupState = aState;
  this->onRegistrationChanged(this->RegistrationText());
}

Task<> BackendServerStandin::Sleep(std::chrono::milliseconds aDuration)
{
  boost::asio::steady_timer timer(this->loop, aDuration);
  co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

Task<> BackendServerStandin::SleepUntil(std::chrono::steady_clock::time_point aTime)
{
  boost::asio::steady_timer timer(this->loop, aTime);
  co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

Task<> BackendServerStandin::SetGroupStateAfterDelay(std::string aState,
                                                     std::string aGroup)
{
  co_await this->Sleep(kStateChangeDelay);
  if (this->alive && this->group == aGroup) {
    this->SetGroupState(aState);
  }
}

int BackendServerStandin::ApplyOrder(const json& aOrder)
{
  const auto kind = aOrder.value("Op", "");
  const auto fence = aOrder.value("Fence", std::int64_t{ 0 });
  if (fence < this->highestFence) {
    return 412;
  }
  this->highestFence = fence;
  if (kind == "Stage") {
    this->stagedModels = { aOrder.value("Model", "") };
    this->onRegistrationChanged(this->RegistrationText());
    return 202;
  }
  const auto groupName = aOrder.value("group", "");
  const auto orderedEpoch = aOrder.value("epoch", std::int64_t{ 0 });
  this->receivedOrders.push_back(kind + " " + groupName);
  if (kind == "join") {
    if (orderedEpoch < this->highestEpoch) {
      return 412;
    }
    if (groupName == this->group && orderedEpoch == this->epoch) {
      return 200;
    }
    this->joinsWhileOpen += this->groupState == "open" && this->rank == 0 ? 1 : 0;
    const auto members = aOrder.value("Members", std::vector<std::string>{});
    this->highestEpoch = this->epoch = orderedEpoch;
    this->group = groupName;
    this->model = aOrder.value("Model", "");
    this->stagedModels = { this->model };
    this->rank = static_cast<int>(std::ranges::find(members, this->id) - members.begin());
    this->SetGroupState("joining");
    boost::asio::co_spawn(this->loop,
                          this->SetGroupStateAfterDelay("ready", groupName),
                          boost::asio::detached);
    return 202;
  }
  if (groupName != this->group || orderedEpoch != this->epoch) {
    return 409;
  }
  if (kind == "open") {
    if (this->groupState != "ready") {
      return this->groupState == "open" ? 200 : 409;
    }
    boost::asio::co_spawn(this->loop,
                          this->SetGroupStateAfterDelay("open", groupName),
                          boost::asio::detached);
    return 202;
  }
  if (kind == "close") {
    this->SetGroupState(this->openStreams == 0 ? "ready" : "closing");
    return 202;
  }
  this->group.clear();
  this->SetGroupState("");
  return 200;
}

Task<> BackendServerStandin::HandleOrder(HttpExchange& aExchange)
{
  const auto order = json::parse(aExchange.Request().body, nullptr, false);
  if (order.is_object() && this->leavesUnanswered && this->leavesUnanswered(order)) {
    co_await this->LeaveUnanswered(aExchange, order);
    co_return;
  }
  HttpResponse response;
  response.status = order.is_object() ? this->ApplyOrder(order) : 400;
  this->AddStatements(response.headers);
  co_await aExchange.Respond(std::move(response));
}

Task<> BackendServerStandin::LeaveUnanswered(HttpExchange& aExchange, json aOrder)
{
  this->unansweredOrders.push_back(std::move(aOrder));
  while (!aExchange.CallerGone()) {
    co_await this->Sleep(kStateChangeDelay);
  }
  aExchange.BreakOff();
}

int BackendServerStandin::CarryOutLate(const std::string& aKind)
{
  const auto order =
    std::ranges::find_if(this->unansweredOrders, [&aKind](const json& aOrder) {
      return aOrder.value("Op", "") == aKind;
    });
  return order == this->unansweredOrders.end() ? 0 : this->ApplyOrder(*order);
}

HttpHeaders BackendServerStandin::ResponseHeaders(const HttpRequest& aRequest)
{
  const bool isMismatched = ConsumeFault(this->faults.mismatchedResponses);
  const bool isUnsigned = ConsumeFault(this->faults.unsignedResponses);
  const std::string attemptId(aRequest.headers.Find("X-Attempt-Id"));
  if (isMismatched || isUnsigned) {
    this->onRunFailed(attemptId);
  }
  HttpHeaders headers;
  headers.Add("X-Attempt-Id", isMismatched ? "another" : attemptId);
  if (!isUnsigned) {
    headers.Add("X-Engine-Stamp", "stamp-" + this->id);
  }
  headers.Add("X-Engine-Load", "1,0,8");
  if (!this->faults.statedLimit.empty()) {
    headers.Add("Server-Limit", this->faults.statedLimit);
  }
  this->AddStatements(headers);
  return headers;
}

void BackendServerStandin::AddStatements(HttpHeaders& aHeaders) const
{
  if (!this->faults.statedLeaving.empty()) {
    aHeaders.Add("Server-Leaving", this->faults.statedLeaving);
  }
}

void BackendServerStandin::OnStreamEnded()
{
  --this->openStreams;
  if (this->openStreams == 0 && this->groupState == "closing") {
    this->SetGroupState("ready");
  }
}

void BackendServerStandin::NoteRunFailed(const HttpExchange& aExchange)
{
  this->onRunFailed(std::string(aExchange.Request().headers.Find("X-Attempt-Id")));
}

Task<> BackendServerStandin::HandleRequest(HttpExchange& aExchange)
{
  const auto& request = aExchange.Request();
  const auto expected = request.headers.Find("X-Expect-Instance");
  this->arrivals.push_back(std::chrono::steady_clock::now());
  HttpResponse rejection;
  if (!expected.empty() && expected != this->id) {
    rejection.status = 421;
    co_await aExchange.Respond(std::move(rejection));
    co_return;
  }
  if (request.target == "/order") {
    co_await this->HandleOrder(aExchange);
    co_return;
  }
  if (request.target == "/report") {
    co_await this->Sleep(this->faults.reportDelay);
    HttpResponse report = JsonResponse(this->faults.reportStatus, "{}");
    this->AddStatements(report.headers);
    co_await aExchange.Respond(std::move(report));
    co_return;
  }
  const bool isServing = this->domain.empty() || this->groupState == "open";
  const auto resumedStreams = request.headers.Find("Last-Event-Id").empty()
                                ? ResumedStreams::Continue
                                : this->faults.resumedStreams;
  if (!isServing || resumedStreams == ResumedStreams::RejectAsWrongServer ||
      ConsumeFault(this->faults.rejectAsWrongServer)) {
    rejection.status = 421;
    co_await aExchange.Respond(std::move(rejection));
    co_return;
  }
  if (!this->faults.retryAfter.empty() || !this->faults.retryAfters.empty()) {
    co_await this->RejectWithRetryAfter(aExchange);
    co_return;
  }
  const bool isFull = this->slots > 0 && this->openStreams >= this->slots;
  if (isFull || resumedStreams == ResumedStreams::RejectAsFull ||
      ConsumeFault(this->faults.rejectAsOverloaded)) {
    co_await this->Sleep(this->faults.rejectionDelay);
    rejection.status = 503;
    rejection.headers.Add("X-Not-Run", "1");
    this->AddStatements(rejection.headers);
    co_await aExchange.Respond(std::move(rejection));
    co_return;
  }
  this->onRunStarted({ this->id,
                       std::string(request.headers.Find("X-Attempt-Id")),
                       request,
                       std::chrono::steady_clock::now() });
  if (this->domain.empty()) {
    co_await this->RespondToCall(aExchange);
  } else {
    ++this->openStreams;
    co_await this->StreamEvents(aExchange);
    this->OnStreamEnded();
  }
}

Task<> BackendServerStandin::RejectWithRetryAfter(HttpExchange& aExchange)
{
  auto retryAfter = this->faults.retryAfter;
  if (!this->faults.retryAfters.empty()) {
    retryAfter = this->faults.retryAfters.front();
    this->faults.retryAfters.pop_front();
  }
  co_await this->Sleep(this->faults.rejectionDelay);
  HttpResponse rejection;
  rejection.status = 503;
  rejection.headers.Add("X-Not-Run", "1");
  rejection.headers.Add("Retry-After", retryAfter);
  this->AddStatements(rejection.headers);
  co_await aExchange.Respond(std::move(rejection));
}

Task<> BackendServerStandin::RespondToCall(HttpExchange& aExchange)
{
  if (this->faults.crashOnRequest) {
    this->Crash();
    aExchange.BreakOff();
    co_return;
  }
  if (ConsumeFault(this->faults.dropResponses)) {
    this->NoteRunFailed(aExchange);
    aExchange.BreakOff();
    co_return;
  }
  HttpResponse response;
  response.status = this->answerStatus;
  if (this->answerDelay.count() > 0) {
    co_await this->Sleep(this->answerDelay);
  }
  response.headers = this->ResponseHeaders(aExchange.Request());
  response.body = "answer of " + this->id;
  co_await aExchange.Respond(std::move(response));
}

Task<> BackendServerStandin::StreamEvents(HttpExchange& aExchange)
{
  const bool isAborted = ConsumeFault(this->faults.abortStreams);
  const bool isStalled = ConsumeFault(this->faults.stallStreams);
  const bool isFlooded = ConsumeFault(this->faults.floodStreams);
  const int eventsBeforeAbort = this->faults.abortAfterEvents;
  const std::string attemptId(aExchange.Request().headers.Find("X-Attempt-Id"));
  const int events =
    this->eventCountOf ? this->eventCountOf(attemptId) : this->eventCount;
  const auto lastEventId = std::string(aExchange.Request().headers.Find("Last-Event-Id"));
  int number = lastEventId.empty() ? 0 : std::stoi(lastEventId);
  co_await this->Sleep(this->pauseBeforeStream);
  HttpHeaders headers = this->ResponseHeaders(aExchange.Request());
  headers.Add("Content-Type", "text/event-stream");
  co_await aExchange.BeginStream(200, std::move(headers));
  const auto resumedStreams =
    lastEventId.empty() ? ResumedStreams::Continue : this->faults.resumedStreams;
  if (resumedStreams == ResumedStreams::BreakOffAfterComment) {
    co_await aExchange.WriteChunk(": wait\n\n");
  }
  if (resumedStreams == ResumedStreams::BreakOff ||
      resumedStreams == ResumedStreams::BreakOffAfterComment) {
    this->NoteRunFailed(aExchange);
    aExchange.BreakOff();
    co_return;
  }
  const auto promptParts = aExchange.Request().headers.Find("X-Prompt-Prefix");
  const auto& crashingPart = this->faults.crashingPromptPart;
  if (!crashingPart.empty() && promptParts.find(crashingPart) != std::string::npos) {
    co_await this->Sleep(kEventInterval);
    this->Crash();
    aExchange.BreakOff();
    co_return;
  }
  int eventsSent = 0;
  auto due = std::chrono::steady_clock::now();
  while (number < events) {
    // Timers that fire late on a busy machine do not add up.
    due = std::max(due + this->eventInterval, std::chrono::steady_clock::now());
    co_await this->SleepUntil(due);
    if (eventsSent == events / 2 && this->pauseInStream.count() > 0) {
      co_await this->Sleep(this->pauseInStream);
    }
    while (std::chrono::steady_clock::now() < this->silentUntil && this->alive &&
           !aExchange.CallerGone()) {
      co_await this->Sleep(this->eventInterval);
    }
    if (!this->alive || aExchange.CallerGone()) {
      if (!this->alive) {
        this->NoteRunFailed(aExchange);
      }
      aExchange.BreakOff();
      co_return;
    }
    if (!this->isGroupComplete(this->group)) {
      // A head that has lost a group member stalls: it keeps the connection open and
      // sends no more events.
      this->NoteRunFailed(aExchange);
      continue;
    }
    if (isFlooded && eventsSent > 0) {
      static const std::string kComments(4096, ':');
      while (!aExchange.CallerGone() &&
             co_await aExchange.WriteChunk(kComments + "\n\n")) {
      }
      co_return;
    }
    if (isStalled && eventsSent > 0) {
      co_await aExchange.WriteChunk(":");
      continue;
    }
    std::string event = EventText(++number, this->eventPadding);
    ++eventsSent;
    if (isAborted && eventsSent > eventsBeforeAbort) {
      this->NoteRunFailed(aExchange);
      co_await aExchange.WriteChunk(event.substr(0, event.size() / 2));
      aExchange.BreakOff();
      co_return;
    }
    co_await aExchange.WriteChunk(event);
    if (eventsSent == this->faults.crashAfterEvents) {
      this->Crash();
      aExchange.BreakOff();
      co_return;
    }
  }
  if (this->onLastEvent) {
    this->onLastEvent(attemptId);
  }
  co_await aExchange.FinishStream();
}

} // namespace toucanstand
