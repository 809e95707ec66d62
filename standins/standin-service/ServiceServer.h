#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "ServiceInstance.h"
#include "common/FaultyServer.h"
#include "common/ModelTimer.h"

namespace toucanstand {

/// HTTP front of one service instance. `/log` and `/fault` go to a shared control
/// handler.
class ServiceServer
{
public:
  ServiceServer(boost::asio::io_context& aLoop,
                MetricsRegistry& aMetrics,
                ServiceSettings aSettings,
                HttpServer::Handler aControl);

  /// Starts to listen. Port 0 picks a free one, which a restart keeps.
  Result<Endpoint, ListenFailure> Listen(const Endpoint& aEndpoint);

  /// Closes the listener and all connections and drops what waits and runs.
  void Die();
  void Restart();

  /// Makes the connections that are open now silent for good.
  void SilenceOpen();

  [[nodiscard]] ServiceFaults& Faults() { return this->model.Faults(); }
  [[nodiscard]] nlohmann::json Log() const;

private:
  /// A request whose run has not ended.
  struct Waiter
  {
    explicit Waiter(boost::asio::io_context& aLoop);

    std::optional<ServiceCompletion> completion;
    /// Never expires; cancelled to wake the exchange.
    boost::asio::steady_timer change;
  };

  Task<> Serve(HttpExchange& aExchange);
  Task<> ServeRun(HttpExchange& aExchange);
  void Pump();

  boost::asio::io_context& loop;
  HttpServer::Handler control;
  ServiceInstance model;
  ModelTimer modelTimer;
  FaultyServer server;
  std::map<std::uint64_t, std::shared_ptr<Waiter>> waiters;
};

} // namespace toucanstand
