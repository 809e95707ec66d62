#include "ServerProcess.h"

#include <csignal>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

namespace toucanstand {

namespace asio = boost::asio;

namespace {

/// How often due removals and new limits are applied.
constexpr Duration kTick = std::chrono::milliseconds(100);
/// The balancer asks once a second and takes a VM out after two misses.
constexpr Duration kBalancerNotice = std::chrono::milliseconds(2500);
/// Part of the stop period that requests in flight may use; the rest is for the end of
/// the process itself.
constexpr double kDrainShare = 0.9;

Duration DrainPeriod(const ServerSettings& aSettings)
{
  return FromSeconds(ToSeconds(aSettings.stopPeriod) * kDrainShare);
}

HttpServerLimits LimitsOf(const ServerSettings& aSettings)
{
  HttpServerLimits limits;
  limits.connections = aSettings.connections;
  return limits;
}

} // namespace

ServerProcess::ServerProcess(ServerSettings aSettings, std::string aSettingsFile)
  : loop(1)
  , shutdown(this->loop, DrainPeriod(aSettings), RepeatedSignal::IsIgnored)
  , state(this->loop, aSettings)
  , settingsFile(std::move(aSettingsFile))
  , runNumber(this->state.random.Engine()())
  , run(this->state.settings.id.Value() + "." + std::to_string(this->runNumber))
  , store(this->loop,
          platform::StoreClientSettings{ this->state.settings.store },
          this->state.metrics)
  , peers(this->state, this->runNumber, this->run)
  , feed(this->loop,
         this->store,
         this->peers.Directory(),
         this->state.metrics,
         this->state.log,
         [this](const std::vector<std::uint8_t>& aBytes, const Endpoint& aTo) {
           this->peers.Send(aBytes, aTo);
         })
  , storeLink(this->state, this->feed)
  , session(this->state, this->store, this->peers.Directory(), this->run)
  , keeper(this->state, this->session, this->peers)
  , handler(this->state)
  , callers(
      this->loop,
      LimitsOf(this->state.settings),
      [this](HttpExchange& aExchange) { return this->handler.Handle(aExchange); },
      this->state.metrics)
  , readiness(
      this->loop,
      HttpServerLimits{},
      [this](HttpExchange& aExchange) { return this->ServeReadiness(aExchange); },
      this->state.metrics)
  , changes(
      this->loop,
      HttpServerLimits{},
      [this](HttpExchange& aExchange) {
        return RelayedFeed::ServeChanges(aExchange, this->peers.onQuery);
      },
      this->state.metrics)
  , operators(this->loop,
              "toucanstand-server",
              this->state.metrics,
              OperatorHooks{ [this] { return this->IsReady(); },
                             [this] { return this->DescribeState(); },
                             [this] { this->shutdown.Begin(); },
                             nullptr })
  , reloads(this->loop, SIGHUP)
  , ticker(this->loop)
  , listenerTimer(this->loop)
{
}

ExitCode ServerProcess::Run()
{
  if (!this->Listen()) {
    return ExitCode::Failure;
  }
  this->state.log.Write(
    LogWeight::Notable, "start", { { "version", TOUCANSTAND_VERSION } });
  this->shutdown.SetHooks(
    ShutdownHooks{ [this] { this->BeginStop(); }, [this] { return this->IsBusy(); } });
  this->storeLink.OnOwnKey([this](const StoreChange& aChange) {
    this->session.OnOwnKey(aChange);
    this->peers.OnOwnKey(aChange);
  });
  this->peers.onQuery = [this](const ChangeQuery& aQuery) {
    return this->storeLink.Answer(aQuery, BootClock::now());
  };
  this->peers.onAnswer = [this](ChangeAnswer aAnswer) {
    if (aAnswer.number == 0) {
      this->storeLink.TakeUnasked(aAnswer);
    } else {
      this->feed.OnAnswer(std::move(aAnswer));
    }
  };
  this->storeLink.OnNews(
    [this](const ChangeAnswer& aNews) { this->peers.TellNews(aNews); });
  this->peers.onSuspicion = [this](const GroupId& aGroup) {
    this->keeper.OnSuspicion(aGroup);
  };
  asio::co_spawn(this->loop, this->storeLink.Run(), asio::detached);
  asio::co_spawn(this->loop, this->session.Run(), asio::detached);
  asio::co_spawn(this->loop, this->peers.Report(), asio::detached);
  asio::co_spawn(this->loop, this->peers.SendSums(), asio::detached);
  asio::co_spawn(this->loop, this->peers.Receive(), asio::detached);
  asio::co_spawn(this->loop, this->keeper.Run(), asio::detached);
  this->WaitForReload();
  this->Tick();
  this->loop.run();
  this->state.log.Write(LogWeight::Notable, "stop", {});
  return this->shutdown.Outcome();
}

bool ServerProcess::Listen()
{
  const auto& settings = this->state.settings;
  const bool good = this->callers.Listen(settings.listen).HasValue() &&
                    this->readiness.Listen(settings.readiness).HasValue() &&
                    this->operators.Listen(settings.operatorEndpoint).HasValue() &&
                    this->changes.Listen(settings.peers).HasValue() &&
                    this->peers.Listen(settings.peers);
  if (!good) {
    this->state.log.Write(LogWeight::Notable,
                          "cannot_listen",
                          { { "callers", settings.listen.Text() },
                            { "readiness", settings.readiness.Text() },
                            { "operator", settings.operatorEndpoint.Text() },
                            { "peers", settings.peers.Text() } });
  }
  return good;
}

void ServerProcess::Tick()
{
  const auto now = BootClock::now();
  this->state.storeReadAt = this->storeLink.UpToDateAt();
  this->storeLink.SetRelay(this->peers.Directory().IsRelay());
  this->state.directory.OnTime(now);
  this->state.quarantine.OnTime(now);
  this->state.retryBudget.Configure(
    this->state.settings.retries.SettingsPerVm(this->peers.PeerCount() + 1));
  this->state.retryBudget.OnTime(now);
  this->state.RefreshDestinations(now);
  this->state.NoteUnseenWork(this->peers.WorkOfOthers(now), this->peers.MeanReportAge());
  if (this->state.configuration &&
      this->state.configuration->Version() != this->limitsVersion) {
    this->limitsVersion = this->state.configuration->Version();
    const auto& allowed = this->state.configuration->Limits();
    HttpServerLimits limits = LimitsOf(this->state.settings);
    limits.headerBytes = allowed.headerBytes;
    limits.bodyBytes = allowed.bodyBytes;
    limits.headerTimeout = allowed.headerTimeout;
    limits.idleTimeout = allowed.idleTimeout;
    this->callers.SetLimits(limits);
  }
  this->ticker.expires_after(kTick);
  this->ticker.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      this->Tick();
    }
  });
}

