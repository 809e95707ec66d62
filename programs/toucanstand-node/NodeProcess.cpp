#include "NodeProcess.h"

#include <algorithm>
#include <iostream>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include "crashes/SuspectMessages.h"
#include "observation/WorldViewText.h"
#include "serialization/BoundedJson.h"

namespace toucanstand {

namespace {

using nlohmann::json;

constexpr const char* kPlatformKey = "/platform/vms";
constexpr auto kTickInterval = std::chrono::milliseconds(50);
/// Time between two requests for a configuration that a peer has and this node lacks.
constexpr Duration kRequestInterval = std::chrono::milliseconds(250);
/// Time for which observations without a change of state are collected into one message.
constexpr Duration kSpreadInterval = std::chrono::milliseconds(200);
/// Time between two full copies of the suspects to one random peer, for lost deltas.
constexpr Duration kSuspectsInterval = std::chrono::seconds(2);
/// Time in which the messages about leaving go out before the process ends.
constexpr Duration kFarewellPeriod = std::chrono::milliseconds(100);
constexpr std::size_t kMaximumObservations = 10'000;

std::uint64_t SeedOf(const NodeSettings& aSettings)
{
  return aSettings.seed == 0 ? SystemSeed() : static_cast<std::uint64_t>(aSettings.seed);
}

const std::string* TextOf(const json& aBody, const char* aKey)
{
  const auto found = aBody.find(aKey);
  return found == aBody.end() ? nullptr : found->get_ptr<const json::string_t*>();
}

std::int64_t WholeOf(const json& aBody, const char* aKey)
{
  const auto found = aBody.find(aKey);
  return found == aBody.end() || !found->is_number_integer() ? 0
                                                             : found->get<std::int64_t>();
}

} // namespace

NodeProcess::NodeProcess(NodeSettings aSettings)
  : settings(std::move(aSettings))
  , loop(1)
  , shutdown(this->loop, { this->settings.drainPeriod, Duration::zero() })
  , random(SeedOf(this->settings))
  , port(this->loop, this->metrics)
  , operators(this->loop,
              "toucanstand-node",
              this->metrics,
              OperatorHooks{
                [this] { return this->IsReady(); },
                [this] { return this->DescribeState(); },
                [this] { this->shutdown.Begin(); },
                [this](HttpExchange& aExchange) { return this->ServeMore(aExchange); } })
  , store(this->loop,
          EtcdStoreSettings{ this->settings.store,
                             this->settings.storeTimeout,
                             EtcdStoreSettings{}.callsPerSecond,
                             this->settings.watchPause },
          this->metrics,
          Random(this->random.Engine()()))
  , tickTimer(this->loop)
  , observer(this->loop,
             this->settings,
             this->metrics,
             this->observations,
             Random(this->random.Engine()()),
             [this] {
               this->spreadUrgently = true;
               this->PublishIfChanged();
             })
  , publisher(this->port, this->settings.snapshotInterval)
  , arbiter(this->quarantine)
{
}

ExitCode NodeProcess::Run()
{
  if (!this->Listen()) {
    return ExitCode::Failure;
  }
  this->shutdown.SetHooks(
    ShutdownHooks{ [this] { this->BeginDrain(); },
                   nullptr,
                   [this] { return BootClock::now() - this->leftAt < kFarewellPeriod; },
                   nullptr });
  this->Start();
  this->loop.run();
  return this->shutdown.Outcome();
}

bool NodeProcess::Listen()
{
  const auto node =
    this->port.Listen(this->settings.listen.value_or(this->settings.self.nodeEndpoint),
                      [this](const Message& aMessage) { this->OnMessage(aMessage); });
  const auto operatorEndpoint = this->operators.Listen(this->settings.operatorEndpoint);
  if (!node || !operatorEndpoint) {
    spdlog::error("cannot listen: node {}, operator {}",
                  node ? "ok" : this->settings.self.nodeEndpoint.Text(),
                  operatorEndpoint ? "ok" : this->settings.operatorEndpoint.Text());
    return false;
  }
  if (this->settings.listen) {
    this->port.Advertise(this->settings.self.nodeEndpoint);
  } else {
    this->settings.self.nodeEndpoint = *node;
  }
  std::cout << "node " << node->Text() << "\noperator " << operatorEndpoint->Text()
            << std::endl;
  return true;
}

void NodeProcess::Start()
{
  const auto now = BootClock::now();
  this->membership = std::make_unique<Membership>(
    this->settings.self, this->settings.membership, this->random, now);
  this->membership->SetSeeds(this->settings.seeds);
  this->configuration =
    std::make_unique<NodeConfiguration>(this->settings.self, this->settings.seeds, now);
  this->WatchStore();
  boost::asio::co_spawn(this->loop, this->ReadStore(), boost::asio::detached);
  this->ArmTick();
}

void NodeProcess::BeginDrain()
{
  this->leftAt = BootClock::now();
  this->Perform(this->membership->Leave());
}

void NodeProcess::ArmTick()
{
  this->tickTimer.expires_after(kTickInterval);
  this->tickTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      this->Tick();
      this->ArmTick();
    }
  });
}

