#include <cstdint>
#include <set>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "FormationSimulation.h"
#include "formation/LoadRateLimiter.h"

using namespace toucanstand;
using std::chrono::seconds;

namespace {

FormationSimulation::Options AllFaults()
{
  FormationSimulation::Options options;
  options.lostAnswers = 0.15;
  options.lateOrders = 0.15;
  options.crashes = 0.05;
  options.unreachableCrashes = 0.05;
  options.networkOutages = 0.2;
  options.storeOutages = 0.2;
  options.leaseHolderChanges = 0.1;
  return options;
}

/// Engines crash with even seeds only.
FormationSimulation::Options EvacuationFaults(std::uint64_t aSeed)
{
  auto options = AllFaults();
  options.evacuations = 0.1;
  options.crashes = aSeed % 2 == 0 ? options.crashes : 0;
  options.unreachableCrashes = 0;
  return options;
}

} // namespace

TEST_CASE("All engines and both models are in service soon after the start",
          "[formation]")
{
  // Guards against idle engines and against starvation of one model. The configured
  // engine shares amount to the same number of groups for both models.
  FormationSimulation simulation({}, 1);
  simulation.Run(seconds(5));
  CHECK(simulation.OpenGroups("large") * 4 + simulation.OpenGroups("small") * 2 == 16);
  CHECK(std::abs(simulation.OpenGroups("large") - simulation.OpenGroups("small")) <= 2);
  CHECK(simulation.partialGroups == 0);
}

TEST_CASE("A group that loses a member is repaired with a spare", "[formation]")
{
  // Guards against survivors that wait until the dead member's registration expires, and
  // against a spare that is not used.
  FormationSimulation simulation({ .domains = 1, .enginesPerDomain = 9 }, 2);
  simulation.Run(seconds(5));
  const int large = simulation.OpenGroups("large");
  const auto members = simulation.MembersOf("large");
  REQUIRE(members.size() == 4);
  simulation.Kill(members.back(), false);
  simulation.Run(seconds(4));
  CHECK(simulation.OpenGroups("large") == large);
  CHECK(simulation.membersTakenFromServingHead == 0);
}

TEST_CASE("Members of an unresponsive head are not reused while it may serve",
          "[formation]")
{
  // Guards against two groups on one engine: a head that the controller can't reach may
  // still serve with its members.
  FormationSimulation simulation({ .domains = 1, .enginesPerDomain = 8 }, 3);
  simulation.Run(seconds(5));
  const auto members = simulation.MembersOf("large");
  REQUIRE(members.size() == 4);
  simulation.Kill(members.front(), true);
  simulation.Run(seconds(20));
  CHECK(simulation.membersTakenFromServingHead == 0);
  // Guards against an endless loop in which engines that were freed for the large model
  // form groups of the small one again. Seven engines make one group of each model and
  // leave one free.
  CHECK(simulation.OpenGroups("large") == 1);
  CHECK(simulation.OpenGroups("small") == 1);
}

TEST_CASE("A group stays active while an unregistered member answers probes",
          "[formation]")
{
  // Guards against dissolving a serving group because a member can't reach the store.
  FormationSimulation simulation({ .domains = 1, .enginesPerDomain = 8 }, 4);
  simulation.Run(seconds(5));
  const int before = simulation.OpenGroups("large");
  const auto members = simulation.MembersOf("large");
  REQUIRE(members.size() == 4);
  simulation.DisconnectFromStore(members.back(), seconds(10));
  simulation.Run(seconds(9));
  CHECK(simulation.OpenGroups("large") == before);
  simulation.Run(seconds(5));
  CHECK(simulation.OpenGroups("large") == before);
}

