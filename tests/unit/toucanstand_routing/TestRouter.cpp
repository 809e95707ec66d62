#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <memory>

#include <nlohmann/json.hpp>

#include "routing/Router.h"

using namespace toucanstand;
using namespace std::chrono_literals;

namespace {

const PoolId kPool("assistant");

/// Views of a pool whose validity is renewed with each view, and a router that uses it.
struct World
{
  explicit World(int aCandidates, RouterSettings aSettings = {}, std::uint64_t aSeed = 1)
    : router(std::move(aSettings), Random(aSeed))
  {
    this->view.mayServe = true;
    for (int number = 0; number < aCandidates; ++number) {
      Candidate candidate;
      candidate.id = "group-" + std::to_string(number);
      candidate.pool = kPool;
      candidate.zone = ZoneId("zone-" + std::to_string(number % 3));
      this->view.candidates.push_back(candidate);
    }
    this->Renew();
  }

  Candidate& At(std::size_t aIndex) { return this->view.candidates[aIndex]; }

  void Renew()
  {
    this->view.receivedAt = this->now;
    for (auto& candidate : this->view.candidates) {
      candidate.usableUntil = this->now + 2s;
    }
    this->router.Update(this->view, this->now);
  }

  void Report(std::size_t aIndex, double aRunning, double aCapacity = 16)
  {
    auto& load = this->At(aIndex).load;
    load = { load.sequence + 1, aRunning, 0, aCapacity, this->now, {} };
  }

  std::string Choose()
  {
    const auto chosen = this->router.Choose(this->query, this->now);
    return chosen ? chosen->id : std::string(Name(chosen.LastReason()));
  }

  /// Share of requests by candidate, when each is answered before the next is sent.
  std::map<std::string, double> Shares(int aRequests = 2000)
  {
    std::map<std::string, double> shares;
    for (int request = 0; request < aRequests; ++request) {
      shares[this->Choose()] += 1.0 / aRequests;
    }
    return shares;
  }

  void Attempt(const std::string& aId, AttemptEnd aEnd, Duration aLatency = 10ms)
  {
    this->router.OnSent(aId, this->now);
    this->now += 1ms;
    this->router.OnFinished(aId, aEnd, aLatency, this->now);
  }

  TimePoint now{ 100s };
  Router router;
  WorldView view;
  RouteQuery query{ kPool, WorkClass::Short, {}, {} };
};

} // namespace

TEST_CASE("A candidate is used only while it is valid, listed and reachable", "[routing]")
{
  // Guards against sending to a group without permission, to a leaving server, or again
  // to a server that refuses connections.
  World world(2);
  world.At(1).usableUntil = world.now + 1s;
  world.router.Update(world.view, world.now);
  world.now += 1s;
  CHECK(world.Shares()["group-0"] == Approx(1.0));

  const WorldView beforeRefusal = world.view;
  world.Attempt("group-0", AttemptEnd::ConnectFailed);
  CHECK(world.Choose() == "no-candidate");
  world.router.Update(beforeRefusal, world.now);
  CHECK(world.Choose() == "no-candidate");
  world.Renew();
  CHECK(world.Shares().size() == 2);

  // An extended validity that rests on an observation made before the refusal.
  world.Report(0, 0);
  world.Renew();
  world.now += 10ms;
  world.Attempt("group-0", AttemptEnd::ConnectFailed);
  world.Renew();
  CHECK_FALSE(world.Shares().contains("group-0"));
  world.now += 10ms;
  world.Report(0, 0);
  world.Renew();
  CHECK(world.Shares().contains("group-0"));

  world.view.candidates.pop_back();
  world.Renew();
  CHECK(world.Shares().size() == 1);
  world.query.excluded = { "group-0" };
  CHECK(world.Choose() == "all-excluded");
  world.query.pool = PoolId("other");
  CHECK(world.Choose() == "unknown-pool");
  world.view.mayServe = false;
  world.Renew();
  CHECK(world.Choose() == "isolated");
}

