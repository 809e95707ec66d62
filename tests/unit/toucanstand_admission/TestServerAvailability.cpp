#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include "limits/ServerAvailability.h"

using namespace toucanstand;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };
using Obstacle = ServerAvailability::Obstacle;

/// Servers a and b, and what is known of them.
struct Fixture
{
  Fixture()
  {
    this->Register("a", 1);
    this->Register("b", 1);
    this->limits.SetFleet({ "vm-1", 1 }, {});
  }

  void Register(const char* aServer, std::int64_t aStart)
  {
    ServerEntry entry;
    entry.id = ServerId(aServer);
    entry.startedAtUnixMs = aStart;
    entry.zone = ZoneId("zone-" + std::string(aServer));
    this->directory.Put(entry);
  }

  bool StateWait(Duration aTime, Duration aAt = 0ms, const char* aServer = "a")
  {
    const auto run = this->directory.RunOf(ServerId(aServer));
    return this->availability.OnWaitStated(run, aTime, kStart + aAt);
  }

  ServerAvailability::Answer Ask(Duration aAt, const char* aServer = "a") const
  {
    return this->availability.WhenMayBeSent(ServerId(aServer), kStart + aAt);
  }

  ServerDirectory directory;
  ServerRateLimits limits;
  ZoneEvacuations evacuations;
  ColdServers coldServers{ directory, {} };
  ServerAvailability availability{ directory, limits, evacuations, coldServers };
};

} // namespace

TEST_CASE("A server gets nothing for the time that it named, and then at once",
          "[availability]")
{
  // Guards against requests within the time, and against a server that stays without
  // them.
  Fixture servers;
  CHECK(servers.Ask(0ms).obstacle == Obstacle::None);
  CHECK(servers.StateWait(3s));
  CHECK(servers.Ask(0ms).obstacle == Obstacle::Waiting);
  CHECK(servers.Ask(1s).wait == Duration(2s));
  CHECK(servers.Ask(2999ms).obstacle == Obstacle::Waiting);
  CHECK(servers.availability.IsWaiting(ServerId("a"), kStart + 2999ms));
  CHECK(servers.Ask(3s).obstacle == Obstacle::None);
  CHECK(servers.Ask(3s).wait == Duration(0ms));
  CHECK(servers.Ask(1s, "b").obstacle == Obstacle::None);
  CHECK(servers.availability.Spared(kStart + 1s).size() == 1);
  CHECK(servers.availability.Spared(kStart + 3s).empty());
}

TEST_CASE("A shorter time does not shorten a longer one, and a longer one extends it",
          "[availability]")
{
  // Guards against requests within a time that the server has named, whichever of two
  // answers arrives first.
  Fixture servers;
  CHECK(servers.StateWait(3s));
  CHECK_FALSE(servers.StateWait(1s, 500ms));
  CHECK(servers.Ask(500ms).wait == Duration(2500ms));
  CHECK_FALSE(servers.StateWait(5s, 1s));
  CHECK(servers.Ask(1s).wait == Duration(5s));
  CHECK_FALSE(servers.StateWait(0s, 2s));
  CHECK_FALSE(servers.StateWait(-5s, 2s));
  CHECK(servers.Ask(2s).wait == Duration(4s));
  // After its end, the next time is news again.
  CHECK(servers.StateWait(1s, 6s));
  CHECK(servers.Ask(6s).wait == Duration(1s));
}

TEST_CASE("A time that is too long is cut, and no time lasts for ever", "[availability]")
{
  // Guards against a server that is lost because of one damaged answer.
  Fixture servers;
  CHECK(servers.StateWait(std::chrono::hours(24 * 365)));
  CHECK(servers.Ask(0ms).wait == ServerAvailability::kMaxWait);
  CHECK(servers.Ask(ServerAvailability::kMaxWait).obstacle == Obstacle::None);
}

