#include "ServerProcess.h"

#include <algorithm>
#include <csignal>
#include <iterator>
#include <limits>
#include <ranges>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>
#include <sys/resource.h>

#include "ErrorResponder.h"
#include "memory/RequestPrecedence.h"
#include "peers/VmRun.h"
#include "platform/HeaderTranslation.h"
#include "text/Hexadecimal.h"

namespace toucanstand {

namespace asio = boost::asio;

namespace {

/// Interval at which expired entries are removed and changed limits are applied.
constexpr Duration kTickInterval = std::chrono::milliseconds(100);
/// The load balancer checks readiness once a second and removes a VM after two failures;
/// it ends no earlier than that.
constexpr Duration kBalancerRemovalTime = std::chrono::milliseconds(2500);
/// Part of the stop period, and the most of it, that is left for the process itself to
/// exit. A process that is killed meanwhile loses nothing that it would not have cut.
constexpr double kExitFraction = 0.1;
constexpr Duration kMaxExitTime = std::chrono::milliseconds(400);
/// Part of that time in which a process that runs late passes on what servers have sent.
constexpr int kOverrunDivisor = 2;
/// A drain that is shortened for a late signal still lasts until this last part of the
/// stop period: the signal may have come at the end of the time that the loop missed.
constexpr int kLastPartDivisor = 6;
/// Minimum Retry-After of requests that a stop rejects: other VMs are ready, or the load
/// balancer needs a moment to notice.
constexpr Duration kRetryAfterAtPeers = std::chrono::milliseconds(50);
/// The same for the last VM; a restart takes some seconds.
constexpr Duration kRetryAfterRestart = std::chrono::seconds(2);
/// Minimum Retry-After of requests that gave way to others: by then, requests that have
/// stopped give way to them.
constexpr Duration kRetryAfterMemory = RequestPrecedence::kStopped;
/// Timeout of a direct connection on trial while this VM is cut off.
constexpr Duration kTrialTimeout = std::chrono::milliseconds(200);

ShutdownSequence::Periods StopPeriods(const ServerSettings& aSettings)
{
  const Duration exitTime =
    std::min(FromSeconds(ToSeconds(aSettings.stopPeriod) * kExitFraction), kMaxExitTime);
  return { aSettings.stopPeriod - exitTime,
           kBalancerRemovalTime,
           exitTime / kOverrunDivisor,
           aSettings.stopPeriod / kLastPartDivisor - exitTime };
}

/// Part of the descriptors that is left for servers, the store and peers.
constexpr std::size_t kDescriptorReserveDivisor = 4;

/// Connections of callers that leave the reserve of descriptors.
std::size_t MaxCallerConnections()
{
  rlimit descriptors{};
  if (::getrlimit(RLIMIT_NOFILE, &descriptors) != 0) {
    return std::numeric_limits<std::size_t>::max();
  }
  return descriptors.rlim_cur - descriptors.rlim_cur / kDescriptorReserveDivisor;
}

HttpServerLimits MakeHttpLimits(const ServerSettings& aSettings)
{
  HttpServerLimits limits;
  limits.connections = std::min(aSettings.connections, MaxCallerConnections());
  return limits;
}

} // namespace

ServerProcess::ServerProcess(ServerSettings aSettings, std::string aSettingsFile)
  : loop(1)
  , shutdown(this->loop, StopPeriods(aSettings), RepeatedSignal::IsIgnored)
  , state(this->loop, aSettings)
  , settingsFile(std::move(aSettingsFile))
  , runNumber(this->state.random.Engine()())
  , runId(MakeRunId(this->state.settings.id, this->runNumber, this->state.settings.zone))
  , store(this->loop,
          platform::StoreClientSettings{ this->state.settings.store },
          this->state.metrics)
  , peers(this->state, this->runNumber, this->runId)
  , changeFeed(this->loop,
               this->store,
               this->peers.Directory(),
               this->state.metrics,
               this->state.log,
               [this](const std::vector<std::uint8_t>& aBytes, const Endpoint& aTo) {
                 this->peers.SendQuery(aBytes, aTo);
               })
  , storeSynchronizer(this->state, this->changeFeed)
  , storeSession(this->state, this->store, this->peers.Directory(), this->runId)
  , promptPartRecords(this->state, this->store, this->peers.Directory())
  , groupCoordinator(this->state,
                     this->storeSession,
                     this->storeSynchronizer,
                     this->peers)
  , handler(this->state)
  , tunnels(this->state)
  , callerServer(
      this->loop,
      MakeHttpLimits(this->state.settings),
      [this](HttpExchange& aExchange) { return this->handler.Handle(aExchange); },
      this->state.metrics)
  , readinessServer(
      this->loop,
      HttpServerLimits{},
      [this](HttpExchange& aExchange) { return this->ServeReadiness(aExchange); },
      this->state.metrics)
  , peerServer(
      this->loop,
      HttpServerLimits{},
      [this](HttpExchange& aExchange) { return this->ServePeer(aExchange); },
      this->state.metrics)
  , operators(this->loop,
              "toucanstand-server",
              this->state.metrics,
              OperatorHooks{ [this] { return this->IsReady(); },
                             [this] { return this->DescribeState(); },
                             [this] { this->shutdown.Begin(); },
                             nullptr })
  , reloadSignals(this->loop, SIGHUP)
  , tickTimer(this->loop)
{
}

ExitCode ServerProcess::Run()
{
  if (!this->Listen()) {
    return ExitCode::Failure;
  }
  this->state.log.Write(
    LogWeight::Notable, "start", { { "version", TOUCANSTAND_VERSION } });
  this->shutdown.SetHooks(ShutdownHooks{
    [this] { this->BeginStop(); },
    [this](StopPhase aPhase, TimePoint aNow) { this->AdvanceStop(aPhase, aNow); },
    [this] { return this->IsBusy(); },
    [this] { return this->CountUnfinished(); } });
  this->callerServer.SetCutListener(
    [this](const CutRequest& aCut) { this->LogCut(aCut); });
  this->callerServer.SetStopRejection([this] {
    return ErrorResponder::MakeNotRunResponse(
      this->state, RequestId(), "stopping", this->state.stopRetryAfter);
  });
  this->storeSynchronizer.SetSystemKeyListener([this](const StoreChange& aChange) {
    this->storeSession.OnSystemKeyChanged(aChange);
    this->peers.OnSystemKeyChanged(aChange);
    this->promptPartRecords.OnSystemKeyChanged(aChange);
  });
  this->peers.onQuery = [this](const ChangeQuery& aQuery) {
    return this->storeSynchronizer.AnswerQuery(aQuery, BootClock::now());
  };
  this->peers.onAnswer = [this](ChangeAnswer aAnswer) {
    // Pushed changes have the number 0; queries and their answers are numbered from 1.
    if (aAnswer.number == 0) {
      this->storeSynchronizer.ApplyPushedChanges(aAnswer);
    } else {
      this->changeFeed.OnAnswer(std::move(aAnswer));
    }
  };
  this->storeSynchronizer.SetRestorationListener([this](TimePoint aNow) {
    this->storeSession.OnStoreRestored(aNow);
    this->peers.Directory().OnStoreBack(aNow);
    this->groupCoordinator.OnStoreRestored(aNow);
  });
  this->storeSynchronizer.SetPushListener(
    [this](const ChangeAnswer& aChanges) { this->peers.PushChanges(aChanges); });
  this->peers.onGroupSuspected = [this](const GroupId& aGroup) {
    this->groupCoordinator.OnGroupSuspected(aGroup);
  };
  asio::co_spawn(this->loop, this->storeSynchronizer.Run(), asio::detached);
  asio::co_spawn(this->loop, this->storeSession.Run(), asio::detached);
  asio::co_spawn(this->loop, this->promptPartRecords.Run(), asio::detached);
  asio::co_spawn(this->loop, this->peers.SendReports(), asio::detached);
  asio::co_spawn(this->loop, this->peers.SendAggregates(), asio::detached);
  asio::co_spawn(this->loop, this->peers.ReceiveDatagrams(), asio::detached);
  asio::co_spawn(this->loop, this->groupCoordinator.Run(), asio::detached);
  this->WaitForReload();
  this->Tick();
  this->loop.run();
  const auto& schedule = this->shutdown.Schedule();
  if (this->state.streamsBrokenDuringStop > 0) {
    this->state.log.Write(
      LogWeight::Notable,
      "streams_broken_during_stop",
      { { "count", static_cast<std::int64_t>(this->state.streamsBrokenDuringStop) } });
  }
  this->LogConnections(
    "stop", schedule ? schedule->PhaseAt(BootClock::now()) : StopPhase::Serving);
  return this->shutdown.Outcome();
}

bool ServerProcess::Listen()
{
  this->callerServer.SetRequestMemory(this->state.requestMemory, [this] {
    return ErrorResponder::MakeNotRunResponse(
      this->state, RequestId(), "no_request_memory", kRetryAfterMemory);
  });
  const auto& settings = this->state.settings;
  const bool isListening = this->callerServer.Listen(settings.listen).HasValue() &&
                           this->readinessServer.Listen(settings.readiness).HasValue() &&
                           this->operators.Listen(settings.operatorEndpoint).HasValue() &&
                           this->peerServer.Listen(settings.peers).HasValue() &&
                           this->peers.Listen(settings.peers);
  if (!isListening) {
    this->state.log.Write(LogWeight::Notable,
                          "cannot_listen",
                          { { "callers", settings.listen.Text() },
                            { "readiness", settings.readiness.Text() },
                            { "operator", settings.operatorEndpoint.Text() },
                            { "peers", settings.peers.Text() } });
  }
  return isListening;
}

void ServerProcess::Tick()
{
  const auto now = BootClock::now();
  this->RecordLoopDelay(now);
  this->state.storeUpToDateAt = this->storeSynchronizer.UpToDateAt();
  this->storeSynchronizer.SetIsRelay(this->peers.Directory().IsRelay());
  this->state.directory.OnTime(now);
  this->peers.Directory().OnTime(now);
  this->peers.Directory().SetZonesAreFarApart(
    this->state.configuration &&
    this->state.configuration->LargestZoneDelay() >= ZoneDistances::kFarApart);
  this->UpdatePaths(now);
  this->state.quarantine.OnTime(now);
  this->JudgePromptParts(now);
  this->ShareRateLimits(now);
  this->state.availability.OnTime(now);
  this->state.retryBudget.Configure(
    this->state.settings.retries.SettingsPerVm(this->peers.PeerCount() + 1));
  this->state.retryBudget.OnTime(now);
  this->state.RefreshDestinations(now);
  this->state.UpdateUnseenRequests(this->peers.PeerDemand(now),
                                   this->peers.MeanReportAge());
  if (this->state.configuration &&
      this->state.configuration->Version() != this->appliedLimitsVersion) {
    this->appliedLimitsVersion = this->state.configuration->Version();
    const auto& configured = this->state.configuration->Limits();
    HttpServerLimits limits = MakeHttpLimits(this->state.settings);
    limits.headerBytes = configured.headerBytes;
    limits.bodyBytes = configured.bodyBytes;
    limits.headerTimeout = configured.headerTimeout;
    limits.idleTimeout = configured.idleTimeout;
    this->callerServer.SetLimits(limits);
  }
  this->tickTimer.expires_after(kTickInterval);
  this->tickTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      this->Tick();
    }
  });
}