TEST_CASE("No report steers most of the traffic to one server", "[routing]")
{
  // Guards against a server that attracts all requests by an absurd, old or sudden
  // report.
  constexpr double kNotANumber = std::numeric_limits<double>::quiet_NaN();
  World world(10);
  for (std::size_t index = 0; index < 10; ++index) {
    world.Report(index, 8);
  }
  world.Renew();
  const auto share = [&world] { return world.Shares()["group-0"]; };
  const auto ignored = [&world](const char* aVerdict) {
    return world.router.Describe(world.now)["reports"][aVerdict].get<int>();
  };
  // Two random choices out of ten give one candidate at most a fifth.
  const double bound = 0.25;

  SECTION("implausible numbers are ignored and counted")
  {
    for (const double number : { -1.0, kNotANumber, 2e6, HUGE_VAL }) {
      INFO(number);
      world.Report(0, number);
      world.Renew();
      CHECK(share() == Approx(0.1).margin(0.05));
      world.Report(0, 8, number);
      world.Renew();
      CHECK(share() == Approx(0.1).margin(0.05));
    }
    CHECK(ignored("implausible") == 8);
  }
  SECTION("an older sequence is ignored and counted, until the last report is stale")
  {
    world.At(0).load = { 0, 0, 0, 16, world.now, {} };
    world.Renew();
    CHECK(share() == Approx(0.1).margin(0.05));
    CHECK(ignored("outdated") == 1);
    world.now += 4s;
    world.At(0).load = { 0, 1000, 0, 16, world.now, {} };
    world.Renew();
    CHECK(share() < 0.02);
  }
  SECTION("a jump to zero, or a huge capacity, attracts a bounded share")
  {
    world.Report(0, 0);
    world.Renew();
    CHECK(share() < bound);
    world.Report(0, 0, 1e6);
    world.Renew();
    CHECK(share() < bound);
    // Nine candidates of 16 and one that counts as at most four times as large.
    CHECK(world.router.CapacityOf(kPool, world.now) <= 13 * 16);
    CHECK(world.router.CapacityOf(kPool, world.now + 2s) == 0);
  }
  SECTION("a missing report counts as the usual load")
  {
    world.At(0).load = {};
    World other(10);
    for (std::size_t index = 1; index < 10; ++index) {
      other.Report(index, 8);
    }
    other.Renew();
    CHECK(other.Shares()["group-0"] == Approx(0.1).margin(0.05));
  }
  SECTION("own requests since the report are added to it")
  {
    world.Report(0, 0);
    world.Renew();
    for (int sent = 0; sent < 32; ++sent) {
      world.router.OnSent("group-0", world.now);
    }
    CHECK(share() < 0.02);
  }
}

TEST_CASE("Failing and slow candidates are ejected, at most a third", "[routing]")
{
  // Guards against servers that attract work because they fail fast, against a slow
  // server that is never left, and against ejections that empty the pool.
  World world(9);
  const auto ejected = [&world] {
    int count = 0;
    const auto dump = world.router.Describe(world.now);
    for (const auto& candidate : dump["pools"][kPool.Value()]) {
      count += candidate["phase"] == "ejected" ? 1 : 0;
    }
    return count;
  };
  SECTION("failing")
  {
    for (int round = 0; round < 5; ++round) {
      for (int number = 0; number < 5; ++number) {
        world.Attempt("group-" + std::to_string(number), AttemptEnd::Broken);
      }
    }
    CHECK(ejected() == 3);
    world.Renew();
    CHECK_FALSE(world.Shares().contains("group-0"));

    world.now += 6s;
    world.Renew();
    world.router.OnSent("group-0", world.now);
    CHECK_FALSE(world.Shares().contains("group-0"));
    world.router.OnFinished("group-0", AttemptEnd::Broken, 1ms, world.now);
    CHECK(ejected() == 1);
    world.now += 6s;
    CHECK(ejected() == 1); // The second period is twice as long.
    world.now += 5s;
    for (int success = 0; success < 3; ++success) {
      world.Attempt("group-0", AttemptEnd::Answered);
    }
    world.Renew();
    CHECK(world.Shares().contains("group-0"));
    const auto dump = world.router.Describe(world.now);
    CHECK(dump["pools"][kPool.Value()]["group-0"]["phase"] == "active");
  }
  SECTION("slow for its class")
  {
    for (int round = 0; round < 20; ++round) {
      for (int number = 0; number < 9; ++number) {
        const auto id = "group-" + std::to_string(number);
        world.router.OnSent(id, world.now);
        world.router.OnFirstByte(id, 2s, world.now, WorkClass::Long);
        world.router.OnFirstByte(id, number == 0 && round > 9 ? 1s : 100ms, world.now);
        world.router.OnFinished(id, AttemptEnd::Answered, 3s, world.now);
        world.now += 10ms;
      }
    }
    CHECK(ejected() == 1);
    world.Renew();
    CHECK_FALSE(world.Shares().contains("group-0"));
  }
  SECTION("so slow that its callers give up first")
  {
    for (int round = 0; round < 20; ++round) {
      for (int number = 0; number < 9; ++number) {
        const bool slow = number == 0;
        world.Attempt("group-" + std::to_string(number),
                      slow ? AttemptEnd::Abandoned : AttemptEnd::Answered,
                      slow ? 5s : 500ms);
      }
      world.Attempt("group-1", AttemptEnd::Abandoned, 10ms);
      world.Attempt("group-2", AttemptEnd::DeadConnection, 5s);
      world.now += 50ms;
    }
    CHECK(ejected() == 1);
    world.Renew();
    CHECK_FALSE(world.Shares().contains("group-0"));
  }
  SECTION("the last candidate is still used")
  {
    world.query.excluded = { "group-1", "group-2", "group-3", "group-4",
                             "group-5", "group-6", "group-7", "group-8" };
    for (int round = 0; round < 3; ++round) {
      world.Attempt("group-0", AttemptEnd::Broken);
    }
    CHECK(world.Choose() == "group-0");
  }
}