TEST_CASE("A new lease holder keeps a serving group whose member is not registered",
          "[formation]")
{
  // Guards against a healthy group that is dissolved because the process that knew its
  // unregistered member no longer holds the lease.
  const bool isNewProcess = GENERATE(false, true);
  const int changes = GENERATE(1, 2);
  INFO("new process " << isNewProcess << ", changes " << changes);
  FormationSimulation simulation({ .domains = 1, .enginesPerDomain = 8 }, 4);
  simulation.Run(seconds(5));
  simulation.StartTraffic();
  const auto members = simulation.MembersOf("large");
  REQUIRE(members.size() == 4);
  simulation.DisconnectFromStore(members.back(), seconds(14));
  simulation.Run(std::chrono::milliseconds(4600));
  for (int change = 0; change < changes; ++change) {
    isNewProcess ? simulation.StartNewLeaseHolder() : simulation.ChangeLeaseHolder();
    simulation.Run(std::chrono::milliseconds(3200));
  }
  CHECK(simulation.IsOpenHead(members.front()));
  CHECK(simulation.MembersOf("large") == members);
  simulation.Run(seconds(10));
  CHECK(simulation.MembersOf("large") == members);
  CHECK(simulation.membersTakenFromServingHead == 0);
}

TEST_CASE("A member that is lost around a change of the lease holder is replaced",
          "[formation]")
{
  // Guards against a group that is kept although its missing member has crashed.
  const bool isNewProcess = GENERATE(false, true);
  const bool isUnreachable = GENERATE(false, true);
  const auto untilChange = GENERATE(200, 2000, 4600);
  INFO("new process " << isNewProcess << ", unreachable " << isUnreachable << ", change "
                      << untilChange << " ms after the loss");
  FormationSimulation simulation({ .domains = 1, .enginesPerDomain = 9 }, 5);
  simulation.Run(seconds(5));
  const int before = simulation.OpenGroups("large");
  const auto members = simulation.MembersOf("large");
  REQUIRE(members.size() == 4);
  simulation.Kill(members.back(), isUnreachable);
  simulation.Run(std::chrono::milliseconds(untilChange));
  isNewProcess ? simulation.StartNewLeaseHolder() : simulation.ChangeLeaseHolder();
  simulation.Run(std::chrono::milliseconds(9000 - untilChange));
  CHECK(simulation.OpenGroups("large") == before);
  CHECK(simulation.membersTakenFromServingHead == 0);
  CHECK(simulation.partialGroups == 0);
}

TEST_CASE("A member that is lost while it is not registered is replaced", "[formation]")
{
  // Guards against a group that waits for a member which nobody can see any more.
  const bool isNewProcess = GENERATE(false, true);
  INFO("new process " << isNewProcess);
  FormationSimulation simulation({ .domains = 1, .enginesPerDomain = 9 }, 6);
  simulation.Run(seconds(5));
  const int before = simulation.OpenGroups("large");
  const auto members = simulation.MembersOf("large");
  REQUIRE(members.size() == 4);
  simulation.DisconnectFromStore(members.back(), seconds(60));
  simulation.Run(std::chrono::milliseconds(4600));
  isNewProcess ? simulation.StartNewLeaseHolder() : simulation.ChangeLeaseHolder();
  simulation.Run(std::chrono::milliseconds(3200));
  REQUIRE(simulation.IsOpenHead(members.front()));
  simulation.Kill(members.back(), false);
  simulation.Run(seconds(10));
  CHECK(simulation.OpenGroups("large") == before);
  CHECK(simulation.membersTakenFromServingHead == 0);
}

TEST_CASE("No head serves with a member missing or loses one to another group",
          "[formation]")
{
  // Guards against a sequence of lost replies, late orders, engine failures, network
  // partitions and changes of the lease holder in which a head serves without a member or
  // a member is taken from a serving head.
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    FormationSimulation simulation(AllFaults(), seed);
    simulation.Run(seconds(10));
    simulation.StartTraffic();
    simulation.Run(seconds(50));
    INFO("seed " << seed);
    CHECK(simulation.membersTakenFromServingHead == 0);
    CHECK(simulation.partialGroups == 0);
  }
}

TEST_CASE("The rules for groups hold in plays that once broke them", "[formation]")
{
  struct Play
  {
    std::uint64_t seed;
    bool hasEvacuations;
  };
  const auto play = GENERATE(
    // Guards against a late order to join that takes a head back to the group that it has
    // left, from which the next group takes its member away.
    Play{ 1409, true },
    // Guards against heads and members that the lease holder does not reach and that are
    // given to another group once it reaches them again.
    Play{ 5396, false },
    Play{ 6390, true },
    Play{ 10069, true },
    // Guards against a delayed order of the former lease holder that takes a member from
    // a group which the present one has opened.
    Play{ 18727, true });
  FormationSimulation simulation(
    play.hasEvacuations ? EvacuationFaults(play.seed) : AllFaults(), play.seed);
  simulation.Run(seconds(10));
  simulation.StartTraffic();
  simulation.Run(seconds(50));
  CHECK(simulation.membersTakenFromServingHead == 0);
  CHECK(simulation.partialGroups == 0);
}

