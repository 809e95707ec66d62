#include "DomainWorker.h"

#include <algorithm>
#include <array>
#include <memory>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include "EngineState.h"
#include "planning/GroupPlanner.h"
#include "serialization/BoundedJson.h"

namespace toucanstand {

namespace {

constexpr std::size_t kMostStateBytes = 256U << 10U;

GroupControllerSettings SettingsFor(const GroupsSettings& aSettings,
                                    const DomainId& aDomain)
{
  auto settings = aSettings.controller;
  settings.domain = aDomain;
  return settings;
}

std::string NonceOf(const GroupsSettings& aSettings, Random& aRandom)
{
  return aSettings.id.Value() + "-" + std::to_string(aRandom.Engine()());
}

std::string RecordKey(const DomainId& aDomain)
{
  return "/toucanstand/domains/" + aDomain.Value();
}

WriteReply ReplyOf(std::uint64_t aTicket,
                   const Result<StoreRevision, StoreFailure>& aResult)
{
  if (aResult) {
    return { aTicket, WriteOutcome::Committed, *aResult };
  }
  // A write that was not sent is treated as unknown as well: reading back settles both.
  const bool conflict = aResult.LastReason() == StoreFailure::Conflict;
  return { aTicket, conflict ? WriteOutcome::Conflict : WriteOutcome::Unknown, 0 };
}

OrderOutcome OutcomeOf(const Result<HttpResponse, HttpFailure>& aResponse)
{
  if (!aResponse) {
    return OrderOutcome::Unknown;
  }
  if (aResponse->status == 409) {
    return OrderOutcome::Stale;
  }
  const bool accepted = aResponse->status >= 200 && aResponse->status < 300;
  return accepted ? OrderOutcome::Accepted : OrderOutcome::Refused;
}

const char* Name(OrderOutcome aOutcome)
{
  constexpr std::array kNames = { "accepted", "stale", "refused", "unknown" };
  return kNames.at(static_cast<std::size_t>(aOutcome));
}

} // namespace

DomainWorker::DomainWorker(boost::asio::io_context& aLoop,
                           const GroupsSettings& aSettings,
                           const DomainId& aDomain,
                           PlatformStore& aStore,
                           HttpClient& aClient,
                           MetricsRegistry& aMetrics,
                           Random aRandom)
  : loop(aLoop)
  , settings(aSettings)
  , domain(aDomain)
  , store(aStore)
  , client(aClient)
  , metrics(aMetrics)
  , lease(aLoop,
          aStore,
          "/toucanstand/controllers/" + aDomain.Value(),
          aSettings.id.Value(),
          aSettings.leaseDuration,
          Random(aRandom.Engine()()))
  , controller(SettingsFor(aSettings, aDomain),
               std::make_unique<GroupPlanner>(),
               NonceOf(aSettings, aRandom))
{
}

void DomainWorker::Start()
{
  boost::asio::co_spawn(this->loop,
                        this->lease.Run([this](bool aGained) {
                          spdlog::info("domain {}: lease {}",
                                       this->domain.Value(),
                                       aGained ? "gained" : "lost");
                          if (aGained) {
                            this->Handle(LeaseGained{});
                          } else {
                            this->Handle(LeaseLost{});
                          }
                        }),
                        boost::asio::detached);
}

void DomainWorker::Tick(const PlatformList& aList, TimePoint aNow)
{
  if (this->stopped) {
    return;
  }
  this->Handle(toucanstand::Tick{});
  if (!this->controller.HoldsLease()) {
    return;
  }
  this->PollEngines(aList, aNow);
  ObservationsChanged event;
  for (const auto& [id, server] : this->servers) {
    event.servers.push_back(server);
    event.observations.push_back(this->polled[id].last);
  }
  this->Handle(event);
}

void DomainWorker::Stop()
{
  this->stopped = true;
  this->lease.Stop();
  this->Spawn(this->lease.Release());
}

nlohmann::json DomainWorker::Describe() const
{
  return this->controller.Describe();
}

void DomainWorker::Handle(const ControllerEvent& aEvent)
{
  if (this->stopped) {
    return;
  }
  for (const auto& action : this->controller.Handle(aEvent, BootClock::now())) {
    this->Perform(action);
  }
}

void DomainWorker::Perform(const ControllerAction& aAction)
{
  if (const auto* read = std::get_if<ReadRecord>(&aAction)) {
    this->Spawn(this->Read(read->requestId));
  } else if (const auto* write = std::get_if<WriteRecord>(&aAction)) {
    this->Spawn(this->Write(*write));
  } else if (const auto* order = std::get_if<SendOrder>(&aAction)) {
    this->Spawn(this->Order(*order));
  } else {
    spdlog::info("domain {}: gives up the lease", this->domain.Value());
    this->metrics.Count("groups_leases_given_up_total");
    this->Spawn(this->lease.Release());
  }
}

void DomainWorker::Spawn(Task<> aTask)
{
  ++this->callsInFlight;
  boost::asio::co_spawn(this->loop, std::move(aTask), [this](const std::exception_ptr&) {
    --this->callsInFlight;
  });
}

void DomainWorker::PollEngines(const PlatformList& aList, TimePoint aNow)
{
  this->servers.clear();
  for (const auto& server : aList.servers) {
    if (server.domain != this->domain || server.kind != ServerKind::Engine) {
      continue;
    }
    this->servers[server.id] = server;
    auto& target = this->polled[server.id];
    target.last.server = server.id;
    if (!target.inFlight && aNow >= target.nextPoll) {
      target.inFlight = true;
      target.nextPoll = aNow + this->settings.pollInterval;
      boost::asio::co_spawn(
        this->loop, this->Poll(server.id, server.endpoint), boost::asio::detached);
    }
  }
  std::erase_if(this->polled, [this](const auto& aPair) {
    return !this->servers.contains(aPair.first);
  });
}

Task<> DomainWorker::Poll(ServerId aServer, Endpoint aEndpoint)
{
  HttpRequest request;
  request.target = "/state";
  HttpDeadlines deadlines;
  deadlines.connect = this->settings.pollTimeout;
  deadlines.head = this->settings.pollTimeout;
  deadlines.progress = this->settings.pollTimeout;
  // The state is at least as new as the request.
  const auto sentAt = BootClock::now();
  const auto response = co_await this->client.Fetch(
    aEndpoint, std::move(request), deadlines, kMostStateBytes);
  const auto found = this->polled.find(aServer);
  if (found == this->polled.end()) {
    co_return;
  }
  found->second.inFlight = false;
  if (!response) {
    this->metrics.Count("groups_poll_failures_total");
    // The idle connection may have gone silent while new ones work (R68).
    this->client.DropIdle(aEndpoint);
    co_return;
  }
  const auto observation = ReadEngineState(aServer, response->body, sentAt);
  if (!observation || response->status != 200) {
    this->metrics.Count("groups_state_rejected_total");
    co_return;
  }
  found->second.last = *observation;
}

Task<> DomainWorker::Read(std::uint64_t aTicket)
{
  const auto value = co_await this->store.Read(RecordKey(this->domain));
  RecordReadReply reply;
  reply.requestId = aTicket;
  if (value) {
    reply.answered = true;
    reply.revision = value->modRevision;
    reply.text = value->value;
  } else {
    reply.answered = value.LastReason() == StoreFailure::NotFound;
  }
  this->Handle(reply);
}

Task<> DomainWorker::Write(WriteRecord aAction)
{
  const auto key = RecordKey(this->domain);
  if (aAction.expectedRevision == 0) {
    const auto created = co_await this->store.CreateIfAbsent(key, aAction.text, 0);
    this->Handle(ReplyOf(aAction.requestId, created));
    co_return;
  }
  const auto replaced =
    co_await this->store.ReplaceIf(key, aAction.expectedRevision, aAction.text, 0);
  this->Handle(ReplyOf(aAction.requestId, replaced));
}

Task<> DomainWorker::Order(SendOrder aAction)
{
  const auto server = this->servers.find(aAction.server);
  const auto left = aAction.expiresAt - BootClock::now();
  if (server == this->servers.end() || left <= Duration::zero()) {
    this->metrics.Count("groups_orders_total{outcome=\"expired\"}");
    co_return;
  }
  // All stages together end before the order expires.
  HttpDeadlines deadlines;
  deadlines.connect = std::min(left / 4, this->settings.orderTimeout / 4);
  deadlines.head = std::min(left / 2, this->settings.orderTimeout / 2);
  deadlines.progress = std::min(left / 4, this->settings.orderTimeout / 4);
  const auto response = co_await this->client.Fetch(
    server->second.endpoint, this->OrderRequest(aAction), deadlines, kMostStateBytes);
  const auto outcome = OutcomeOf(response);
  this->metrics.Count(std::string("groups_orders_total{outcome=\"") + Name(outcome) +
                      "\"}");
  OrderReply reply{ aAction.server, aAction.fence, outcome };
  this->Handle(reply);
}

HttpRequest DomainWorker::OrderRequest(const SendOrder& aAction) const
{
  auto members = nlohmann::json::array();
  for (const auto& member : aAction.group.members) {
    members.push_back(member.Value());
  }
  const auto model = this->settings.models.find(aAction.group.pool);
  const nlohmann::json body = {
    { "fence", aAction.fence },
    { "group", aAction.group.id.Value() },
    { "generation", aAction.group.generation },
    { "members", std::move(members) },
    { "model", model == this->settings.models.end() ? "" : model->second }
  };
  HttpRequest request;
  request.method = "POST";
  request.target = "/control/order";
  request.headers.Add("Content-Type", "application/json");
  request.body = EncodeJson(body);
  return request;
}

} // namespace toucanstand
