#include "common/FaultyServer.h"

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <spdlog/spdlog.h>

namespace toucanstand {

namespace asio = boost::asio;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// Between attempts to listen again, when another process holds the port for a moment.
constexpr Duration kListenRetry = std::chrono::milliseconds(50);

} // namespace

FaultyServer::FaultyServer(asio::io_context& aLoop,
                           MetricsRegistry& aMetrics,
                           HttpServer::Handler aHandler)
  : loop(aLoop)
  , metrics(aMetrics)
  , handler(std::move(aHandler))
  , restartTimer(aLoop)
{
}

Result<Endpoint, ListenFailure> FaultyServer::Listen(const Endpoint& aEndpoint)
{
  HttpServerLimits limits;
  // Room for a value of 1 MiB in base64.
  limits.bodyBytes = 4U << 20U;
  this->server = std::make_unique<HttpServer>(
    this->loop,
    limits,
    [this](HttpExchange& aExchange) { return this->Serve(aExchange); },
    this->metrics);
  auto local = this->server->Listen(aEndpoint);
  if (local) {
    this->endpoint = *local;
  } else {
    this->server.reset();
  }
  return local;
}

void FaultyServer::Die(std::optional<Duration> aRestartAfter)
{
  this->restartTimer.cancel();
  std::ranges::for_each(this->stalled, [](const auto& aEnd) { aEnd->cancel(); });
  if (this->server) {
    this->server->Abort();
    this->server.reset();
  }
  if (aRestartAfter) {
    this->RestartAfter(*aRestartAfter);
  }
}

void FaultyServer::Restart()
{
  this->restartTimer.cancel();
  if (!this->server && !this->Listen(this->endpoint)) {
    spdlog::warn("cannot listen on {} again, retrying", this->endpoint.Text());
    this->RestartAfter(kListenRetry);
  }
}

Task<> FaultyServer::Stall(HttpExchange& aExchange)
{
  // The listener replaces any other: a server does not learn that the caller closed a
  // connection that has gone silent.
  const auto end = std::make_shared<asio::steady_timer>(
    this->loop, asio::steady_timer::time_point::max());
  this->stalled.push_back(end);
  aExchange.OnCallerGone([end] { end->cancel(); });
  if (!aExchange.CallerGone()) {
    co_await end->async_wait(kAwait);
  }
  std::erase(this->stalled, end);
  aExchange.BreakOff();
}

Task<> FaultyServer::Serve(HttpExchange& aExchange)
{
  if (!this->server) {
    // A request that was being read when the server died.
    aExchange.BreakOff();
  } else if (!this->silence.Admit(aExchange.Caller(), BootClock::now())) {
    co_await this->Stall(aExchange);
  } else {
    co_await this->handler(aExchange);
  }
}

void FaultyServer::RestartAfter(Duration aTime)
{
  this->restartTimer.expires_after(aTime);
  this->restartTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      this->Restart();
    }
  });
}

} // namespace toucanstand
