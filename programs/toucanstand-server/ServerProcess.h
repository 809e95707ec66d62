#pragma once

#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "GroupKeeper.h"
#include "PeerLink.h"
#include "RelayedFeed.h"
#include "RequestHandler.h"
#include "ServerSettings.h"
#include "ServingState.h"
#include "Session.h"
#include "StoreLink.h"
#include "http/HttpServer.h"
#include "lifecycle/ShutdownSequence.h"
#include "operators/OperatorEndpoint.h"
#include "platform/StoreClient.h"

namespace toucanstand {

/// The process of toucanstand-server: wires its parts to one loop, from start to stop.
class ServerProcess
{
public:
  /// @param aSettingsFile is read again on SIGHUP
  ServerProcess(ServerSettings aSettings, std::string aSettingsFile);

  ExitCode Run();

private:
  bool Listen();
  void BeginStop();
  void WaitForReload();
  void Reload();
  void Tick();
  [[nodiscard]] bool IsReady() const;
  [[nodiscard]] bool IsBusy() const;
  [[nodiscard]] nlohmann::json DescribeState();
  Task<> ServeReadiness(HttpExchange& aExchange);

  boost::asio::io_context loop;
  ShutdownSequence shutdown;
  ServingState state;
  std::string settingsFile;
  std::uint64_t runNumber;
  /// Names this run of this process among all.
  std::string run;
  platform::StoreClient store;
  PeerLink peers;
  RelayedFeed feed;
  StoreLink storeLink;
  Session session;
  GroupKeeper keeper;
  RequestHandler handler;
  HttpServer callers;
  HttpServer readiness;
  /// For peers that follow the store through this VM.
  HttpServer changes;
  OperatorEndpoint operators;
  boost::asio::signal_set reloads;
  boost::asio::steady_timer ticker;
  boost::asio::steady_timer listenerTimer;
  bool listenerOpen = true;
  std::int64_t limitsVersion = -1;
};

} // namespace toucanstand