void ServerProcess::RecordLoopDelay(TimePoint aNow)
{
  const auto delayed = this->loopMonitor.OnTick(aNow, kTickInterval);
  if (!delayed) {
    return;
  }
  this->state.metrics.Count("loop_delays_total");
  this->state.log.Write(
    LogWeight::Notable,
    "loop_delayed",
    { { "delay_ms", ToMilliseconds(delayed->delay).count() },
      { "processor_ms", ToMilliseconds(delayed->processorTime).count() },
      { "major_faults", delayed->majorFaults },
      { "voluntary_switches", delayed->voluntarySwitches },
      { "involuntary_switches", delayed->involuntarySwitches } });
}

Task<> ServerProcess::ServePeer(HttpExchange& aExchange)
{
  if (aExchange.Request().target.starts_with(kTunnelTargetPrefix)) {
    co_await this->tunnels.Serve(aExchange);
    co_return;
  }
  co_await RelayedChangeFeed::ServeChanges(aExchange, this->peers.onQuery);
}

void ServerProcess::UpdatePaths(TimePoint aNow)
{
  auto& paths = this->state.paths;
  std::vector<BackendPaths::Proxy> proxies;
  for (const auto& peer : this->peers.Directory().Peers() | std::views::values) {
    proxies.push_back({ peer.endpoint, peer.cpuShare });
  }
  paths.SetProxies(std::move(proxies));
  if (paths.TakeTrial(aNow)) {
    if (const auto server = this->state.PickContactableServer(aNow)) {
      asio::co_spawn(
        this->loop,
        this->state.backendClient.TryDirectConnection(*server, kTrialTimeout),
        asio::detached);
    }
  }
  if (this->wasCutOff != paths.IsCutOff()) {
    this->wasCutOff = paths.IsCutOff();
    this->state.OnPathsChanged();
  }
}

