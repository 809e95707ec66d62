#include "FormationSimulation.h"

#include <algorithm>
#include <ranges>

namespace toucanstand {

namespace {

constexpr Duration kJoinTime = std::chrono::milliseconds(400);
constexpr Duration kRegistrationTimeout = std::chrono::milliseconds(3600);
constexpr Duration kStreamTimeout = std::chrono::milliseconds(600);

EngineCostModel CostModel()
{
  EngineCostModel cost;
  cost.slots = 26;
  cost.loadsPerSecond = 4;
  cost.concurrentLoads = 6;
  cost.models = { { "large", 4, 1.0, 0.67, std::chrono::seconds(16), {} },
                  { "small", 2, 0.6, 0.33, std::chrono::seconds(12), {} } };
  return cost;
}

} // namespace

FormationSimulation::FormationSimulation(Options aOptions, std::uint64_t aSeed)
  : options(aOptions)
  , random(aSeed)
  , cost(CostModel())
  , controller(PoolId("engines"))
{
  for (int domain = 0; domain < aOptions.domains; ++domain) {
    for (int number = 0; number < aOptions.enginesPerDomain; ++number) {
      Engine engine;
      engine.entry.id =
        ServerId("e" + std::to_string(domain) + "-" + std::to_string(number));
      engine.entry.pool = PoolId("engines");
      engine.entry.domain = DomainId("d" + std::to_string(domain));
      engine.entry.zone = ZoneId("z" + std::to_string(domain));
      engine.entry.endpoint = {
        "10.0.0.1", static_cast<std::uint16_t>(8000 + domain * 100 + number)
      };
      engine.entry.startedAtUnixMs = 1;
      this->directory.Put(engine.entry);
      this->engines.emplace(engine.entry.id, engine);
    }
  }
  this->controller.StartTerm(this->storeRevision);
}

void FormationSimulation::Run(Duration aDuration)
{
  const auto end = this->now + aDuration;
  while (this->now < end) {
    this->Tick();
  }
}

void FormationSimulation::EndFaults()
{
  const int domains = this->options.domains;
  const int perDomain = this->options.enginesPerDomain;
  this->options = { .domains = domains, .enginesPerDomain = perDomain };
  for (auto& engine : this->engines | std::views::values) {
    engine.unreachableUntil = this->now;
    engine.storeUnreachableUntil = this->now;
  }
  this->evacuatedUntil.clear();
}

void FormationSimulation::Tick()
{
  this->now += kTick;
  this->InjectFaults();
  while (!this->delayedOrders.empty() && this->delayedOrders.front().at <= this->now) {
    const auto order = this->delayedOrders.front().order;
    this->delayedOrders.pop_front();
    (void)this->Execute(order);
  }
  this->AdvanceEngines();
  this->DeliverRegistrations();
  this->RunController();
}

bool FormationSimulation::OccursThisTick(double aPerSecond)
{
  return this->random.Fraction() < aPerSecond * ToSeconds(kTick);
}

void FormationSimulation::InjectFaults()
{
  const auto randomEngine = [this]() -> Engine& {
    auto place = this->engines.begin();
    std::advance(place, this->random.Below(this->engines.size()));
    return place->second;
  };
  if (OccursThisTick(this->options.crashes)) {
    this->Kill(randomEngine().entry.id, false);
  }
  if (OccursThisTick(this->options.unreachableCrashes)) {
    this->Kill(randomEngine().entry.id, true);
  }
  if (OccursThisTick(this->options.networkOutages)) {
    randomEngine().unreachableUntil =
      this->now + std::chrono::seconds(1 + this->random.Below(15));
  }
  if (OccursThisTick(this->options.storeOutages)) {
    this->DisconnectFromStore(randomEngine().entry.id,
                              std::chrono::seconds(1 + this->random.Below(15)));
  }
  if (OccursThisTick(this->options.leaseHolderChanges)) {
    this->ChangeLeaseHolder();
  }
  // Draws nothing without the option, so that the other seeds play the same faults.
  if (this->options.evacuations > 0 && OccursThisTick(this->options.evacuations)) {
    const auto zone = randomEngine().entry.zone;
    this->evacuatedUntil[zone] =
      this->now + std::chrono::seconds(1 + this->random.Below(30));
  }
}

bool FormationSimulation::IsEvacuated(const ZoneId& aZone) const
{
  const auto found = this->evacuatedUntil.find(aZone);
  return found != this->evacuatedUntil.end() && this->now < found->second;
}

void FormationSimulation::ChangeLeaseHolder()
{
  this->storeRevision += 1 + static_cast<std::int64_t>(this->random.Below(50));
  this->controller = FormationController(PoolId("engines"));
  this->controller.StartTerm(this->storeRevision);
}

void FormationSimulation::StartNewLeaseHolder()
{
  const auto known = this->directory.Servers();
  this->directory = ServerDirectory();
  for (const auto& entry : known | std::views::values) {
    this->directory.Put(entry);
  }
  this->ChangeLeaseHolder();
}

void FormationSimulation::Kill(const ServerId& aEngine, bool aUnreachable)
{
  auto& engine = this->engines.at(aEngine);
  if (engine.alive) {
    engine.alive = false;
    engine.unreachable = aUnreachable;
    engine.disconnectedAt = this->now;
  }
}

void FormationSimulation::DisconnectFromStore(const ServerId& aEngine, Duration aDuration)
{
  auto& engine = this->engines.at(aEngine);
  engine.storeUnreachableUntil = this->now + aDuration;
  engine.disconnectedAt = this->now;
}

void FormationSimulation::Register(const Engine& aEngine)
{
  const Duration lag = std::chrono::milliseconds(100 + this->random.Below(600));
  const auto at = this->registrations.empty()
                    ? this->now + lag
                    : std::max(this->now + lag, this->registrations.back().at);
  this->registrations.push_back(
    { at, aEngine.entry.id, false, aEngine.entry, ++this->storeRevision });
}

void FormationSimulation::Unregister(const Engine& aEngine)
{
  this->registrations.push_back(
    { this->now, aEngine.entry.id, true, {}, ++this->storeRevision });
}

FormationSimulation::Engine* FormationSimulation::HeadOf(const GroupId& aGroup)
{
  const auto list = this->memberLists.find(aGroup);
  if (list == this->memberLists.end()) {
    return nullptr;
  }
  auto& head = this->engines.at(list->second.front());
  const bool inGroup =
    head.alive && head.entry.membership && head.entry.membership->group == aGroup;
  return inGroup ? &head : nullptr;
}

bool FormationSimulation::HasMissingMember(const GroupId& aGroup) const
{
  return std::ranges::any_of(this->memberLists.at(aGroup), [&](const ServerId& aMember) {
    const auto& engine = this->engines.at(aMember);
    return !engine.alive || !engine.entry.membership ||
           engine.entry.membership->group != aGroup;
  });
}

void FormationSimulation::AdvanceEngines()
{
  for (auto& engine : this->engines | std::views::values) {
    const bool reachesStore = engine.alive && this->now >= engine.storeUnreachableUntil;
    if (!reachesStore && engine.registered &&
        this->now - engine.disconnectedAt >= kRegistrationTimeout) {
      engine.registered = false;
      this->Unregister(engine);
    }
    if (reachesStore && !engine.registered) {
      engine.registered = true;
      this->Register(engine);
    }
    if (!engine.alive || !engine.entry.membership) {
      continue;
    }
    auto& membership = *engine.entry.membership;
    if (membership.state == MembershipState::Joining && this->now >= engine.readyAt) {
      membership.state = MembershipState::Ready;
      this->membersOnceReady[membership.group].insert(engine.entry.id);
      if (engine.registered) {
        this->Register(engine);
      }
    }
    const bool serves = membership.state == MembershipState::Open ||
                        membership.state == MembershipState::Closing;
    if (!serves) {
      continue;
    }
    const auto& members = this->memberLists.at(membership.group);
    const auto& ready = this->membersOnceReady[membership.group];
    this->partialGroups +=
      std::ranges::all_of(
        members, [&ready](const ServerId& aMember) { return ready.contains(aMember); })
        ? 0
        : 1;
    if (!this->HasMissingMember(membership.group)) {
      engine.memberMissingSince = TimePoint{};
    } else if (engine.memberMissingSince == TimePoint{}) {
      engine.memberMissingSince = this->now;
    } else if (this->now - engine.memberMissingSince >= kHeadStallTimeout) {
      membership.state = MembershipState::Broken;
      if (engine.registered) {
        this->Register(engine);
      }
    }
  }
}

void FormationSimulation::DeliverRegistrations()
{
  while (!this->registrations.empty() && this->registrations.front().at <= this->now) {
    const auto registration = this->registrations.front();
    this->registrations.pop_front();
    this->knownRevision = registration.revision;
    if (registration.removed) {
      this->directory.Remove(registration.server, this->now);
    } else {
      this->directory.Put(registration.entry);
    }
  }
}

void FormationSimulation::Probe(const ServerId& aServer)
{
  const auto& engine = this->engines.at(aServer);
  if (this->IsEvacuated(engine.entry.zone)) {
    return;
  }
  if (engine.alive && this->now >= engine.unreachableUntil) {
    this->controller.OnResponsive(aServer);
  } else {
    this->controller.OnUnresponsive(aServer);
  }
}

void FormationSimulation::RunController()
{
  FormationInputs inputs{
    this->directory, this->cost, this->work, this->traffic, kHeadStallTimeout
  };
  inputs.mix = this->mix;
  inputs.fence = this->knownRevision;
  inputs.isEvacuatedZone = [this](const ZoneId& aZone) {
    return this->IsEvacuated(aZone);
  };
  const auto noteContact = [this](const ServerId& aServer) {
    this->contactsToEvacuatedZones +=
      this->IsEvacuated(this->engines.at(aServer).entry.zone) ? 1 : 0;
  };
  for (const auto& order : this->controller.Plan(inputs, this->now)) {
    noteContact(order.server);
    const auto& engine = this->engines.at(order.server);
    const double chance = this->random.Fraction();
    EngineOrderReply reply = EngineOrderReply::Unknown;
    if (!engine.alive) {
      reply = engine.unreachable ? EngineOrderReply::Unknown
                                 : EngineOrderReply::ConnectionRefused;
    } else if (this->now < engine.unreachableUntil) {
      reply = EngineOrderReply::Unknown;
    } else if (chance < this->options.lateOrders) {
      const Duration delay = std::chrono::milliseconds(2000 + this->random.Below(10'000));
      this->delayedOrders.push_back({ this->now + delay, order });
      std::ranges::stable_sort(this->delayedOrders, {}, &DelayedOrder::at);
    } else {
      reply = this->Execute(order);
      const bool lost = chance > 1.0 - this->options.lostAnswers;
      reply = lost ? EngineOrderReply::Unknown : reply;
    }
    this->controller.OnReply(order, reply, this->now);
  }
  for (const auto& engine : this->controller.MembersToProbe()) {
    noteContact(engine.server);
    this->Probe(engine.server);
  }
  const auto unresponsive = this->controller.UnresponsiveEngines();
  for (const auto& server : unresponsive) {
    if (this->directory.Find(server) != nullptr) {
      this->Probe(server);
    }
  }
  // The streams of a stalled head produce no output, so all members of its group are
  // probed.
  for (auto& engine : this->engines | std::views::values) {
    const bool isStalled = engine.memberMissingSince != TimePoint{} &&
                           this->now - engine.memberMissingSince >= kStreamTimeout;
    if (engine.alive && engine.entry.membership && isStalled) {
      for (const auto& member : this->memberLists.at(engine.entry.membership->group)) {
        this->Probe(member);
      }
    }
  }
}

EngineOrderReply FormationSimulation::Execute(const EngineOrder& aOrder)
{
  auto& engine = this->engines.at(aOrder.server);
  if (!engine.alive) {
    return EngineOrderReply::ConnectionRefused;
  }
  if (aOrder.fence < engine.highestFence) {
    return EngineOrderReply::Outdated;
  }
  engine.highestFence = aOrder.fence;
  if (aOrder.kind == OrderKind::Stage) {
    engine.entry.stagedModels = { aOrder.model };
    this->Register(engine);
    return EngineOrderReply::Begun;
  }
  if (aOrder.kind == OrderKind::Join) {
    return this->Join(engine, aOrder);
  }
  auto& membership = engine.entry.membership;
  if (!membership || membership->group != aOrder.group) {
    return EngineOrderReply::WrongState;
  }
  switch (aOrder.kind) {
    case OrderKind::Open:
      if (membership->state != MembershipState::Ready) {
        return EngineOrderReply::WrongState;
      }
      membership->state = MembershipState::Open;
      break;
    case OrderKind::Close:
      membership->state = MembershipState::Ready;
      break;
    default:
      membership.reset();
      engine.memberMissingSince = TimePoint{};
      break;
  }
  this->Register(engine);
  return EngineOrderReply::Done;
}

EngineOrderReply FormationSimulation::Join(Engine& aEngine, const EngineOrder& aOrder)
{
  if (aOrder.generation < aEngine.highestGeneration) {
    return EngineOrderReply::Outdated;
  }
  auto& membership = aEngine.entry.membership;
  if (membership && membership->group == aOrder.group) {
    return EngineOrderReply::Done;
  }
  if (membership) {
    const auto* head = this->HeadOf(membership->group);
    const bool serves =
      head != nullptr && (head->entry.membership->state == MembershipState::Open ||
                          head->entry.membership->state == MembershipState::Closing);
    this->membersTakenFromServingHead += serves ? 1 : 0;
  }
  aEngine.highestGeneration = aOrder.generation;
  this->memberLists[aOrder.group] = aOrder.members;
  const auto rank = std::ranges::find(aOrder.members, aEngine.entry.id);
  membership = GroupMembership{ aOrder.group,
                                aOrder.generation,
                                static_cast<std::size_t>(rank - aOrder.members.begin()),
                                MembershipState::Joining };
  aEngine.entry.stagedModels = { aOrder.model };
  aEngine.readyAt = this->now + kJoinTime;
  aEngine.memberMissingSince = TimePoint{};
  this->Register(aEngine);
  return EngineOrderReply::Begun;
}

int FormationSimulation::OpenGroups(const std::string& aModel) const
{
  return static_cast<int>(
    std::ranges::count_if(this->engines | std::views::values, [&](const Engine& aEngine) {
      const auto& membership = aEngine.entry.membership;
      return aEngine.alive && membership && membership->state == MembershipState::Open &&
             ModelOfGroup(membership->group) == aModel &&
             !this->HasMissingMember(membership->group);
    }));
}

bool FormationSimulation::IsOpenHead(const ServerId& aEngine) const
{
  const auto& engine = this->engines.at(aEngine);
  const auto& membership = engine.entry.membership;
  return engine.alive && membership && membership->rank == 0 &&
         membership->state == MembershipState::Open;
}

std::vector<ServerId> FormationSimulation::MembersOf(const std::string& aModel) const
{
  for (const auto& engine : this->engines | std::views::values) {
    const auto& membership = engine.entry.membership;
    if (membership && membership->state == MembershipState::Open &&
        ModelOfGroup(membership->group) == aModel) {
      return this->memberLists.at(membership->group);
    }
  }
  return {};
}

} // namespace toucanstand