TEST_CASE("A prefix stays on its candidate while that is not overloaded", "[routing]")
{
  // Guards against prefix caches that are spread over all servers, and against one
  // popular prefix that overloads its server.
  World world(10);
  for (std::size_t index = 0; index < 10; ++index) {
    world.Report(index, 8);
  }
  world.Renew();
  world.query.prefix = 4711;
  const auto home = world.Choose();
  CHECK(world.Shares().size() == 1);

  std::map<std::string, int> outstanding;
  for (int request = 0; request < 400; ++request) {
    const auto id = world.Choose();
    world.router.OnSent(id, world.now);
    ++outstanding[id];
  }
  // 1.25 times the mean of 8 reported and 40 own requests, rounded up, less those
  // reported.
  CHECK(outstanding[home] <= 53);
  CHECK(outstanding[home] >= 40);

  World cached(10);
  cached.query.prefix = 4711;
  const auto first = cached.Choose();
  cached.query.excluded = { first };
  const auto second = cached.Choose();
  cached.query.excluded.clear();
  for (std::size_t index = 0; index < 10; ++index) {
    cached.Report(index, 0);
    if (cached.At(index).id == second) {
      cached.At(index).load.cachedPrefixes = { 9999, 4711 };
    }
  }
  cached.Renew();
  CHECK(cached.Choose() == second);
}

TEST_CASE("The own availability zone is preferred among near equals only", "[routing]")
{
  // Guards against needless traffic between zones, and against an overloaded zone.
  RouterSettings settings;
  settings.ownZone = ZoneId("zone-0");
  World world(9, settings);
  const auto local = [&world] {
    const auto shares = world.Shares();
    double sum = 0;
    for (const char* id : { "group-0", "group-3", "group-6" }) {
      sum += shares.contains(id) ? shares.at(id) : 0;
    }
    return sum;
  };
  CHECK(local() > 0.95);
  for (std::size_t index = 0; index < 9; ++index) {
    world.Report(index, index % 3 == 0 ? 12 : 4);
  }
  world.Renew();
  CHECK(local() < 0.1);
}

TEST_CASE("Strategies spread requests over all candidates", "[routing]")
{
  for (const auto strategy : { RoutingStrategy::RoundRobin,
                               RoutingStrategy::LeastOutstanding,
                               RoutingStrategy::TwoChoices,
                               RoutingStrategy::LeastTwoChoices }) {
    RouterSettings settings;
    settings.strategy = strategy;
    World world(7, settings);
    INFO(Name(strategy));
    std::map<std::string, int> sent;
    for (int request = 0; request < 700; ++request) {
      const auto id = world.Choose();
      world.router.OnSent(id, world.now);
      ++sent[id];
    }
    CHECK(sent.size() == 7);
    for (const auto& [id, count] : sent) {
      CHECK(count == Approx(100).margin(5));
    }
  }
}

