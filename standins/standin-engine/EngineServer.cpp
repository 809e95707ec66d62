#include "EngineServer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include "EngineRequests.h"
#include "serialization/BoundedJson.h"

namespace toucanstand {

namespace asio = boost::asio;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

constexpr std::string_view kCancelPath = "/v1/requests/";

HttpResponse RejectionResponse(EngineRejection aRejection)
{
  switch (aRejection) {
    case EngineRejection::QueueFull:
      return NotRunResponse(429, "queue_full");
    case EngineRejection::WrongGroup:
      return NotRunResponse(409, "wrong_group");
    case EngineRejection::Leaving:
      return NotRunResponse(503, "leaving");
  }
  return NotRunResponse(500, "unknown");
}

std::string EventText(const std::string& aRequestId, const EngineToken& aToken)
{
  const nlohmann::json event = { { "id", aRequestId },
                                 { "index", aToken.index },
                                 { "token", aToken.text } };
  return "data: " + EncodeJson(event) + "\n\n";
}

} // namespace

EngineServer::Stream::Stream(asio::io_context& aLoop, std::string aRequestId)
  : requestId(std::move(aRequestId))
  , change(aLoop, asio::steady_timer::time_point::max())
{
}

EngineServer::EngineServer(asio::io_context& aLoop,
                           MetricsRegistry& aMetrics,
                           EngineSettings aSettings,
                           EngineServerOptions aOptions,
                           HttpServer::Handler aControl)
  : loop(aLoop)
  , options(std::move(aOptions))
  , control(std::move(aControl))
  , model(std::move(aSettings))
  , modelTimer(aLoop, [this] { this->Pump(); })
  , server(aLoop, aMetrics, [this](HttpExchange& aExchange) {
    return this->Serve(aExchange);
  })
{
}

Result<Endpoint, ListenFailure> EngineServer::Listen(const Endpoint& aEndpoint)
{
  return this->server.Listen(aEndpoint);
}

void EngineServer::Die(std::optional<Duration> aRestartAfter)
{
  this->model.Crash(BootClock::now());
  this->BreakOpen();
  this->modelTimer.Arm(std::nullopt);
  this->server.Die(aRestartAfter);
}

void EngineServer::Restart()
{
  this->server.Restart();
}

void EngineServer::SilenceOpen()
{
  this->server.SilenceOpen();
  for (const auto& [run, stream] : this->streams) {
    stream->change.cancel();
  }
}

void EngineServer::BreakOpen()
{
  while (!this->streams.empty()) {
    this->AbortStream(this->streams.begin()->first);
  }
}

void EngineServer::SetLeaving(bool aLeaving, bool aRefuse)
{
  this->model.SetLeaving(aLeaving, aRefuse, BootClock::now());
}

nlohmann::json EngineServer::Log() const
{
  return this->model.Log(BootClock::now());
}

Task<> EngineServer::Serve(HttpExchange& aExchange)
{
  const auto& request = aExchange.Request();
  if (request.method == "GET" && request.target == "/state") {
    co_await this->ServeState(aExchange);
  } else if (request.method == "POST" && request.target == "/v1/chat/completions") {
    co_await this->ServeChat(aExchange);
  } else if (request.method == "DELETE" && request.target.starts_with(kCancelPath)) {
    co_await this->ServeCancel(aExchange);
  } else if (request.method == "POST" && request.target == "/control/order") {
    co_await this->ServeOrder(aExchange);
  } else {
    co_await this->control(aExchange);
  }
}