void ServerProcess::JudgePromptParts(TimePoint aNow)
{
  for (const auto& verdict : this->state.promptPartQuarantine.OnTime(aNow)) {
    this->state.metrics.Count("prompt_parts_quarantined_total");
    this->state.log.Write(LogWeight::Notable,
                          "prompt_part_quarantined",
                          { { "part", FormatHexadecimal(verdict.part) },
                            { "crashes", static_cast<std::int64_t>(verdict.crashes) } });
  }
}

void ServerProcess::ShareRateLimits(TimePoint aNow)
{
  auto fleet = this->peers.TrafficByVm(aNow);
  this->state.rateLimits.SetFleet(std::move(fleet.self), std::move(fleet.others));
  this->state.rateLimits.OnTime(aNow);
  this->state.coldServers.SetFleet(this->peers.MakeFleetView(), aNow);
}

bool ServerProcess::IsReady() const
{
  return this->state.configuration && this->state.hasReadServers &&
         !this->shutdown.IsDraining();
}

bool ServerProcess::IsBusy() const
{
  return this->callerServer.IsBusy() || this->tunnels.TunnelCount() > 0;
}

UnfinishedWork ServerProcess::CountUnfinished()
{
  const auto connections = this->callerServer.CountUnfinished();
  this->callerServer.ReportUnreceivedAnswers();
  UnfinishedWork unfinished;
  unfinished.cutOff = connections.withoutAnswer;
  unfinished.answeredWithError = this->state.requestsEndedByStop;
  unfinished.notReceived = connections.notReceived;
  unfinished.tunnels = this->tunnels.TunnelCount();
  return unfinished;
}