TEST_CASE("The rules for groups hold in a long search", "[.search]")
{
  // The other cases play the first seeds of the same faults.
  for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
    for (const auto& options : { AllFaults(), EvacuationFaults(seed) }) {
      FormationSimulation simulation(options, seed);
      simulation.Run(seconds(10));
      simulation.StartTraffic();
      simulation.Run(seconds(50));
      INFO("seed " << seed << ", evacuations " << options.evacuations);
      CHECK(simulation.membersTakenFromServingHead == 0);
      CHECK(simulation.partialGroups == 0);
      CHECK(simulation.contactsToEvacuatedZones == 0);
    }
  }
}

TEST_CASE("The rules for groups hold while zones are evacuated and taken back",
          "[formation]")
{
  // Guards against orders and probes to engines of an evacuated zone, and against records
  // of its groups that are stale when it is taken back: a head that serves without a
  // member, a member taken from a serving head, engines that stay without a group.
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    const auto options = EvacuationFaults(seed);
    FormationSimulation simulation(options, seed);
    simulation.Run(seconds(10));
    simulation.StartTraffic();
    simulation.Run(seconds(50));
    INFO("seed " << seed);
    CHECK(simulation.membersTakenFromServingHead == 0);
    CHECK(simulation.partialGroups == 0);
    CHECK(simulation.contactsToEvacuatedZones == 0);
    if (options.crashes == 0) {
      simulation.EndFaults();
      simulation.Run(seconds(60));
      CHECK(simulation.OpenGroups("large") * 4 + simulation.OpenGroups("small") * 2 >=
            14);
    }
  }
}

TEST_CASE("Surviving engines return to service after the faults end", "[formation]")
{
  // Guards against groups that never leave their phase, for example because their head
  // was unreachable for a time.
  FormationSimulation::Options faulty;
  faulty.lostAnswers = 0.2;
  faulty.lateOrders = 0.2;
  faulty.networkOutages = 0.3;
  faulty.leaseHolderChanges = 0.1;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    FormationSimulation simulation(faulty, seed);
    simulation.Run(seconds(60));
    simulation.EndFaults();
    simulation.Run(seconds(60));
    INFO("seed " << seed);
    CHECK(simulation.OpenGroups("large") * 4 + simulation.OpenGroups("small") * 2 >= 14);
  }
}

namespace {

ServerEntry FreeEngine(const std::string& aId,
                       const std::string& aDomain,
                       std::vector<std::string> aStaged)
{
  ServerEntry entry;
  entry.id = ServerId(aId);
  entry.pool = PoolId("engines");
  entry.domain = DomainId(aDomain);
  entry.endpoint = { "10.0.0.1", 1 };
  entry.startedAtUnixMs = 1;
  entry.stagedModels = std::move(aStaged);
  return entry;
}

EngineCostModel TwoModels(std::size_t aConcurrentLoads)
{
  EngineCostModel cost;
  cost.loadsPerSecond = 10;
  cost.concurrentLoads = aConcurrentLoads;
  ModelTerms large;
  large.name = "large";
  large.groupSize = 4;
  large.engineShare = 0.6;
  large.loadTime = seconds(16);
  ModelTerms small = large;
  small.name = "small";
  small.groupSize = 2;
  small.engineShare = 0.4;
  cost.models = { large, small };
  return cost;
}

} // namespace