Task<> EngineServer::ServeChat(HttpExchange& aExchange)
{
  const auto request = ReadEngineRequest(aExchange.Request());
  if (!request) {
    co_await aExchange.Respond(NotRunResponse(400, "malformed_request"));
    co_return;
  }
  EngineRejection rejection{};
  const auto run = this->model.Submit(*request, BootClock::now(), rejection);
  if (!run) {
    co_await aExchange.Respond(RejectionResponse(rejection));
    co_return;
  }
  const auto stream = std::make_shared<Stream>(this->loop, request->id);
  this->streams[*run] = stream;
  if (!this->options.crashOn.empty() &&
      request->prompt.find(this->options.crashOn) != std::string::npos) {
    this->Die(this->options.restart);
    aExchange.BreakOff();
    co_return;
  }
  this->Pump();
  aExchange.OnCallerGone([this, run = *run, stream] {
    this->model.Disconnect(run, !this->options.ignoreDisconnect, BootClock::now());
    this->AbortStream(run);
    this->Pump();
  });
  const HttpHeaders headers = { { "Content-Type", "text/event-stream" },
                                { "Cache-Control", "no-store" } };
  co_await aExchange.BeginStream(200, headers);
  co_await this->WriteStream(aExchange, *stream);
}

Task<> EngineServer::WriteStream(HttpExchange& aExchange, Stream& aStream)
{
  const auto serial = this->server.SilenceSerial();
  while (!aStream.aborted) {
    if (this->server.SilenceSerial() != serial) {
      co_await this->server.Stall(aExchange);
      co_return;
    }
    const bool last = aStream.finished;
    const std::string bytes =
      std::exchange(aStream.pending, "") + (last ? "data: [DONE]\n\n" : "");
    if (!bytes.empty() && !co_await aExchange.WriteChunk(bytes)) {
      co_return;
    }
    if (last) {
      co_await aExchange.FinishStream();
      co_return;
    }
    if (aStream.pending.empty() && !aStream.finished && !aStream.aborted) {
      co_await aStream.change.async_wait(kAwait);
    }
  }
  aExchange.BreakOff();
}

Task<> EngineServer::ServeCancel(HttpExchange& aExchange)
{
  const auto id = aExchange.Request().target.substr(kCancelPath.size());
  const auto cancelled = this->model.Cancel(id, BootClock::now());
  for (const auto run : cancelled) {
    this->AbortStream(run);
  }
  this->Pump();
  const nlohmann::json body = { { "cancelled", cancelled.size() } };
  co_await aExchange.Respond(
    JsonResponse(cancelled.empty() ? 404 : 200, EncodeJson(body)));
}

Task<> EngineServer::ServeOrder(HttpExchange& aExchange)
{
  const auto order = ReadEngineOrder(aExchange.Request());
  if (!order) {
    co_await aExchange.Respond(
      ErrorResponse(400, "malformed_order", "the order cannot be read"));
    co_return;
  }
  const auto reply = this->model.Order(*order, BootClock::now());
  this->Pump();
  const auto state = this->model.State(BootClock::now());
  const nlohmann::json body = { { "fence", state["fence"] } };
  co_await aExchange.Respond(
    JsonResponse(reply == OrderReply::Accepted ? 202 : 409, EncodeJson(body)));
}

Task<> EngineServer::ServeState(HttpExchange& aExchange)
{
  if (this->stateDelay > Duration::zero()) {
    asio::steady_timer timer(this->loop, this->stateDelay);
    co_await timer.async_wait(kAwait);
  }
  const auto state = this->model.State(BootClock::now());
  co_await aExchange.Respond(JsonResponse(200, EncodeJson(state)));
}

void EngineServer::Pump()
{
  this->Deliver(this->model.Advance(BootClock::now()));
  this->modelTimer.Arm(this->model.NextEvent());
}

void EngineServer::Deliver(const EngineOutput& aOutput)
{
  for (const auto& token : aOutput.tokens) {
    const auto found = this->streams.find(token.run);
    if (found != this->streams.end()) {
      found->second->pending += EventText(found->second->requestId, token);
      found->second->change.cancel();
    }
  }
  for (const auto run : aOutput.finished) {
    const auto found = this->streams.find(run);
    if (found != this->streams.end()) {
      found->second->finished = true;
      found->second->change.cancel();
      this->streams.erase(found);
    }
  }
  for (const auto run : aOutput.aborted) {
    this->AbortStream(run);
  }
}

void EngineServer::AbortStream(std::uint64_t aRun)
{
  const auto found = this->streams.find(aRun);
  if (found == this->streams.end()) {
    return;
  }
  found->second->aborted = true;
  found->second->change.cancel();
  this->streams.erase(found);
}

} // namespace toucanstand