void ServerProcess::LogCut(const CutRequest& aCut)
{
  const auto now = BootClock::now();
  const auto ago = [now](const std::optional<TimePoint>& aTime) {
    return aTime ? ToMilliseconds(now - *aTime).count() : std::int64_t{ -1 };
  };
  const auto& schedule = this->shutdown.Schedule();
  const auto& server = aCut.server;
  const auto unread = server.countUnreadBytes
                        ? static_cast<std::int64_t>(server.countUnreadBytes())
                        : std::int64_t{ -1 };
  this->state.metrics.Count("requests_cut_total{by=\"" + aCut.endedBy + "\"}");
  this->state.log.Write(
    LogWeight::Warning,
    "request_cut",
    { { "request", platform::RequestIdOf(aCut.request).Value() },
      { "ended_by", aCut.endedBy },
      { "connection", Name(aCut.state) },
      { "first_byte_ago_ms", ago(aCut.firstByteAt) },
      { "read_ago_ms", ago(aCut.readAt) },
      { "sent_ago_ms", ago(server.sentAt) },
      { "destination", server.destination },
      { "attempts", static_cast<std::int64_t>(server.attempts) },
      { "rejected", static_cast<std::int64_t>(server.rejectedAttempts) },
      { "events", static_cast<std::int64_t>(server.events) },
      { "last_event_ago_ms", ago(server.lastEventAt) },
      { "server_bytes_unread", unread },
      { "caller_bytes_unacknowledged",
        static_cast<std::int64_t>(aCut.unacknowledgedBytes) },
      { "configuration_ago_ms", ago(this->state.configurationInForceAt) },
      { "stop_ago_ms", schedule ? ago(schedule->Begin()) : -1 } });
}

void ServerProcess::BeginStop()
{
  this->state.stopSchedule = this->shutdown.Schedule();
  this->LogConnections("stop_begins", StopPhase::LeavingRotation);
  this->tunnels.Drain();
  asio::co_spawn(this->loop, this->storeSession.RevokeLeases(), asio::detached);
}

void ServerProcess::AdvanceStop(StopPhase aPhase, TimePoint aNow)
{
  if (aPhase != this->loggedStopPhase) {
    this->loggedStopPhase = aPhase;
    this->LogConnections("stop_phase", aPhase);
  }
  // Peers may stop as well.
  this->state.stopRetryAfter =
    this->peers.PeerCount() > 0 ? kRetryAfterAtPeers : kRetryAfterRestart;
  this->callerServer.AdvanceStop(aPhase, aNow);
}

