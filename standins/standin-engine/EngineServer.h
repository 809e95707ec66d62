#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "EngineModel.h"
#include "common/FaultyServer.h"
#include "common/ModelTimer.h"

namespace toucanstand {

/// How the process of an engine behaves, besides its model.
struct EngineServerOptions
{
  /// A prompt with this text makes the engine crash.
  std::string crashOn;
  /// Time that a crashed engine stays dead.
  Duration restart = std::chrono::seconds(2);
  /// A run continues when its connection closes.
  bool ignoreDisconnect = false;
};

/// HTTP front of one engine. Requests for other paths go to a shared control handler.
class EngineServer
{
public:
  EngineServer(boost::asio::io_context& aLoop,
               MetricsRegistry& aMetrics,
               EngineSettings aSettings,
               EngineServerOptions aOptions,
               HttpServer::Handler aControl);

  /// Starts to listen. Port 0 picks a free one, which a restart keeps.
  Result<Endpoint, ListenFailure> Listen(const Endpoint& aEndpoint);

  /// Closes the listener and all connections and forgets the engine's state.
  /// @param aRestartAfter when it comes back; nothing waits for Restart()
  void Die(std::optional<Duration> aRestartAfter);
  void Restart();

  /// Makes the connections that are open now silent for good.
  void SilenceOpen();
  /// Breaks off the answers in progress. The engine goes on and keeps its state.
  void BreakOpen();
  /// Time that the engine takes to say its state, as on a busy machine.
  void SetStateDelay(Duration aDelay) { this->stateDelay = aDelay; }

  void SetSlowFactor(double aFactor) { this->model.SetSlowFactor(aFactor); }
  void SetLeaving(bool aLeaving, bool aRefuse);

  [[nodiscard]] nlohmann::json Log() const;

private:
  /// Tokens of a run on their way to its connection.
  struct Stream
  {
    Stream(boost::asio::io_context& aLoop, std::string aRequestId);

    std::string requestId;
    std::string pending;
    bool finished = false;
    bool aborted = false;
    /// Never expires; cancelled to wake the writer.
    boost::asio::steady_timer change;
  };

  Task<> Serve(HttpExchange& aExchange);
  Task<> ServeChat(HttpExchange& aExchange);
  Task<> WriteStream(HttpExchange& aExchange, Stream& aStream);
  Task<> ServeCancel(HttpExchange& aExchange);
  Task<> ServeOrder(HttpExchange& aExchange);
  Task<> ServeState(HttpExchange& aExchange);
  void Pump();
  void Deliver(const EngineOutput& aOutput);
  void AbortStream(std::uint64_t aRun);

  boost::asio::io_context& loop;
  EngineServerOptions options;
  HttpServer::Handler control;
  EngineModel model;
  ModelTimer modelTimer;
  FaultyServer server;
  Duration stateDelay{ 0 };
  std::map<std::uint64_t, std::shared_ptr<Stream>> streams;
};

} // namespace toucanstand
