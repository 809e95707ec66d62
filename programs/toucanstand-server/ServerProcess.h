#pragma once

#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "GroupCoordinator.h"
#include "LoopMonitor.h"
#include "PeerChannel.h"
#include "PromptPartRecords.h"
#include "RelayedChangeFeed.h"
#include "RequestHandler.h"
#include "ServerSettings.h"
#include "ServingState.h"
#include "StoreSession.h"
#include "StoreSynchronizer.h"
#include "TunnelService.h"
#include "http/HttpServer.h"
#include "lifecycle/ShutdownSequence.h"
#include "operators/OperatorEndpoint.h"
#include "platform/StoreClient.h"

namespace toucanstand {

/// The toucanstand-server process: connects its components on one event loop and runs
/// them from start to shutdown.
class ServerProcess
{
public:
  /// @param aSettingsFile is read again on SIGHUP
  ServerProcess(ServerSettings aSettings, std::string aSettingsFile);

  ExitCode Run();

private:
  bool Listen();
  void BeginStop();
  void AdvanceStop(StopPhase aPhase, TimePoint aNow);
  [[nodiscard]] UnfinishedWork CountUnfinished();
  void LogCut(const CutRequest& aCut);
  /// Logs an event of the stop with the number of connections in each state.
  void LogConnections(std::string_view aEvent, StopPhase aPhase);
  void WaitForReload();
  void Reload();
  void Tick();
  void RecordLoopDelay(TimePoint aNow);
  void JudgePromptParts(TimePoint aNow);
  void ShareRateLimits(TimePoint aNow);
  [[nodiscard]] bool IsReady() const;
  [[nodiscard]] bool IsBusy() const;
  [[nodiscard]] nlohmann::json DescribeState();
  Task<> ServePeer(HttpExchange& aExchange);
  void UpdatePaths(TimePoint aNow);
  Task<> ServeReadiness(HttpExchange& aExchange);

  boost::asio::io_context loop;
  ShutdownSequence shutdown;
  ServingState state;
  std::string settingsFile;
  std::uint64_t runNumber;
  /// Unique id of this run of the process: VM id and random number.
  std::string runId;
  platform::StoreClient store;
  PeerChannel peers;
  RelayedChangeFeed changeFeed;
  StoreSynchronizer storeSynchronizer;
  StoreSession storeSession;
  PromptPartRecords promptPartRecords;
  GroupCoordinator groupCoordinator;
  RequestHandler handler;
  TunnelService tunnels;
  HttpServer callerServer;
  HttpServer readinessServer;
  /// Serves store changes to peers that follow the store through this VM, and tunnels.
  HttpServer peerServer;
  OperatorEndpoint operators;
  boost::asio::signal_set reloadSignals;
  boost::asio::steady_timer tickTimer;
  LoopMonitor loopMonitor;
  StopPhase loggedStopPhase = StopPhase::LeavingRotation;
  bool wasCutOff = false;
  /// Version of the configuration whose limits are in force; -1 makes the next Tick()
  /// apply the limits again.
  std::int64_t appliedLimitsVersion = -1;
};

} // namespace toucanstand
