#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "common/ConnectionSilence.h"
#include "http/HttpServer.h"

namespace toucanstand {

/// HTTP server of a stand-in that can die, come back on the same port and make its open
/// connections silent.
class FaultyServer
{
public:
  FaultyServer(boost::asio::io_context& aLoop,
               MetricsRegistry& aMetrics,
               HttpServer::Handler aHandler);

  /// Starts to listen. Port 0 picks a free one, which a restart keeps.
  Result<Endpoint, ListenFailure> Listen(const Endpoint& aEndpoint);

  /// Closes the listener and the connections. Exchanges in progress are the caller's to
  /// break off. @param aRestartAfter nothing waits for Restart()
  void Die(std::optional<Duration> aRestartAfter);
  void Restart();

  /// Makes the connections that are open now silent for good. An exchange in progress
  /// compares SilenceSerial() and calls Stall() after a change.
  void SilenceOpen() { this->silence.SilenceOpen(); }
  [[nodiscard]] unsigned SilenceSerial() const { return this->silence.Serial(); }

  /// Holds an exchange without a byte until its caller closes or the server dies.
  Task<> Stall(HttpExchange& aExchange);

private:
  Task<> Serve(HttpExchange& aExchange);
  void RestartAfter(Duration aTime);

  boost::asio::io_context& loop;
  MetricsRegistry& metrics;
  HttpServer::Handler handler;
  Endpoint endpoint;
  std::unique_ptr<HttpServer> server;
  boost::asio::steady_timer restartTimer;
  ConnectionSilence silence;
  /// Timers of stalled exchanges, cancelled when the server dies.
  std::vector<std::shared_ptr<boost::asio::steady_timer>> stalled;
};

} // namespace toucanstand