TEST_CASE("A time holds for the run that named it alone", "[availability]")
{
  // Guards against a restarted server that gets nothing, and against requests because a
  // registration lapses or is written again.
  Fixture servers;
  const auto former = servers.directory.RunOf(ServerId("a"));
  CHECK(servers.StateWait(3s));
  servers.Register("a", 1);
  CHECK(servers.Ask(1s).obstacle == Obstacle::Waiting);
  servers.directory.Remove(ServerId("a"), kStart);
  servers.availability.OnTime(kStart + 1s);
  CHECK(servers.Ask(1s).obstacle == Obstacle::Waiting);
  servers.Register("a", 1);
  CHECK(servers.Ask(1s).obstacle == Obstacle::Waiting);

  servers.Register("a", 2);
  CHECK(servers.Ask(1s).obstacle == Obstacle::None);
  CHECK(servers.availability.Spared(kStart + 1s).empty());
  CHECK_FALSE(servers.availability.OnWaitStated(former, 3s, kStart + 1s));
  CHECK(servers.Ask(1s).obstacle == Obstacle::None);
  CHECK(servers.StateWait(1s, 1s));
  CHECK(servers.Ask(1s).wait == Duration(1s));
}

TEST_CASE("What is known of a server ends with its run or its time", "[availability]")
{
  // Guards against state that grows with each server that ever was.
  Fixture servers;
  servers.StateWait(3s);
  servers.StateWait(3s, 0ms, "b");
  CHECK(servers.availability.Describe(kStart).size() == 2);
  servers.Register("b", 2);
  servers.availability.OnTime(kStart + 1s);
  CHECK(servers.availability.Describe(kStart + 1s).size() == 1);
  CHECK(servers.availability.Describe(kStart + 1s)[0].at("wait_ms") == 2000);
  servers.availability.OnTime(kStart + 3s);
  CHECK(servers.availability.Describe(kStart + 3s).empty());
}

TEST_CASE("Leaving comes before a time, and both before a rate limit", "[availability]")
{
  // Guards against a return time for a server that never takes requests again, and
  // against one at which the next obstacle stands in the way.
  Fixture servers;
  const auto limit = StatedRateLimit{ StatedRateLimit::Kind::Limited, 1.0 };
  servers.limits.OnResponse(ServerId("a"), limit, false, kStart);
  CHECK(servers.Ask(0ms).obstacle == Obstacle::RateLimit);
  CHECK(servers.Ask(0ms).wait == Duration(1s));
  CHECK(servers.StateWait(3s));
  CHECK(servers.Ask(0ms).obstacle == Obstacle::Waiting);
  CHECK(servers.Ask(0ms).wait == Duration(3s));
  CHECK(servers.availability.Spared(kStart).size() == 1);
  servers.directory.MarkLeaving(servers.directory.RunOf(ServerId("a")));
  CHECK(servers.Ask(0ms).obstacle == Obstacle::Leaving);
  CHECK(!servers.Ask(0ms).wait);
}

TEST_CASE("Nothing is sent to the servers of an evacuated zone", "[availability]")
{
  // Guards against requests, orders and probes that reach a zone which the operator has
  // emptied, and against servers of other zones that are left out.
  Fixture servers;
  servers.evacuations.Begin(ZoneId("zone-a"), kStart);
  CHECK(servers.Ask(0ms).obstacle == Obstacle::Evacuated);
  CHECK_FALSE(servers.Ask(0ms).wait.has_value());
  CHECK_FALSE(servers.availability.MayBeContacted(ServerId("a"), kStart));
  CHECK(servers.Ask(0ms, "b").obstacle == Obstacle::None);
  CHECK(servers.availability.MayBeContacted(ServerId("b"), kStart));
  servers.evacuations.End(ZoneId("zone-a"), kStart + 1s);
  CHECK(servers.Ask(1s).obstacle == Obstacle::None);
  CHECK(servers.availability.MayBeContacted(ServerId("a"), kStart + 1s));
}
