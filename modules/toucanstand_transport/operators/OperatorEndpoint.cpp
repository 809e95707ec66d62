#include "operators/OperatorEndpoint.h"

#include <utility>

#include <nlohmann/json.hpp>
#include <unistd.h>

#include "serialization/BoundedJson.h"

namespace toucanstand {

namespace {

HttpResponse TextResponse(int aStatus, std::string aText)
{
  HttpResponse response;
  response.status = aStatus;
  response.headers.Add("Content-Type", "text/plain; version=0.0.4");
  response.body = std::move(aText);
  return response;
}

} // namespace

OperatorEndpoint::OperatorEndpoint(boost::asio::io_context& aLoop,
                                   std::string aProgram,
                                   MetricsRegistry& aMetrics,
                                   OperatorHooks aHooks)
  : program(std::move(aProgram))
  , metrics(aMetrics)
  , hooks(std::move(aHooks))
  , startedAt(BootClock::now())
  , server(
      aLoop,
      HttpServerLimits{},
      [this](HttpExchange& aExchange) { return this->Serve(aExchange); },
      aMetrics)
{
}

Result<Endpoint, ListenFailure> OperatorEndpoint::Listen(const Endpoint& aEndpoint)
{
  return this->server.Listen(aEndpoint);
}

Task<> OperatorEndpoint::Serve(HttpExchange& aExchange)
{
  const auto& request = aExchange.Request();
  if (request.method == "GET" && request.target == "/healthz") {
    co_await aExchange.Respond(TextResponse(200, "ok\n"));
    co_return;
  }
  if (request.method == "GET" && request.target == "/readyz") {
    const bool ready = this->hooks.isReady();
    // GCC 12 destroys both operands of a conditional inside a co_await expression.
    auto response = TextResponse(ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
    co_await aExchange.Respond(std::move(response));
    co_return;
  }
  if (request.method == "GET" && request.target == "/metrics") {
    co_await aExchange.Respond(TextResponse(200, this->metrics.RenderText()));
    co_return;
  }
  if (request.method == "GET" && request.target == "/state") {
    co_await this->ServeState(aExchange);
    co_return;
  }
  if (request.method == "POST" && request.target == "/drain") {
    co_await aExchange.Respond(JsonResponse(202, R"({"draining":true})"));
    this->hooks.drain();
    co_return;
  }
  if (this->hooks.more && co_await this->hooks.more(aExchange)) {
    co_return;
  }
  co_await aExchange.Respond(
    ErrorResponse(404, "unknown_path", "known: /healthz /readyz /metrics /state /drain"));
}

Task<> OperatorEndpoint::ServeState(HttpExchange& aExchange)
{
  const nlohmann::json document = {
    { "program", this->program },
    { "version", TOUCANSTAND_VERSION },
    { "pid", ::getpid() },
    { "uptime_seconds", ToSeconds(BootClock::now() - this->startedAt) },
    { "ready", this->hooks.isReady() },
    { "state", this->hooks.describe() },
    { "metrics", this->metrics.Describe() },
  };
  co_await aExchange.Respond(JsonResponse(200, EncodeJson(document)));
}

} // namespace toucanstand
