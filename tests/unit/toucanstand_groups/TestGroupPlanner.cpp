#include <algorithm>

#include <catch2/catch.hpp>

#include "planning/BaselinePlanners.h"
#include "planning/GroupPlanner.h"

using namespace toucanstand;

namespace {

/// A domain with two serving groups, {a, b} and {c, d}, and the spares e and f.
PlanningInput TwoGroups()
{
  PlanningInput input;
  input.pools = { { PoolId("p"), 2, 2, 1000 } };
  input.record.domain = DomainId("d");
  input.record.nextGroup = 3;
  for (const std::string id : { "a", "b", "c", "d", "e", "f" }) {
    PlannedServer server;
    server.id = ServerId(id);
    server.pool = PoolId("p");
    server.reachable = true;
    input.servers.push_back(server);
  }
  for (const std::size_t first : { 0, 2 }) {
    GroupEntry entry;
    entry.group = { GroupId(first == 0 ? "d-1" : "d-2"),
                    1,
                    PoolId("p"),
                    DomainId("d"),
                    { input.servers[first].id, input.servers[first + 1].id } };
    entry.state = GroupState::Serving;
    entry.size = 2;
    for (const std::size_t index : { first, first + 1 }) {
      input.servers[index].group = entry.group.id;
      input.servers[index].generation = 1;
      input.servers[index].holdsWeights = true;
    }
    input.record.groups.push_back(entry);
  }
  return input;
}

std::vector<ServerId> MembersOf(const Plan& aPlan, const std::string& aGroup)
{
  const auto* entry = aPlan.record.Find(GroupId(aGroup));
  return entry == nullptr ? std::vector<ServerId>{} : entry->group.members;
}

} // namespace

TEST_CASE("A lost member is replaced by the spare that holds the weights", "[groups]")
{
  // Guards against loading weights onto one spare although another already holds them.
  auto input = TwoGroups();
  CHECK(GroupPlanner().MakePlan(input).record.HasSameContent(input.record));
  input.servers[0].reachable = false;
  input.servers[5].holdsWeights = true;
  const auto plan = GroupPlanner().MakePlan(input);
  CHECK(MembersOf(plan, "d-1") == std::vector{ ServerId("b"), ServerId("f") });
  CHECK(plan.record.Find(GroupId("d-1"))->group.generation == 2);
  CHECK(plan.record.orders.size() == 2);
  CHECK(plan.weightBytes == 0);
}

TEST_CASE("Survivors are merged when spares are missing or the weight store is busy",
          "[groups]")
{
  // Guards against two incomplete groups that both wait although one of them could serve.
  auto input = TwoGroups();
  input.servers[0].reachable = false;
  input.servers[2].reachable = false;
  SECTION("no spares")
  {
    input.servers.resize(4);
  }
  SECTION("weight store busy")
  {
    input.mayLoadWeights = false;
    const auto loading = GroupEntry{
      { GroupId("d-9"), 1, PoolId("p"), DomainId("d"), { ServerId("e"), ServerId("f") } },
      GroupState::Forming,
      2
    };
    input.record.groups.push_back(loading);
    input.pools[0].wantedGroups = 3;
    input.servers.push_back(input.servers[4]);
    input.servers.back().id = ServerId("g");
  }
  const auto plan = GroupPlanner().MakePlan(input);
  CHECK(MembersOf(plan, "d-1") == std::vector{ ServerId("b"), ServerId("d") });
  CHECK(plan.record.Find(GroupId("d-2")) == nullptr);
  CHECK(plan.weightBytes == 0);
}

TEST_CASE("An aborted load does not block the weight store", "[groups]")
{
  // Guards against repairs that wait for a load that was aborted.
  auto input = TwoGroups();
  input.servers[0].reachable = false;
  input.mayLoadWeights = false;
  CHECK(GroupPlanner().MakePlan(input).weightBytes == 1000);
}

TEST_CASE("Only one group loads from the weight store at a time", "[groups]")
{
  // Guards against concurrent loads that share the bandwidth and delay each other.
  auto input = TwoGroups();
  input.servers[0].reachable = false;
  input.servers[2].reachable = false;
  const auto plan = GroupPlanner().MakePlan(input);
  CHECK(MembersOf(plan, "d-1") == std::vector{ ServerId("b"), ServerId("e") });
  CHECK(plan.weightBytes == 1000);
}

TEST_CASE("The pool that returns the most servers per byte loads first", "[groups]")
{
  // Guards against a large load that delays a small one.
  auto input = TwoGroups();
  input.pools.push_back({ PoolId("q"), 2, 1, 100 });
  for (const std::string id : { "g", "h" }) {
    PlannedServer server;
    server.id = ServerId(id);
    server.pool = PoolId("q");
    server.reachable = true;
    input.servers.push_back(server);
  }
  input.servers[0].reachable = false;
  CHECK(GroupPlanner().MakePlan(input).weightBytes == 200);
}

TEST_CASE("The group of a leaving server drains before it is re-formed", "[groups]")
{
  // Guards against a planned shutdown that aborts requests in flight.
  auto input = TwoGroups();
  input.servers[0].leaving = true;
  input.servers[1].busy = true;
  auto plan = GroupPlanner().MakePlan(input);
  CHECK(plan.record.Find(GroupId("d-1"))->state == GroupState::Draining);
  CHECK(MembersOf(plan, "d-1") == std::vector{ ServerId("a"), ServerId("b") });

  input.record = plan.record;
  input.servers[1].busy = false;
  plan = GroupPlanner().MakePlan(input);
  CHECK(MembersOf(plan, "d-1") == std::vector{ ServerId("b"), ServerId("e") });
}

TEST_CASE("Groups beyond the wanted number drain and are removed", "[groups]")
{
  auto input = TwoGroups();
  input.pools[0].wantedGroups = 1;
  input.servers[2].busy = true;
  CHECK(GroupPlanner().MakePlan(input).record.Find(GroupId("d-2"))->state ==
        GroupState::Draining);
  input.servers[2].busy = false;
  CHECK(GroupPlanner().MakePlan(input).record.groups.size() == 1);
}

TEST_CASE("Every strategy produces a consistent record", "[groups]")
{
  // Guards against a strategy that, for some input, puts a server in two groups.
  Random random(1);
  RandomPlanner randomPlanner(random);
  FirstFitPlanner firstFitPlanner;
  GroupPlanner groupPlanner;
  for (int round = 0; round < 3000; ++round) {
    auto input = TwoGroups();
    input.mayLoadWeights = random.Below(2) == 0;
    input.weightStoreUnlimited = random.Below(4) == 0;
    input.pools[0].wantedGroups = random.Below(4);
    for (auto& server : input.servers) {
      server.reachable = random.Below(4) != 0;
      server.leaving = random.Below(5) == 0;
      server.busy = random.Below(3) == 0;
      server.holdsWeights = random.Below(2) == 0;
      server.generation += random.Below(8) == 0 ? 1 : 0;
    }
    for (PlanningStrategy* strategy : { static_cast<PlanningStrategy*>(&randomPlanner),
                                        static_cast<PlanningStrategy*>(&firstFitPlanner),
                                        static_cast<PlanningStrategy*>(&groupPlanner) }) {
      INFO("seed 1, round " << round);
      REQUIRE(!FindRecordError(strategy->MakePlan(input).record));
    }
  }
}
