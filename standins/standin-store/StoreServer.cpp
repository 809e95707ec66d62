#include "StoreServer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace toucanstand {

namespace asio = boost::asio;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr Duration kLongestDelay = std::chrono::hours(1);

} // namespace

StoreServer::StoreServer(asio::io_context& aLoop,
                         MetricsRegistry& aMetrics,
                         std::size_t aHistoryLimit)
  : loop(aLoop)
  , gateway(aHistoryLimit)
  , control{ [this] { return nlohmann::json::parse(this->gateway.Log()); },
             [this](SettingsReader& aReader) { return this->ReadFault(aReader); } }
  , leaseTimer(aLoop,
               [this] {
                 this->gateway.State().Expire(BootClock::now());
                 this->StateChanged();
               })
  , server(aLoop,
           aMetrics,
           [this](HttpExchange& aExchange) { return this->Serve(aExchange); })
  , change(aLoop, asio::steady_timer::time_point::max())
{
}

Result<Endpoint, ListenFailure> StoreServer::Listen(const Endpoint& aEndpoint)
{
  return this->server.Listen(aEndpoint);
}

Task<> StoreServer::Serve(HttpExchange& aExchange)
{
  const auto& request = aExchange.Request();
  if (request.target == "/log" || request.target == "/fault") {
    co_await this->control.Serve(aExchange);
    co_return;
  }
  if (this->faults.delay > Duration::zero()) {
    asio::steady_timer timer(this->loop, this->faults.delay);
    co_await timer.async_wait(kAwait);
  }
  if (this->faults.down) {
    aExchange.BreakOff();
  } else if (request.target == "/v3/watch") {
    co_await this->ServeWatch(aExchange);
  } else {
    co_await this->ServeCall(aExchange);
  }
}

Task<> StoreServer::ServeCall(HttpExchange& aExchange)
{
  const auto& request = aExchange.Request();
  if (request.method != "POST") {
    co_await aExchange.Respond(ErrorResponse(405, "method", "calls are POST requests"));
    co_return;
  }
  const auto silenceSerial = this->server.SilenceSerial();
  const auto before = this->gateway.State().Revision();
  auto reply = this->gateway.Call(request.target, request.body, BootClock::now());
  this->StateChanged();
  const bool tookEffect =
    this->gateway.State().Revision() != before ||
    (reply.status == 200 && StoreGateway::IsLeaseWrite(request.target));
  if (tookEffect && this->faults.dropReplyAfterEffect > 0) {
    --this->faults.dropReplyAfterEffect;
    aExchange.BreakOff();
  } else if (this->server.SilenceSerial() != silenceSerial) {
    co_await this->server.Stall(aExchange);
  } else {
    co_await aExchange.Respond(
      JsonResponse(static_cast<int>(reply.status), std::move(reply.body)));
  }
}

Task<> StoreServer::ServeWatch(HttpExchange& aExchange)
{
  const auto watch = this->gateway.ReadWatch(aExchange.Request().body);
  if (!watch) {
    co_await aExchange.Respond(
      ErrorResponse(400, "malformed_watch", "create_request cannot be read"));
    co_return;
  }
  // A caller that closes is only noticed by a wake-up of this exchange.
  aExchange.OnCallerGone([this] { this->change.cancel(); });
  const HttpHeaders headers = { { "Content-Type", "application/json" } };
  co_await aExchange.BeginStream(200, headers);
  co_await aExchange.WriteChunk(this->gateway.WatchCreated());
  co_await this->WriteWatch(aExchange, *watch);
}

Task<> StoreServer::WriteWatch(HttpExchange& aExchange, WatchRequest aWatch)
{
  const auto silenceSerial = this->server.SilenceSerial();
  bool cancelled = false;
  while (!this->faults.down && !aExchange.CallerGone()) {
    if (this->server.SilenceSerial() != silenceSerial) {
      co_await this->server.Stall(aExchange);
      co_return;
    }
    const auto line = this->gateway.WatchEvents(aWatch, cancelled);
    if (!line.empty() && !co_await aExchange.WriteChunk(line)) {
      co_return;
    }
    if (cancelled) {
      co_await aExchange.FinishStream();
      co_return;
    }
    // Changes during the write are in the next turn.
    if (line.empty()) {
      co_await this->change.async_wait(kAwait);
    }
  }
  aExchange.BreakOff();
}

std::function<void()> StoreServer::ReadFault(SettingsReader& aReader)
{
  auto next = this->faults;
  next.down = aReader.Flag("down", next.down);
  next.delay =
    aReader.Milliseconds("delay_ms", Duration::zero(), kLongestDelay, next.delay);
  next.dropReplyAfterEffect =
    aReader.Whole("drop_reply_after_effect",
                  0,
                  INT64_MAX,
                  static_cast<std::int64_t>(next.dropReplyAfterEffect));
  const bool silent = aReader.Flag("silent", false);
  return [this, next, silent] {
    this->faults = next;
    if (silent) {
      this->server.SilenceOpen();
    }
    this->change.cancel();
  };
}

void StoreServer::StateChanged()
{
  this->change.cancel();
  this->leaseTimer.Arm(this->gateway.State().NextExpiry());
}

} // namespace toucanstand