bool ServerProcess::IsReady() const
{
  return this->state.configuration && this->state.hasServers &&
         !this->shutdown.IsDraining();
}

bool ServerProcess::IsBusy() const
{
  return this->listenerOpen || this->callers.ActiveExchanges() > 0;
}

void ServerProcess::BeginStop()
{
  this->state.log.Write(
    LogWeight::Notable,
    "stop_begins",
    { { "in_flight", static_cast<std::int64_t>(this->callers.ActiveExchanges()) } });
  this->callers.AnnounceClose();
  asio::co_spawn(this->loop, this->session.End(), asio::detached);
  this->listenerTimer.expires_after(kBalancerNotice);
  this->listenerTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      this->callers.Drain();
      this->listenerOpen = false;
      this->shutdown.NoteProgress();
    }
  });
}

void ServerProcess::WaitForReload()
{
  this->reloads.async_wait([this](const boost::system::error_code& aError, int) {
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
    // Addresses and identity belong to a run of the process; what else may change does.
    this->state.settings.connections = settings.connections;
    this->limitsVersion = -1;
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
           { "store_age_ms", ToMilliseconds(now - this->state.storeReadAt).count() },
           { "leader_term", this->session.LeaderTerm(now) },
           { "peers", this->peers.PeerCount() },
           { "relay", this->peers.Directory().IsRelay() },
           { "suspicions_to_pass_on", this->peers.SuspicionsToPassOn() },
           { "open_connections", this->callers.OpenConnections() },
           { "in_flight", this->callers.ActiveExchanges() },
           { "servers", this->state.directory.Describe() },
           { "placements", std::move(placements) },
           { "groups", this->keeper.Describe() },
           { "router", this->state.router.Describe(now) },
           { "quarantine", this->state.quarantine.Describe(now) },
           { "retry_budget", this->state.retryBudget.Describe() },
           { "log_lines_left_out", this->state.log.LeftOut() } };
}

} // namespace toucanstand