void NodeProcess::Tick()
{
  const auto now = BootClock::now();
  this->configuration->Update(now);
  this->membership->SetConfiguration(this->configuration->Replica().Revision(),
                                     this->configuration->Contact().IsSynchronized());
  this->Perform(this->membership->Tick(now));
  if (this->assignmentOutdated) {
    this->Reassign();
  }
  this->observer.Tick(now);
  this->SpreadObservations(now);
  this->SpreadSuspects(now);
  this->quarantine.OnTime(now);
  // Changes are published by the events that cause them; this is the renewal.
  if (this->publisher.IsDue(now)) {
    this->PublishIfChanged();
  }
}

void NodeProcess::WatchStore()
{
  this->store.Watch(kConfigurationKey, [this](const auto& aValue) {
    if (aValue) {
      this->OfferConfiguration(aValue->value, BootClock::now());
    }
  });
  this->store.Watch(kPlatformKey, [this](const auto& aValue) {
    if (aValue) {
      this->OfferPlatform(aValue->value, aValue->modRevision);
    }
  });
}

void NodeProcess::WatchDomains()
{
  for (const auto& server : this->platform.servers) {
    const auto domain = server.domain;
    if (domain.IsEmpty() || !this->watchedDomains.insert(domain).second) {
      continue;
    }
    this->store.Watch(GroupRecords::kKeyPrefix + domain.Value(),
                      [this, domain](const auto& aValue) {
                        if (aValue) {
                          this->OfferDomain(domain, aValue->value, aValue->modRevision);
                        }
                      });
  }
}

Task<> NodeProcess::ReadStore()
{
  boost::asio::steady_timer pause(this->loop);
  while (true) {
    const auto askedAt = BootClock::now();
    if (this->configuration->Contact().NeedsStoreRead(askedAt)) {
      const auto value = co_await this->store.Read(kConfigurationKey);
      const auto now = BootClock::now();
      const auto before = this->configuration->Replica().Revision();
      if (value) {
        this->configuration->StoreAnswered(askedAt, value->value, now);
      } else if (value.LastReason() == StoreFailure::NotFound) {
        this->configuration->StoreAnswered(askedAt, std::nullopt, now);
      }
      if (this->configuration->Replica().Revision() > before) {
        this->SendConfiguration({});
      }
      this->PublishIfChanged();
    }
    // The random part keeps the reads of many nodes apart after an outage.
    const auto wait = std::chrono::milliseconds(300 + this->random.Below(500));
    pause.expires_after(wait);
    co_await pause.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
  }
}

void NodeProcess::OnMessage(const Message& aMessage)
{
  static const std::map<std::string, MessageHandler, std::less<>> kHandlers = {
    { "probe", &NodeProcess::OnMembership },
    { "probe-ack", &NodeProcess::OnMembership },
    { "probe-request", &NodeProcess::OnMembership },
    { "configuration", &NodeProcess::OnConfiguration },
    { "configuration-request", &NodeProcess::OnConfigurationRequest },
    { "store-copy", &NodeProcess::OnStoreCopy },
    { "observations", &NodeProcess::OnObservations },
    { "subscribe", &NodeProcess::OnSubscribe },
    { "suspects", &NodeProcess::OnSuspects },
    { "run-ask", &NodeProcess::OnRunAsk },
    { "run-ended", &NodeProcess::OnRunEnded },
  };
  const auto handler = kHandlers.find(aMessage.type);
  if (handler == kHandlers.end()) {
    this->Reject("type");
    return;
  }
  (this->*handler->second)(aMessage, BootClock::now());
}

void NodeProcess::OnMembership(const Message& aMessage, TimePoint aNow)
{
  this->Perform(this->membership->ReceiveText(EncodeJson(aMessage.body), aNow));
}