TEST_CASE("The load that brings the most engines into service is ordered first",
          "[formation]")
{
  // Guards against loads that slow one another down so that none ends, while three ready
  // engines wait for a fourth. In the bench run kfh trouble-1 this left a third of the
  // engines idle for half of the day.
  ServerDirectory directory;
  for (const std::string id : { "a1", "a2", "a3", "a4" }) {
    directory.Put(FreeEngine(id, "a", {}));
  }
  for (const std::string id : { "b1", "b2", "b3" }) {
    directory.Put(FreeEngine(id, "b", { "large" }));
  }
  directory.Put(FreeEngine("b4", "b", {}));
  const auto cost = TwoModels(1);
  FormationInputs inputs{ directory, cost, {}, true };
  FormationController controller(PoolId("engines"));
  controller.StartTerm(1);
  TimePoint now{ seconds(100) };
  std::vector<EngineOrder> loads;
  for (int tick = 0; tick < 5; ++tick) {
    for (const auto& order : controller.Plan(inputs, now)) {
      REQUIRE(order.kind == OrderKind::Stage);
      controller.OnReply(order, EngineOrderReply::Begun, now);
      loads.push_back(order);
    }
    now += std::chrono::milliseconds(200);
  }
  REQUIRE(loads.size() == 1);
  CHECK(loads.front().server == ServerId("b4"));
  CHECK(loads.front().model == "large");

  // When the load has finished, the group forms and the next load starts.
  directory.Put(FreeEngine("b4", "b", { "large" }));
  const auto orders = controller.Plan(inputs, now);
  CHECK(std::ranges::count(orders, OrderKind::Join, &EngineOrder::kind) == 4);
  CHECK(std::ranges::count(orders, OrderKind::Stage, &EngineOrder::kind) == 1);
}

TEST_CASE("An order to load weights is retried when it gets no reply", "[formation]")
{
  // Guards against an engine that stays idle for four load times because the order to
  // load was lost.
  ServerDirectory directory;
  directory.Put(FreeEngine("a1", "a", { "small" }));
  directory.Put(FreeEngine("a2", "a", {}));
  const auto cost = TwoModels(1);
  FormationInputs inputs{ directory, cost, {}, true };
  FormationController controller(PoolId("engines"));
  controller.StartTerm(1);
  TimePoint now{ seconds(100) };
  int loads = 0;
  for (int tick = 0; tick < 30; ++tick) {
    for (const auto& order : controller.Plan(inputs, now)) {
      CHECK(order.server == ServerId("a2"));
      controller.OnReply(order, EngineOrderReply::Unknown, now);
      ++loads;
    }
    now += std::chrono::milliseconds(200);
  }
  CHECK(loads == 2);
}

TEST_CASE("An engine that wants nothing for now is in no new group", "[formation]")
{
  // Guards against a group that waits for a member which must get no order.
  ServerDirectory directory;
  directory.Put(FreeEngine("a1", "a", { "small" }));
  directory.Put(FreeEngine("a2", "a", { "small" }));
  const auto cost = TwoModels(1);
  bool isWaiting = true;
  FormationInputs inputs{ directory, cost, {}, true };
  inputs.isWaiting = [&isWaiting](const ServerId& aServer) {
    return isWaiting && aServer == ServerId("a1");
  };
  FormationController controller(PoolId("engines"));
  controller.StartTerm(1);
  TimePoint now{ seconds(100) };
  for (int tick = 0; tick < 10; ++tick) {
    for (const auto& order : controller.Plan(inputs, now)) {
      CHECK(order.server != ServerId("a1"));
      CHECK(order.kind != OrderKind::Join);
    }
    now += std::chrono::milliseconds(200);
  }
  isWaiting = false;
  const auto orders = controller.Plan(inputs, now);
  CHECK(std::ranges::count(orders, OrderKind::Join, &EngineOrder::kind) == 2);
}

