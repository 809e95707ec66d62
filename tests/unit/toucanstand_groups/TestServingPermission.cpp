#include <catch2/catch.hpp>

#include "permission/ServingPermission.h"

using namespace toucanstand;
using namespace std::chrono_literals;

namespace {

struct Fixture
{
  Fixture()
  {
    for (const std::string id : { "a", "b", "s" }) {
      BackendServer server;
      server.id = ServerId(id);
      server.pool = PoolId("p");
      server.domain = DomainId("d");
      server.kind = id == "s" ? ServerKind::Service : ServerKind::Engine;
      this->list.servers.push_back(server);
      Observation observation;
      observation.server = server.id;
      observation.reachable = true;
      observation.group = GroupId(id == "s" ? "" : "g");
      observation.generation = id == "s" ? 0 : 1;
      observation.observedAt = this->now;
      this->observations[server.id] = observation;
    }
  }

  /// Ids of the candidates.
  [[nodiscard]] std::vector<std::string> Ids() const
  {
    std::vector<std::string> ids;
    for (const auto& candidate :
         PermittedCandidates(this->groups, this->observations, this->list, this->now)) {
      ids.push_back(candidate.id);
    }
    return ids;
  }

  TimePoint now{ 100s };
  std::vector<ReplicaGroup> groups = {
    { GroupId("g"), 1, PoolId("p"), DomainId("d"), { ServerId("a"), ServerId("b") } }
  };
  PlatformList list;
  std::map<ServerId, Observation> observations;
};

using Ids = std::vector<std::string>;

} // namespace

TEST_CASE("A group serves only while every member reports it", "[groups]")
{
  // Guards against a group that serves with a member missing or leaving.
  Fixture fixture;
  auto& member = fixture.observations.at(ServerId("b"));
  CHECK(fixture.Ids() == Ids{ "g", "s" });
  SECTION("other generation")
  {
    member.generation = 2;
  }
  SECTION("other group")
  {
    member.group = GroupId("h");
  }
  SECTION("unreachable")
  {
    member.reachable = false;
  }
  SECTION("leaving by its own report")
  {
    member.leaving = true;
  }
  SECTION("leaving by the list")
  {
    fixture.list.servers[1].leaving = true;
  }
  SECTION("report too old")
  {
    member.observedAt -= 2s;
  }
  SECTION("never observed")
  {
    fixture.observations.erase(ServerId("b"));
  }
  CHECK(fixture.Ids() == Ids{ "s" });
}

TEST_CASE("A group's permission ends with its oldest report, a service's after 30 s",
          "[groups]")
{
  Fixture fixture;
  fixture.observations.at(ServerId("b")).observedAt -= 1500ms;
  auto candidates =
    PermittedCandidates(fixture.groups, fixture.observations, fixture.list, fixture.now);
  REQUIRE(candidates.size() == 2);
  CHECK(candidates[0].usableUntil == fixture.now + 500ms);
  CHECK(candidates[0].server == ServerId("a"));
  CHECK(candidates[1].usableUntil == fixture.now + 30s);
  fixture.now += 29s;
  CHECK(fixture.Ids() == Ids{ "s" });
  fixture.now += 1s;
  CHECK(fixture.Ids().empty());
}

TEST_CASE("Without the store, a newer generation is derived from members' reports",
          "[groups]")
{
  // Guards against a repaired group that goes out of service during an outage of the
  // store, and against deriving a group from an incomplete set of reports.
  Fixture fixture;
  auto added = fixture.list.servers[0];
  added.id = ServerId("c");
  fixture.list.servers.push_back(added);
  auto& second = fixture.observations[ServerId("c")];
  second = fixture.observations.at(ServerId("a"));
  second.server = ServerId("c");
  second.generation = 2;
  const auto derive = [&fixture] {
    return DeriveGroups(fixture.groups, fixture.observations, fixture.list);
  };
  CHECK(derive() == fixture.groups);
  fixture.observations.at(ServerId("b")).generation = 2;
  CHECK(derive()[0].members == std::vector{ ServerId("b"), ServerId("c") });
  fixture.groups = derive();
  CHECK(fixture.Ids() == Ids{ "g", "s" });
}
