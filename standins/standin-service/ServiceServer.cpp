#include "ServiceServer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include "serialization/BoundedJson.h"

namespace toucanstand {

namespace asio = boost::asio;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

} // namespace

ServiceServer::Waiter::Waiter(asio::io_context& aLoop)
  : change(aLoop, asio::steady_timer::time_point::max())
{
}

ServiceServer::ServiceServer(asio::io_context& aLoop,
                             MetricsRegistry& aMetrics,
                             ServiceSettings aSettings,
                             HttpServer::Handler aControl)
  : loop(aLoop)
  , control(std::move(aControl))
  , model(std::move(aSettings))
  , modelTimer(aLoop, [this] { this->Pump(); })
  , server(aLoop, aMetrics, [this](HttpExchange& aExchange) {
    return this->Serve(aExchange);
  })
{
}

Result<Endpoint, ListenFailure> ServiceServer::Listen(const Endpoint& aEndpoint)
{
  return this->server.Listen(aEndpoint);
}

void ServiceServer::Die()
{
  this->model.Crash();
  for (const auto& [run, waiter] : std::exchange(this->waiters, {})) {
    waiter->change.cancel();
  }
  this->modelTimer.Arm(std::nullopt);
  this->server.Die(std::nullopt);
}

void ServiceServer::Restart()
{
  this->server.Restart();
}

void ServiceServer::SilenceOpen()
{
  this->server.SilenceOpen();
}

nlohmann::json ServiceServer::Log() const
{
  return this->model.Log();
}

Task<> ServiceServer::Serve(HttpExchange& aExchange)
{
  const auto& request = aExchange.Request();
  if (request.method == "GET" && request.target == "/state") {
    const auto state = this->model.State(BootClock::now());
    co_await aExchange.Respond(JsonResponse(200, EncodeJson(state)));
  } else if (request.target == "/log" || request.target == "/fault") {
    co_await this->control(aExchange);
  } else {
    co_await this->ServeRun(aExchange);
  }
}

Task<> ServiceServer::ServeRun(HttpExchange& aExchange)
{
  const auto& request = aExchange.Request();
  const auto silenceSerial = this->server.SilenceSerial();
  ServiceRequest call;
  call.id = request.headers.Find("Request-Id");
  call.idempotencyKey = request.headers.Find("Idempotency-Key");
  call.method = request.method;
  call.path = request.target;
  call.body = request.body;
  const auto run = this->model.Submit(std::move(call), BootClock::now());
  if (!run) {
    const bool refused = this->model.Faults().refuse;
    auto response = ErrorResponse(
      refused ? 503 : 429, refused ? "refused" : "queue_full", "the call has not run");
    response.headers.Add("Not-Run", "true");
    co_await aExchange.Respond(std::move(response));
    co_return;
  }
  const auto waiter = std::make_shared<Waiter>(this->loop);
  this->waiters[*run] = waiter;
  this->Pump();
  // Services finish what they have begun, also when the caller has gone.
  if (!waiter->completion && this->waiters.contains(*run)) {
    co_await waiter->change.async_wait(kAwait);
  }
  if (!waiter->completion || !waiter->completion->reply) {
    aExchange.BreakOff();
  } else if (this->server.SilenceSerial() != silenceSerial) {
    co_await this->server.Stall(aExchange);
  } else {
    co_await aExchange.Respond(JsonResponse(200, waiter->completion->answer));
  }
}

void ServiceServer::Pump()
{
  for (auto& completion : this->model.Advance(BootClock::now())) {
    const auto found = this->waiters.find(completion.run);
    if (found == this->waiters.end()) {
      continue;
    }
    found->second->completion = std::move(completion);
    found->second->change.cancel();
    this->waiters.erase(found);
  }
  this->modelTimer.Arm(this->model.NextEvent());
}

} // namespace toucanstand