void ServerProcess::LogConnections(std::string_view aEvent, StopPhase aPhase)
{
  const auto count = [this](ConnectionState aState) {
    return LogField{
      Name(aState), static_cast<std::int64_t>(this->callerServer.Connections().Of(aState))
    };
  };
  this->state.log.Write(
    LogWeight::Notable,
    aEvent,
    { { "phase", Name(aPhase) },
      count(ConnectionState::AwaitingRequest),
      count(ConnectionState::ReceivingRequest),
      count(ConnectionState::AwaitingAnswer),
      count(ConnectionState::SendingAnswer),
      count(ConnectionState::AwaitingClose),
      { "tunnels", static_cast<std::int64_t>(this->tunnels.TunnelCount()) } });
}

void ServerProcess::WaitForReload()
{
  this->reloadSignals.async_wait([this](const boost::system::error_code& aError, int) {
    if (!aError) {
      this->Reload();
      this->WaitForReload();
    }
  });
}

void ServerProcess::Reload()
{
  const auto document = ReadJsonFile(this->settingsFile);
  if (!document) {
    this->state.log.Write(
      LogWeight::Notable, "reload_rejected", { { "reason", "not_readable" } });
    return;
  }
  SettingsReader reader(*document);
  const auto settings = ReadServerSettings(reader);
  reader.Finish();
  const bool valid = reader.Errors().empty();
  if (valid) {
    // Of all settings, only the connection limit is reloaded; addresses and identity are
    // fixed while the process runs.
    this->state.settings.connections = settings.connections;
    this->appliedLimitsVersion = -1;
  }
  this->state.log.Write(
    LogWeight::Notable, valid ? "reload" : "reload_rejected", { { "valid", valid } });
}

Task<> ServerProcess::ServeReadiness(HttpExchange& aExchange)
{
  HttpResponse response;
  response.status = this->IsReady() ? 200 : 503;
  co_await aExchange.Respond(std::move(response));
}

nlohmann::json ServerProcess::DescribeState()
{
  const auto now = BootClock::now();
  nlohmann::json placements = nlohmann::json::object();
  for (const auto& [pool, placement] : this->state.placements) {
    placements[pool.Value()] = placement.Describe(now);
  }
  return { { "id", this->state.settings.id.Value() },
           { "configuration_version",
             this->state.configuration ? this->state.configuration->Version() : 0 },
           { "store_age_ms", ToMilliseconds(now - this->state.storeUpToDateAt).count() },
           { "store_history", this->store.History().value_or(0) },
           { "store_revision", RevisionText(this->storeSynchronizer.Revision()) },
           { "leader_term", this->storeSession.LeaderTerm(now) },
           { "peers", this->peers.PeerCount() },
           { "paths", this->state.paths.Describe() },
           { "tunnels", this->tunnels.TunnelCount() },
           { "relay", this->peers.Directory().IsRelay() },
           { "relays_by_zone", this->peers.Directory().AreRelaysByZone() },
           { "suspicions_to_pass_on", this->peers.PendingSuspicionCount() },
           { "open_connections", this->callerServer.OpenConnections() },
           { "in_flight", this->callerServer.ActiveExchanges() },
           { "receiving",
             this->callerServer.Connections().Of(ConnectionState::ReceivingRequest) },
           { "request_memory", this->state.requestMemory.Held() },
           { "response_memory", this->state.responseMemory.Held() },
           { "servers", this->state.directory.Describe() },
           { "placements", std::move(placements) },
           { "groups", this->groupCoordinator.Describe() },
           { "admission", this->state.admission.Describe(now) },
           { "router", this->state.router.Describe(now) },
           { "quarantine", this->state.quarantine.Describe(now) },
           { "prompt_part_quarantine", this->state.promptPartQuarantine.Describe(now) },
           { "rate_limits", this->state.rateLimits.Describe(now) },
           { "waiting_servers", this->state.availability.Describe(now) },
           { "cold_servers", this->state.coldServers.Describe(now) },
           { "evacuated_zones", this->state.evacuations.Describe(now) },
           { "retry_budget", this->state.retryBudget.Describe() },
           { "log_lines_left_out", this->state.log.LeftOut() } };
}

} // namespace toucanstand