TEST_CASE("A plan during an evacuation uses the engines of the other zones only",
          "[formation]")
{
  // Guards against orders to engines of an evacuated zone, against groups that end there
  // although they will serve again, and against a mix of models that counts them. The
  // leader changes once meanwhile.
  ServerDirectory directory;
  for (const std::string zone : { "a", "b" }) {
    for (std::size_t number = 1; number <= 8; ++number) {
      auto entry = FreeEngine(zone + std::to_string(number), zone, { "large" });
      entry.zone = ZoneId(zone);
      if (zone == "a" && number <= 4) {
        // Its last member has no registration any more.
        entry.membership =
          GroupMembership{ GroupIdFor("large", 1),
                           1,
                           number - 1,
                           number == 1 ? MembershipState::Open : MembershipState::Ready };
      }
      directory.Put(entry);
    }
  }
  directory.Remove(ServerId("a4"), TimePoint{ seconds(99) });
  const auto cost = TwoModels(1);
  bool isEvacuated = true;
  FormationInputs inputs{ directory, cost, {}, true };
  inputs.isEvacuatedZone = [&isEvacuated](const ZoneId& aZone) {
    return isEvacuated && aZone == ZoneId("a");
  };
  FormationController controller(PoolId("engines"));
  TimePoint now{ seconds(100) };
  std::size_t joins = 0;
  for (int tick = 0; tick < 40; ++tick) {
    if (tick % 20 == 0) {
      controller.StartTerm(tick + 1);
    }
    for (const auto& order : controller.Plan(inputs, now)) {
      CHECK(order.server.Value().starts_with("b"));
      joins += order.kind == OrderKind::Join ? 1 : 0;
    }
    now += std::chrono::milliseconds(200);
  }
  CHECK(joins > 0);
  CHECK(controller.Summary().find("a=") == std::string::npos);
  CHECK(controller.MembersToProbe().empty());

  isEvacuated = false;
  bool ordersToZone = false;
  for (const auto& order : controller.Plan(inputs, now)) {
    ordersToZone = ordersToZone || order.server.Value().starts_with("a");
    CHECK(order.kind != OrderKind::Leave);
  }
  CHECK(ordersToZone);
}

TEST_CASE("A group that formed when its zone was evacuated does not hold up the others",
          "[formation]")
{
  // Guards against engines of the other zones that get no weights of a second model, and
  // so can't be reassigned, until the zone is taken back.
  ServerDirectory directory;
  for (const std::string zone : { "a", "b" }) {
    for (std::size_t number = 1; number <= 4; ++number) {
      auto entry = FreeEngine(zone + std::to_string(number), zone, { "large" });
      entry.zone = ZoneId(zone);
      if (zone == "b") {
        entry.membership =
          GroupMembership{ GroupIdFor("large", 1),
                           1,
                           number - 1,
                           number == 1 ? MembershipState::Open : MembershipState::Ready };
      }
      directory.Put(entry);
    }
  }
  const auto cost = TwoModels(1);
  bool isEvacuated = false;
  FormationInputs inputs{ directory, cost, {}, true };
  inputs.isEvacuatedZone = [&isEvacuated](const ZoneId& aZone) {
    return isEvacuated && aZone == ZoneId("a");
  };
  FormationController controller(PoolId("engines"));
  controller.StartTerm(1);
  TimePoint now{ seconds(100) };
  const auto formed = controller.Plan(inputs, now);
  REQUIRE(std::ranges::count(formed, OrderKind::Join, &EngineOrder::kind) == 4);
  isEvacuated = true;
  now += std::chrono::milliseconds(200);
  const auto orders = controller.Plan(inputs, now);
  CHECK(std::ranges::count(orders, OrderKind::Stage, &EngineOrder::kind) == 1);
}