void NodeProcess::OnConfiguration(const Message& aMessage, TimePoint aNow)
{
  const auto* text = TextOf(aMessage.body, "text");
  if (text == nullptr) {
    this->Reject("configuration");
    return;
  }
  this->OfferConfiguration(*text, aNow);
}

void NodeProcess::OnConfigurationRequest(const Message& aMessage, TimePoint)
{
  if (WholeOf(aMessage.body, "revision") < this->configuration->Replica().Revision()) {
    this->SendConfiguration(aMessage.from);
  }
  if (aMessage.body.value("copies", json()) == true) {
    this->SendStoreCopies(aMessage.from);
  }
}

void NodeProcess::OnStoreCopy(const Message& aMessage, TimePoint)
{
  const auto* key = TextOf(aMessage.body, "key");
  const auto* text = TextOf(aMessage.body, "text");
  const auto revision = WholeOf(aMessage.body, "revision");
  const std::string_view prefix = GroupRecords::kKeyPrefix;
  const bool isDomain = key != nullptr && key->starts_with(prefix);
  const bool isKnown = isDomain || (key != nullptr && *key == kPlatformKey);
  if (!isKnown || text == nullptr || revision <= 0) {
    this->Reject("store-copy");
  } else if (isDomain) {
    this->OfferDomain(DomainId(key->substr(prefix.size())), *text, revision);
  } else {
    this->OfferPlatform(*text, revision);
  }
}

void NodeProcess::OnObservations(const Message& aMessage, TimePoint aNow)
{
  const auto list = aMessage.body.find("observations");
  if (list == aMessage.body.end() || !list->is_array() ||
      list->size() > kMaximumObservations) {
    this->Reject("observations");
    return;
  }
  const auto isListed = [this](const ServerId& aServer) {
    return std::ranges::find(this->platform.servers, aServer, &BackendServer::id) !=
           this->platform.servers.end();
  };
  bool changed = false;
  for (const auto& item : *list) {
    const auto observation = ObservationFromJson(item, aNow);
    if (!observation) {
      this->Reject("observations");
    } else if (isListed(observation->server)) {
      changed = this->observations.RecordReceived(*observation) || changed;
    }
  }
  if (changed) {
    this->PublishIfChanged();
  }
}

void NodeProcess::OnSubscribe(const Message& aMessage, TimePoint aNow)
{
  if (!this->publisher.Subscribe(aMessage.from, aNow)) {
    this->Reject("subscribers");
    return;
  }
  if (WholeOf(aMessage.body, "configuration_revision") <
      this->configuration->Replica().Revision()) {
    this->SendConfiguration(aMessage.from);
  }
}

void NodeProcess::OnSuspects(const Message& aMessage, TimePoint aNow)
{
  std::vector<SuspectDelta> learned;
  for (const auto& delta : SuspectsFromJson(aMessage.body)) {
    if (this->quarantine.Merge(delta, aNow)) {
      learned.push_back(delta);
    }
  }
  if (learned.empty()) {
    return;
  }
  const auto body = SuspectsToJson(learned);
  // Only what came from a process of this VM goes to the other nodes: they get the rest
  // from the node that learned it.
  if (this->publisher.IsSubscriber(aMessage.from)) {
    this->SendToPeers("suspects", body);
  }
  this->publisher.SendToAll("suspects", body, aMessage.from);
  this->PublishIfChanged();
}

void NodeProcess::OnRunAsk(const Message& aMessage, TimePoint aNow)
{
  const auto ask = RunGrantRequestFromJson(aMessage.body);
  if (!ask) {
    this->Reject("run-ask");
    return;
  }
  const auto grant = this->arbiter.OnGrantRequested(
    ask->request, ask->known, ask->server, ask->maxDuration, aNow);
  this->port.Send(aMessage.from, "run-grant", ToJson(grant), aMessage.correlation);
}

void NodeProcess::OnRunEnded(const Message& aMessage, TimePoint aNow)
{
  const auto ended = RunEndedFromJson(aMessage.body);
  if (!ended) {
    this->Reject("run-ended");
    return;
  }
  this->arbiter.OnRunEnded(ended->request, ended->known, aNow);
}

void NodeProcess::Perform(const MembershipActions& aActions)
{
  for (const auto& action : aActions) {
    std::visit([this](const auto& aContent) { this->Perform(aContent); }, action);
  }
}