TEST_CASE("Long work is spread by long work, short work by all of it", "[routing]")
{
  // Guards against candidates whose slots are all taken by long work.
  World world(6);
  for (const char* id : { "group-0", "group-1", "group-2" }) {
    world.router.OnSent(id, world.now, WorkClass::Long);
  }
  for (const char* id : { "group-3", "group-4", "group-5" }) {
    world.router.OnSent(id, world.now);
    world.router.OnSent(id, world.now);
  }
  CHECK_FALSE(world.Shares().contains("group-3"));
  world.query.workClass = WorkClass::Long;
  CHECK_FALSE(world.Shares().contains("group-0"));
}

TEST_CASE("A node with a subset uses no other candidate", "[routing]")
{
  // Guards against connections from all nodes to all groups of a large fleet.
  RouterSettings settings;
  settings.subsetSize = 5;
  settings.self = VmId("vm-1");
  settings.peers = { VmId("vm-1"), VmId("vm-2") };
  World world(20, settings);
  CHECK(world.Shares().size() == 5);
  CHECK(world.router.CapacityOf(kPool, world.now) == Approx(20));
  settings.subsetSize = 7;
  world.router.Configure(settings);
  world.Renew();
  CHECK(world.Shares().size() == 7);
}

TEST_CASE("Whatever is reported, only usable candidates are chosen", "[routing]")
{
  // Guards against a choice of an expired, unlisted, refusing or excluded candidate, and
  // against too many ejections, in rare orders of events.
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    INFO("seed " << seed);
    Random random(seed);
    RouterSettings settings;
    settings.strategy = static_cast<RoutingStrategy>(seed % 4);
    settings.ownZone = ZoneId("zone-1");
    World world(12, settings, seed);
    const auto candidates = world.view.candidates;
    std::map<std::string, TimePoint> usableUntil;
    const auto update = [&] {
      world.view.candidates.clear();
      usableUntil.clear();
      for (auto candidate : candidates) {
        if (random.Below(4) == 0) {
          continue;
        }
        candidate.usableUntil = world.now + std::chrono::milliseconds(random.Below(2000));
        const double numbers[] = { 0, 4, -3, 1e300, std::nan(""), 7 };
        candidate.load = { random.Below(100),        numbers[random.Below(6)],
                           numbers[random.Below(6)], numbers[random.Below(6)],
                           world.now + 1s,           { random.Below(3), 7 } };
        usableUntil[candidate.id] = candidate.usableUntil;
        world.view.candidates.push_back(candidate);
      }
      world.view.receivedAt = world.now;
      world.router.Update(world.view, world.now);
    };
    update();
    for (int step = 0; step < 400; ++step) {
      world.now += std::chrono::milliseconds(random.Below(100));
      if (random.Below(5) == 0) {
        update();
      }
      world.query.workClass = random.Below(2) == 0 ? WorkClass::Short : WorkClass::Long;
      world.query.prefix.reset();
      if (random.Below(2) == 0) {
        world.query.prefix = random.Below(9);
      }
      const auto chosen = world.router.Choose(world.query, world.now);
      if (!chosen) {
        continue;
      }
      REQUIRE(usableUntil[chosen->id] > world.now);
      REQUIRE(std::ranges::find(world.query.excluded, chosen->id) ==
              world.query.excluded.end());
      world.query.excluded = { chosen->id };
      world.router.OnSent(chosen->id, world.now, world.query.workClass);
      const auto end = static_cast<AttemptEnd>(random.Below(7));
      world.router.OnFinished(chosen->id,
                              end,
                              std::chrono::milliseconds(random.Below(2000)),
                              world.now,
                              world.query.workClass);
      if (end == AttemptEnd::ConnectFailed) {
        usableUntil[chosen->id] = {}; // Until a newer view.
      }
      const auto dump = world.router.Describe(world.now);
      int ejected = 0;
      for (const auto& [id, candidate] : dump["pools"][kPool.Value()].items()) {
        ejected += candidate["phase"] == "ejected" ? 1 : 0;
      }
      REQUIRE(3 * ejected <= static_cast<int>(world.view.candidates.size()));
    }
  }
}
