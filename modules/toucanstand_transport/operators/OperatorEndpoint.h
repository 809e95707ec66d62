#pragma once

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <nlohmann/json_fwd.hpp>

#include "http/HttpServer.h"

namespace toucanstand {

/// What a program tells its operators.
struct OperatorHooks
{
  /// True while the process should get work.
  std::function<bool()> isReady;
  /// State of the process for a dump.
  std::function<nlohmann::json()> describe;
  /// Starts a drain.
  std::function<void()> drain;
  /// Answers further paths; an unset handler or a false result means 404.
  std::function<Task<bool>(HttpExchange&)> more;
};

/// HTTP endpoint for operators: /healthz, /readyz, /metrics, /state and POST /drain.
class OperatorEndpoint
{
public:
  /// @param aMetrics must outlive the endpoint.
  OperatorEndpoint(boost::asio::io_context& aLoop,
                   std::string aProgram,
                   MetricsRegistry& aMetrics,
                   OperatorHooks aHooks);

  /// Starts to listen. Port 0 picks a free one.
  Result<Endpoint, ListenFailure> Listen(const Endpoint& aEndpoint);

private:
  Task<> Serve(HttpExchange& aExchange);
  Task<> ServeState(HttpExchange& aExchange);

  std::string program;
  MetricsRegistry& metrics;
  OperatorHooks hooks;
  TimePoint startedAt;
  HttpServer server;
};

} // namespace toucanstand