void NodeProcess::Perform(const SendMessage& aSend)
{
  this->port.Send(aSend.to,
                  TypeName(aSend.message),
                  json::parse(FormatMembershipMessage(aSend.message)));
}

void NodeProcess::Perform(const MemberChanged& aChange)
{
  const auto& member = aChange.member;
  spdlog::info("member {} is {}{}, incarnation {}",
               member.vm.id.Value(),
               Name(member.state),
               member.leaving ? " and leaving" : "",
               member.incarnation);
  this->assignmentOutdated = true;
  // The connection may have gone silent while new ones work (R68).
  if (member.state == MemberState::Suspect) {
    this->port.Reconnect(member.vm.nodeEndpoint);
  }
}

void NodeProcess::Perform(const PeerMessageReceived& aPeer)
{
  const auto now = BootClock::now();
  this->configuration->OnPeer(aPeer, now);
  const auto held = this->configuration->Replica().Revision();
  const bool needsCopies = this->platformText.empty();
  if ((aPeer.revision > held || needsCopies) &&
      now - this->requestedAt >= kRequestInterval) {
    this->requestedAt = now;
    this->port.Send(aPeer.peer.nodeEndpoint,
                    "configuration-request",
                    { { "revision", held }, { "copies", needsCopies } });
  }
}

void NodeProcess::Perform(const NoticeReceived& aNotice)
{
  if (aNotice.notice.kind == NoticeKind::LeavingServer) {
    spdlog::info("backend server {} leaves", aNotice.notice.key);
  }
}

void NodeProcess::Reject(const char* aReason)
{
  this->metrics.Count(std::string("messages_rejected_total{reason=\"") + aReason + "\"}");
}

void NodeProcess::OfferConfiguration(std::string_view aText, TimePoint aNow)
{
  switch (this->configuration->Offer(aText, aNow)) {
    case OfferOutcome::Adopted:
      this->SendConfiguration({});
      this->PublishIfChanged();
      break;
    case OfferOutcome::Invalid:
      this->Reject("configuration");
      break;
    default:
      break;
  }
}

void NodeProcess::SendConfiguration(const Endpoint& aTo)
{
  const auto& current = this->configuration->Replica().Current();
  if (!current) {
    return;
  }
  const json body = { { "revision", current->revision }, { "text", current->text } };
  if (aTo == Endpoint{}) {
    this->publisher.SendToAll("configuration", body);
  } else {
    this->port.Send(aTo, "configuration", body);
  }
}

void NodeProcess::SendStoreCopies(const Endpoint& aTo)
{
  const auto send =
    [&](const std::string& aKey, const std::string& aText, std::int64_t aRevision) {
      this->port.Send(aTo,
                      "store-copy",
                      { { "key", aKey }, { "text", aText }, { "revision", aRevision } });
    };
  if (!this->platformText.empty()) {
    send(kPlatformKey, this->platformText, this->platform.revision);
  }
  for (const auto& [domain, copy] : this->records.Copies()) {
    send(GroupRecords::kKeyPrefix + domain.Value(), copy.text, copy.revision);
  }
}

void NodeProcess::OfferPlatform(const std::string& aText, std::int64_t aRevision)
{
  if (aRevision <= this->platform.revision) {
    return;
  }
  auto list = ParsePlatformList(aText, aRevision);
  if (!list) {
    this->Reject("platform");
    return;
  }
  this->platform = std::move(*list);
  this->platformText = aText;
  auto contacts = this->settings.seeds;
  contacts.insert(
    contacts.end(), this->platform.entryVms.begin(), this->platform.entryVms.end());
  this->membership->SetSeeds(std::move(contacts));
  this->configuration->SetPlatform(this->platform);
  std::set<ServerId> listed;
  for (const auto& server : this->platform.servers) {
    listed.insert(server.id);
  }
  this->observations.RetainOnly(listed);
  this->assignmentOutdated = true;
  this->WatchDomains();
}

void NodeProcess::OfferDomain(const DomainId& aDomain,
                              const std::string& aText,
                              std::int64_t aRevision)
{
  if (this->records.Offer(aDomain, aText, aRevision)) {
    this->assignmentOutdated = true;
    this->PublishIfChanged();
  }
}

void NodeProcess::SendToPeers(const std::string& aType, const json& aBody)
{
  for (const auto& id : this->membership->Members().AliveIds()) {
    const auto& peer = this->membership->Members().Find(id)->member.vm;
    this->port.Send(peer.nodeEndpoint, aType, aBody);
  }
}

