#pragma once

#include <boost/asio/io_context.hpp>

#include "CallHandler.h"
#include "EntryContext.h"
#include "NodeLink.h"
#include "http/HttpServer.h"
#include "lifecycle/ShutdownSequence.h"
#include "operators/OperatorEndpoint.h"

namespace toucanstand {

/// The toucanstand-entry program: callers' HTTP to backend servers.
class EntryProcess
{
public:
  explicit EntryProcess(EntrySettings aSettings);

  /// Serves until the process is told to stop. @returns the exit code.
  ExitCode Run();

private:
  bool Listen();
  void AdvanceStop(StopPhase aPhase, TimePoint aNow);
  [[nodiscard]] bool IsReady() const;
  [[nodiscard]] nlohmann::json DescribeState() const;

  boost::asio::io_context loop;
  ShutdownSequence shutdown;
  MetricsRegistry metrics;
  EntryContext context;
  CallHandler handler;
  NodeLink nodeLink;
  HttpServer server;
  OperatorEndpoint operators;
};

} // namespace toucanstand