TEST_CASE("An engine with an unanswered join order is not given to another group",
          "[formation]")
{
  // Guards against a member that leaves an unresponsive head, is brought back by a late
  // order to join, and is then assigned to another group while the head serves. The
  // simulation showed this failure with seed 171.
  ServerDirectory directory;
  const std::vector<std::string> names = { "a1", "a2", "a3", "a4" };
  for (const auto& name : names) {
    directory.Put(FreeEngine(name, "a", { "large" }));
  }
  const auto cost = TwoModels(6);
  FormationInputs inputs{ directory, cost, {}, false };
  FormationController controller(PoolId("engines"));
  controller.StartTerm(1);
  TimePoint now{ seconds(100) };
  GroupId group;
  ServerId head;
  for (const auto& order : controller.Plan(inputs, now)) {
    if (order.kind == OrderKind::Join) {
      group = order.group;
      head = order.members.front();
      controller.OnReply(order,
                         order.server == ServerId("a3") ? EngineOrderReply::Unknown
                                                        : EngineOrderReply::Begun,
                         now);
    }
  }
  REQUIRE(head != ServerId("a3"));
  const auto put = [&](const std::string& aName, bool aIsMember) {
    auto entry = FreeEngine(aName, "a", { "large", "small" });
    const auto rank = static_cast<std::size_t>(aName.back() - '1');
    if (aIsMember) {
      entry.membership = GroupMembership{ group, 100'001, rank, MembershipState::Open };
    }
    directory.Put(entry);
  };
  for (const auto& name : names) {
    put(name, true);
  }
  (void)controller.Plan(inputs, now);
  controller.OnUnresponsive(head);
  (void)controller.Plan(inputs, now);
  // The other members have left; whether the head still serves is unknown.
  put("a2", false);
  put("a3", false);
  put("a4", false);
  const auto joinsOf = [&] {
    std::set<ServerId> joins;
    for (const auto& order : controller.Plan(inputs, now)) {
      if (order.kind == OrderKind::Join) {
        joins.insert(order.server);
      }
    }
    return joins;
  };
  CHECK(joinsOf() == std::set<ServerId>{ ServerId("a2"), ServerId("a4") });
  controller.OnReply({ head, {}, OrderKind::Leave, group, 100'001, "large", {}, 1 },
                     EngineOrderReply::Done,
                     now);
  CHECK(controller.Describe().dump().find("dissolved") != std::string::npos);
}

TEST_CASE("A lease holder does not give up because a later order overtook an earlier one",
          "[formation]")
{
  // Guards against a change of the lease holder for each order that arrives after a later
  // one with a higher fencing token, and against one that goes on although an engine has
  // orders of another lease holder.
  ServerDirectory directory;
  directory.Put(FreeEngine("a1", "a", { "small" }));
  directory.Put(FreeEngine("a2", "a", { "small" }));
  const auto cost = TwoModels(6);
  FormationInputs inputs{ directory, cost, {}, false };
  FormationController controller(PoolId("engines"));
  controller.StartTerm(5);
  TimePoint now{ seconds(100) };
  inputs.fence = 7;
  const auto first = controller.Plan(inputs, now);
  inputs.fence = 9;
  now += GroupLifecycle::kOrderRetryInterval;
  const auto repeated = controller.Plan(inputs, now);
  REQUIRE(first.size() == 2);
  REQUIRE(repeated.size() == 2);
  CHECK(first.front().fence == 7);
  CHECK(repeated.front().fence == 9);
  controller.OnReply(first.front(), EngineOrderReply::Outdated, now);
  CHECK_FALSE(controller.IsOutdated());
  controller.OnReply(repeated.front(), EngineOrderReply::Outdated, now);
  CHECK(controller.IsOutdated());
}

TEST_CASE("The fencing token of orders never falls within a term", "[formation]")
{
  // Guards against engines that reject the orders of the lease holder as outdated after
  // it has read an older copy of the store.
  ServerDirectory directory;
  directory.Put(FreeEngine("a1", "a", { "small" }));
  directory.Put(FreeEngine("a2", "a", { "small" }));
  const auto cost = TwoModels(6);
  FormationInputs inputs{ directory, cost, {}, false };
  FormationController controller(PoolId("engines"));
  controller.StartTerm(5);
  TimePoint now{ seconds(100) };
  // The revision that the copy has reached, and the token that the orders must have.
  for (const auto& [revision, token] : std::vector<std::pair<std::int64_t, std::int64_t>>{
         { 3, 5 }, { 9, 9 }, { 8, 9 } }) {
    inputs.fence = revision;
    const auto orders = controller.Plan(inputs, now);
    REQUIRE(orders.size() == 2);
    CHECK(orders.front().fence == token);
    now += GroupLifecycle::kOrderRetryInterval;
  }
}

TEST_CASE("Loads from the weight store stay within the configured rate", "[formation]")
{
  // Guards against starting more loads in any five seconds than the configured rate
  // allows.
  LoadRateLimiter limiter;
  TimePoint now{ seconds(100) };
  std::vector<TimePoint> starts;
  for (int step = 0; step < 600; ++step) {
    now += std::chrono::milliseconds(50);
    if (limiter.TryAcquire(1, 4.0, now)) {
      starts.push_back(now);
    }
  }
  for (std::size_t first = 0; first < starts.size(); ++first) {
    const auto inWindow = std::ranges::count_if(starts, [&](TimePoint aStart) {
      return aStart >= starts[first] && aStart < starts[first] + seconds(5);
    });
    CHECK(inWindow <= 4 * 5 * 1.1 + 3);
  }
  CHECK(starts.size() > 100);
}