void NodeProcess::SpreadObservations(TimePoint aNow)
{
  if (!this->spreadUrgently && aNow - this->spreadAt < kSpreadInterval) {
    return;
  }
  this->spreadUrgently = false;
  this->spreadAt = aNow;
  json list = json::array();
  for (const auto& observation : this->observations.TakeUnsent()) {
    list.push_back(ObservationToJson(observation, aNow));
  }
  if (!list.empty()) {
    this->SendToPeers("observations", { { "observations", std::move(list) } });
  }
}

void NodeProcess::SpreadSuspects(TimePoint aNow)
{
  if (aNow - this->suspectsSpreadAt < kSuspectsInterval) {
    return;
  }
  this->suspectsSpreadAt = aNow;
  const auto deltas = this->quarantine.AllDeltas(aNow);
  const auto peers = this->membership->Members().AliveIds();
  if (deltas.empty() || peers.empty()) {
    return;
  }
  const auto& peer = peers[this->random.Below(peers.size())];
  this->port.Send(this->membership->Members().Find(peer)->member.vm.nodeEndpoint,
                  "suspects",
                  SuspectsToJson(deltas));
}

void NodeProcess::Reassign()
{
  this->assignmentOutdated = false;
  this->observer.Assign(this->platform,
                        this->records.GroupOf(),
                        ObserverAssignment(this->membership->ActiveMembers()));
}

void NodeProcess::PublishIfChanged()
{
  const auto now = BootClock::now();
  this->publisher.Publish(this->View(now), now);
}

WorldView NodeProcess::View(TimePoint aNow) const
{
  WorldView view;
  view.receivedAt = aNow;
  view.mayServe = this->configuration->Contact().MayServe(aNow);
  view.configurationRevision = this->configuration->Replica().Revision();
  auto known = this->observations.All();
  for (const auto& notice :
       this->membership->KnownNotices().Active(NoticeKind::LeavingServer, aNow)) {
    const auto found = known.find(ServerId(notice.key));
    if (found != known.end()) {
      found->second.leaving = true;
    }
  }
  view.candidates = this->records.Candidates(known, this->platform, aNow);
  view.quarantine = this->quarantine.Quarantined(aNow);
  view.liveEntryVms = this->LiveVms();
  return view;
}

std::vector<Vm> NodeProcess::LiveVms() const
{
  std::vector<Vm> vms = { this->settings.self };
  for (const auto& id : this->membership->Members().AliveIds()) {
    vms.push_back(this->membership->Members().Find(id)->member.vm);
  }
  return vms;
}

bool NodeProcess::IsReady() const
{
  return !this->shutdown.IsDraining() &&
         this->configuration->Contact().MayServe(BootClock::now());
}

json NodeProcess::DescribeState() const
{
  const auto now = BootClock::now();
  json groups = json::array();
  for (const auto& candidate : this->View(now).candidates) {
    groups.push_back(
      { { "id", candidate.id },
        { "pool", candidate.pool.Value() },
        { "generation", candidate.generation },
        { "members", candidate.members.size() },
        { "server", candidate.server.Value() },
        { "usable_ms", ToMilliseconds(candidate.usableUntil - now).count() } });
  }
  return { { "id", this->settings.self.id.Value() },
           { "zone", this->settings.self.zone.Value() },
           { "draining", this->shutdown.IsDraining() },
           { "membership", this->membership->Describe() },
           { "configuration", this->configuration->Describe(now) },
           { "platform_revision", this->platform.revision },
           { "servers_listed", this->platform.servers.size() },
           { "servers_observed", this->observations.All().size() },
           { "servers_assigned", this->observer.Assigned() },
           { "subscribers", this->publisher.Subscribers() },
           { "quarantine", this->quarantine.Describe(now) },
           { "groups", std::move(groups) } };
}

Task<bool> NodeProcess::ServeMore(HttpExchange& aExchange) const
{
  const auto& request = aExchange.Request();
  if (request.method != "GET" || request.target != "/configuration") {
    co_return false;
  }
  const auto& current = this->configuration->Replica().Current();
  if (current) {
    co_await aExchange.Respond(JsonResponse(200, current->text));
  } else {
    co_await aExchange.Respond(
      ErrorResponse(404, "no_configuration", "no configuration is in force"));
  }
  co_return true;
}

} // namespace toucanstand
