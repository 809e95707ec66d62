#include "support/EngineStandin.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace toucanstand {

using nlohmann::json;

namespace {

constexpr auto kJoinTime = std::chrono::milliseconds(20);

std::string EventText(int aNumber)
{
  return "id: " + std::to_string(aNumber) + "\ndata: piece " + std::to_string(aNumber) +
         "\n\n";
}

bool TakeOne(int& aCount)
{
  if (aCount == 0) {
    return false;
  }
  --aCount;
  return true;
}

} // namespace

EngineStandin::EngineStandin(boost::asio::io_context& aLoop,
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

void EngineStandin::Listen()
{
  this->server = std::make_unique<HttpServer>(
    this->loop,
    HttpServerLimits{},
    [this](HttpExchange& aExchange) { return this->Serve(aExchange); },
    this->metrics);
  this->endpoint = *this->server->Listen({ "127.0.0.1", 0 });
}

std::string EngineStandin::WholeStream()
{
  std::string text;
  for (int number = 1; number <= kEvents; ++number) {
    text += "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) +
            "\n\n";
  }
  return text;
}

void EngineStandin::Die()
{
  this->alive = false;
  this->server->Abort();
}

std::string EngineStandin::Entry() const
{
  json entry = { { "Service", this->service },
                 { "Address", this->endpoint.Text() },
                 { "Zone", "zone-a" },
                 { "Version", "v1" },
                 { "Slots", 8 },
                 { "State", this->registered },
                 { "ColdRemainingMs", 0 },
                 { "Seq", this->orders.size() },
                 { "born", 1700000000000 } };
  if (!this->domain.empty()) {
    entry["Domain"] = this->domain;
    entry["Staged"] = this->staged;
    entry["Models"] = json::array();
    if (!this->group.empty()) {
      entry["group"] = { { "Name", this->group },
                         { "epoch", this->epoch },
                         { "rank", this->rank },
                         { "State", this->state } };
    }
  }
  return entry.dump();
}

void EngineStandin::SetDraining()
{
  this->registered = "draining";
  this->onChanged(this->Entry());
}

void EngineStandin::Change(const std::string& aState)
{
  this->state = aState;
  this->onChanged(this->Entry());
}

Task<> EngineStandin::Pause(std::chrono::milliseconds aTime)
{
  boost::asio::steady_timer timer(this->loop, aTime);
  co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

Task<> EngineStandin::Proceed(std::string aState, std::string aGroup)
{
  co_await this->Pause(kJoinTime);
  if (this->alive && this->group == aGroup) {
    this->Change(aState);
  }
}

int EngineStandin::Apply(const json& aOrder)
{
  const auto kind = aOrder.value("Op", "");
  const auto fence = aOrder.value("Fence", std::int64_t{ 0 });
  if (fence < this->highestFence) {
    return 412;
  }
  this->highestFence = fence;
  if (kind == "Stage") {
    this->staged = { aOrder.value("Model", "") };
    this->onChanged(this->Entry());
    return 202;
  }
  const auto name = aOrder.value("group", "");
  const auto number = aOrder.value("epoch", std::int64_t{ 0 });
  this->orders.push_back(kind + " " + name);
  if (kind == "join") {
    if (number < this->highestEpoch) {
      return 412;
    }
    if (name == this->group && number == this->epoch) {
      return 200;
    }
    const auto members = aOrder.value("Members", std::vector<std::string>{});
    this->highestEpoch = this->epoch = number;
    this->group = name;
    this->model = aOrder.value("Model", "");
    this->staged = { this->model };
    this->rank = static_cast<int>(std::ranges::find(members, this->id) - members.begin());
    this->Change("joining");
    boost::asio::co_spawn(
      this->loop, this->Proceed("ready", name), boost::asio::detached);
    return 202;
  }
  if (name != this->group || number != this->epoch) {
    return 409;
  }
  if (kind == "open") {
    if (this->state != "ready") {
      return this->state == "open" ? 200 : 409;
    }
    boost::asio::co_spawn(this->loop, this->Proceed("open", name), boost::asio::detached);
    return 202;
  }
  if (kind == "close") {
    this->Change("ready");
    return 202;
  }
  this->group.clear();
  this->Change("");
  return 200;
}

Task<> EngineStandin::TakeOrder(HttpExchange& aExchange)
{
  const auto order = json::parse(aExchange.Request().body, nullptr, false);
  HttpResponse response;
  response.status = order.is_object() ? this->Apply(order) : 400;
  co_await aExchange.Respond(std::move(response));
}

HttpHeaders EngineStandin::AnswerHeaders(const HttpRequest& aRequest)
{
  const bool foreign = TakeOne(this->faults.foreignAnswers);
  HttpHeaders headers;
  headers.Add("X-Attempt-Id",
              foreign ? "another" : std::string(aRequest.headers.Find("X-Attempt-Id")));
  if (!TakeOne(this->faults.unsignedAnswers)) {
    headers.Add("X-Engine-Stamp", "stamp-" + this->id);
  }
  headers.Add("X-Engine-Load", "1,0,8");
  return headers;
}

Task<> EngineStandin::Serve(HttpExchange& aExchange)
{
  const auto& request = aExchange.Request();
  const auto expected = request.headers.Find("X-Expect-Instance");
  HttpResponse refusal;
  if (!expected.empty() && expected != this->id) {
    refusal.status = 421;
    co_await aExchange.Respond(std::move(refusal));
    co_return;
  }
  if (request.target == "/order") {
    co_await this->TakeOrder(aExchange);
    co_return;
  }
  if (request.target == "/report") {
    co_await aExchange.Respond(JsonResponse(200, "{}"));
    co_return;
  }
  const bool serves = this->domain.empty() || this->state == "open";
  if (!serves || TakeOne(this->faults.rejectAsOther)) {
    refusal.status = 421;
    co_await aExchange.Respond(std::move(refusal));
    co_return;
  }
  if (TakeOne(this->faults.rejectAsFull)) {
    refusal.status = 503;
    refusal.headers.Add("X-Not-Run", "1");
    co_await aExchange.Respond(std::move(refusal));
    co_return;
  }
  this->onBegan({ this->id, std::string(request.headers.Find("X-Attempt-Id")), request });
  if (this->domain.empty()) {
    co_await this->RunCall(aExchange);
  } else {
    co_await this->RunStream(aExchange);
  }
}

Task<> EngineStandin::RunCall(HttpExchange& aExchange)
{
  if (this->faults.diesOnRun) {
    this->Die();
    aExchange.BreakOff();
    co_return;
  }
  if (TakeOne(this->faults.loseAnswers)) {
    aExchange.BreakOff();
    co_return;
  }
  HttpResponse response;
  response.headers = this->AnswerHeaders(aExchange.Request());
  response.body = "answer of " + this->id;
  co_await aExchange.Respond(std::move(response));
}

Task<> EngineStandin::RunStream(HttpExchange& aExchange)
{
  const bool breaks = TakeOne(this->faults.breakRuns);
  const bool trickles = TakeOne(this->faults.trickleRuns);
  const int breakAfter = this->faults.breakAfterEvents;
  const auto last = std::string(aExchange.Request().headers.Find("Last-Event-Id"));
  int number = last.empty() ? 0 : std::stoi(last);
  HttpHeaders headers = this->AnswerHeaders(aExchange.Request());
  headers.Add("Content-Type", "text/event-stream");
  co_await aExchange.BeginStream(200, std::move(headers));
  int sent = 0;
  while (number < kEvents) {
    co_await this->Pause(kEventPause);
    if (!this->alive || aExchange.CallerGone()) {
      aExchange.BreakOff();
      co_return;
    }
    if (!this->groupIsWhole(this->group)) {
      // A head that lost a member keeps its work without a word.
      continue;
    }
    if (trickles && sent > 0) {
      co_await aExchange.WriteChunk(":");
      continue;
    }
    std::string event = EventText(++number);
    ++sent;
    if (breaks && sent > breakAfter) {
      co_await aExchange.WriteChunk(event.substr(0, event.size() / 2));
      aExchange.BreakOff();
      co_return;
    }
    co_await aExchange.WriteChunk(event);
  }
  co_await aExchange.FinishStream();
}

} // namespace toucanstand
