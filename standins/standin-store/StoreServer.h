#pragma once

#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "StoreGateway.h"
#include "common/FaultyServer.h"
#include "common/ModelTimer.h"
#include "common/StandinControl.h"

namespace toucanstand {

/// Faults that POST /fault sets.
struct StoreFaults
{
  /// Calls have no effect, and their connections are closed without a reply.
  bool down = false;
  /// Between the arrival of a call and its effect.
  Duration delay{ 0 };
  /// So many of the next writes take effect and get no reply.
  std::uint64_t dropReplyAfterEffect = 0;
};

/// HTTP front of the store. `/log` and `/fault` work during an outage too.
class StoreServer
{
public:
  StoreServer(boost::asio::io_context& aLoop,
              MetricsRegistry& aMetrics,
              std::size_t aHistoryLimit);

  /// Starts to listen. Port 0 picks a free one.
  Result<Endpoint, ListenFailure> Listen(const Endpoint& aEndpoint);

private:
  Task<> Serve(HttpExchange& aExchange);
  Task<> ServeCall(HttpExchange& aExchange);
  Task<> ServeWatch(HttpExchange& aExchange);
  Task<> WriteWatch(HttpExchange& aExchange, WatchRequest aWatch);
  [[nodiscard]] std::function<void()> ReadFault(SettingsReader& aReader);
  /// Wakes the watches and arms the timer of the next lease expiry.
  void StateChanged();

  boost::asio::io_context& loop;
  StoreGateway gateway;
  StoreFaults faults;
  StandinControl control;
  ModelTimer leaseTimer;
  FaultyServer server;
  /// Never expires; cancelled to wake the watches.
  boost::asio::steady_timer change;
};

} // namespace toucanstand
