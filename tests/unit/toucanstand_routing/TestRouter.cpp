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

/// A router with a view of one pool. PublishView() extends the validity of all
/// candidates.
struct RoutingFixture
{
  explicit RoutingFixture(int aCandidates,
                          RouterSettings aSettings = {},
                          std::uint64_t aSeed = 1)
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
    this->PublishView();
  }

  Candidate& At(std::size_t aIndex) { return this->view.candidates[aIndex]; }

  void PublishView()
  {
    this->view.receivedAt = this->now;
    for (auto& candidate : this->view.candidates) {
      candidate.usableUntil = this->now + 2s;
    }
    this->router.Update(this->view, this->now);
  }

  void SetReport(std::size_t aIndex, double aRunning, double aCapacity = 16)
  {
    auto& load = this->At(aIndex).load;
    load = { load.sequence + 1, aRunning, 0, aCapacity, this->now, {} };
  }

  std::string Choose()
  {
    const auto chosen = this->router.Choose(this->query, this->now);
    return chosen ? chosen->id : std::string(Name(chosen.LastReason()));
  }

  /// Share of requests per candidate when none of them is outstanding.
  std::map<std::string, double> RequestShares(int aRequests = 2000)
  {
    std::map<std::string, double> shares;
    for (int request = 0; request < aRequests; ++request) {
      shares[this->Choose()] += 1.0 / aRequests;
    }
    return shares;
  }

  void FinishAttempt(const std::string& aId, RouteOutcome aEnd, Duration aLatency = 10ms)
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
  // Guards against sending requests to a group whose validity has expired, to a server
  // that leaves, or again to one that refuses connections.
  RoutingFixture fixture(2);
  fixture.At(1).usableUntil = fixture.now + 1s;
  fixture.router.Update(fixture.view, fixture.now);
  fixture.now += 1s;
  CHECK(fixture.RequestShares()["group-0"] == Approx(1.0));

  const WorldView beforeRefusal = fixture.view;
  fixture.FinishAttempt("group-0", RouteOutcome::ConnectFailed);
  CHECK(fixture.Choose() == "no-candidate");
  fixture.router.Update(beforeRefusal, fixture.now);
  CHECK(fixture.Choose() == "no-candidate");
  fixture.PublishView();
  CHECK(fixture.RequestShares().size() == 2);

  // A view that extends the validity, but contains a report received before the refusal,
  // does not make the candidate usable again.
  fixture.SetReport(0, 0);
  fixture.PublishView();
  fixture.now += 10ms;
  fixture.FinishAttempt("group-0", RouteOutcome::ConnectFailed);
  fixture.PublishView();
  CHECK_FALSE(fixture.RequestShares().contains("group-0"));
  fixture.now += 10ms;
  fixture.SetReport(0, 0);
  fixture.PublishView();
  CHECK(fixture.RequestShares().contains("group-0"));

  fixture.view.candidates.pop_back();
  fixture.PublishView();
  CHECK(fixture.RequestShares().size() == 1);
  fixture.query.excluded = { "group-0" };
  CHECK(fixture.Choose() == "all-excluded");
  fixture.query.pool = PoolId("other");
  CHECK(fixture.Choose() == "unknown-pool");
  fixture.view.mayServe = false;
  fixture.PublishView();
  CHECK(fixture.Choose() == "isolated");
}

TEST_CASE("No load report attracts most of the traffic to one server", "[routing]")
{
  // Guards against a server that attracts all requests because its report is implausible,
  // outdated or a sudden change.
  constexpr double kNotANumber = std::numeric_limits<double>::quiet_NaN();
  RoutingFixture fixture(10);
  for (std::size_t index = 0; index < 10; ++index) {
    fixture.SetReport(index, 8);
  }
  fixture.PublishView();
  const auto share = [&fixture] { return fixture.RequestShares()["group-0"]; };
  const auto ignored = [&fixture](const char* aStatus) {
    return fixture.router.Describe(fixture.now)["reports"][aStatus].get<int>();
  };
  // With two random choices out of ten, one candidate gets at most a fifth.
  const double bound = 0.25;

  SECTION("implausible numbers are ignored and counted")
  {
    for (const double number : { -1.0, kNotANumber, 2e6, HUGE_VAL }) {
      INFO(number);
      fixture.SetReport(0, number);
      fixture.PublishView();
      CHECK(share() == Approx(0.1).margin(0.05));
      fixture.SetReport(0, 8, number);
      fixture.PublishView();
      CHECK(share() == Approx(0.1).margin(0.05));
    }
    CHECK(ignored("implausible") == 8);
  }
  SECTION("an older sequence is ignored and counted, until the last report is stale")
  {
    fixture.At(0).load = { 0, 0, 0, 16, fixture.now, {} };
    fixture.PublishView();
    CHECK(share() == Approx(0.1).margin(0.05));
    CHECK(ignored("outdated") == 1);
    fixture.now += 4s;
    fixture.At(0).load = { 0, 1000, 0, 16, fixture.now, {} };
    fixture.PublishView();
    CHECK(share() < 0.02);
  }
  SECTION("a jump to zero, or a huge capacity, attracts a bounded share")
  {
    fixture.SetReport(0, 0);
    fixture.PublishView();
    CHECK(share() < bound);
    fixture.SetReport(0, 0, 1e6);
    fixture.PublishView();
    CHECK(share() < bound);
    // Nine candidates of 16 and one that counts as at most four times as large.
    CHECK(fixture.router.CapacityOf(kPool, fixture.now) <= 13 * 16);
    CHECK(fixture.router.CapacityOf(kPool, fixture.now + 2s) == 0);
  }
  SECTION("a missing report counts as the usual load")
  {
    fixture.At(0).load = {};
    RoutingFixture other(10);
    for (std::size_t index = 1; index < 10; ++index) {
      other.SetReport(index, 8);
    }
    other.PublishView();
    CHECK(other.RequestShares()["group-0"] == Approx(0.1).margin(0.05));
  }
  SECTION("own requests since the report are added to it")
  {
    fixture.SetReport(0, 0);
    fixture.PublishView();
    for (int sent = 0; sent < 32; ++sent) {
      fixture.router.OnSent("group-0", fixture.now);
    }
    CHECK(share() < 0.02);
  }
}

TEST_CASE("Failing and slow candidates are ejected, at most a third", "[routing]")
{
  // Guards against servers that attract requests because they fail fast, against a slow
  // server that keeps getting requests, and against ejections that empty the pool.
  RoutingFixture fixture(9);
  const auto ejected = [&fixture] {
    int count = 0;
    const auto dump = fixture.router.Describe(fixture.now);
    for (const auto& candidate : dump["pools"][kPool.Value()]) {
      count += candidate["phase"] == "ejected" ? 1 : 0;
    }
    return count;
  };
  SECTION("failing")
  {
    for (int round = 0; round < 5; ++round) {
      for (int number = 0; number < 5; ++number) {
        fixture.FinishAttempt("group-" + std::to_string(number), RouteOutcome::Broken);
      }
    }
    CHECK(ejected() == 3);
    fixture.PublishView();
    CHECK_FALSE(fixture.RequestShares().contains("group-0"));

    fixture.now += 6s;
    fixture.PublishView();
    fixture.router.OnSent("group-0", fixture.now);
    CHECK_FALSE(fixture.RequestShares().contains("group-0"));
    fixture.router.OnFinished("group-0", RouteOutcome::Broken, 1ms, fixture.now);
    CHECK(ejected() == 1);
    fixture.now += 6s;
    CHECK(ejected() == 1); // The second period is twice as long.
    fixture.now += 5s;
    for (int success = 0; success < 3; ++success) {
      fixture.FinishAttempt("group-0", RouteOutcome::Answered);
    }
    fixture.PublishView();
    CHECK(fixture.RequestShares().contains("group-0"));
    const auto dump = fixture.router.Describe(fixture.now);
    CHECK(dump["pools"][kPool.Value()]["group-0"]["phase"] == "active");
  }
  SECTION("slow for its class")
  {
    for (int round = 0; round < 20; ++round) {
      for (int number = 0; number < 9; ++number) {
        const auto id = "group-" + std::to_string(number);
        fixture.router.OnSent(id, fixture.now);
        fixture.router.OnFirstByte(id, 2s, fixture.now, WorkClass::Long);
        fixture.router.OnFirstByte(
          id, number == 0 && round > 9 ? 1s : 100ms, fixture.now);
        fixture.router.OnFinished(id, RouteOutcome::Answered, 3s, fixture.now);
        fixture.now += 10ms;
      }
    }
    CHECK(ejected() == 1);
    fixture.PublishView();
    CHECK_FALSE(fixture.RequestShares().contains("group-0"));
  }
  SECTION("so slow that its callers give up first")
  {
    for (int round = 0; round < 20; ++round) {
      for (int number = 0; number < 9; ++number) {
        const bool slow = number == 0;
        fixture.FinishAttempt("group-" + std::to_string(number),
                              slow ? RouteOutcome::Abandoned : RouteOutcome::Answered,
                              slow ? 5s : 500ms);
      }
      fixture.FinishAttempt("group-1", RouteOutcome::Abandoned, 10ms);
      fixture.FinishAttempt("group-2", RouteOutcome::DeadConnection, 5s);
      fixture.now += 50ms;
    }
    CHECK(ejected() == 1);
    fixture.PublishView();
    CHECK_FALSE(fixture.RequestShares().contains("group-0"));
  }
  SECTION("the last candidate is still used")
  {
    fixture.query.excluded = { "group-1", "group-2", "group-3", "group-4",
                               "group-5", "group-6", "group-7", "group-8" };
    for (int round = 0; round < 3; ++round) {
      fixture.FinishAttempt("group-0", RouteOutcome::Broken);
    }
    CHECK(fixture.Choose() == "group-0");
  }
}

TEST_CASE("Requests with a prefix stay on its candidate while it is not overloaded",
          "[routing]")
{
  // Guards against prefixes that are cached on all servers, and against one popular
  // prefix that overloads its server.
  RoutingFixture fixture(10);
  for (std::size_t index = 0; index < 10; ++index) {
    fixture.SetReport(index, 8);
  }
  fixture.PublishView();
  fixture.query.prefix = 4711;
  const auto preferredId = fixture.Choose();
  CHECK(fixture.RequestShares().size() == 1);

  std::map<std::string, int> outstanding;
  for (int request = 0; request < 400; ++request) {
    const auto id = fixture.Choose();
    fixture.router.OnSent(id, fixture.now);
    ++outstanding[id];
  }
  // 1.25 times the mean of 8 reported and 40 own requests, rounded up, minus the reported
  // ones.
  CHECK(outstanding[preferredId] <= 53);
  CHECK(outstanding[preferredId] >= 40);

  RoutingFixture cached(10);
  cached.query.prefix = 4711;
  const auto first = cached.Choose();
  cached.query.excluded = { first };
  const auto second = cached.Choose();
  cached.query.excluded.clear();
  for (std::size_t index = 0; index < 10; ++index) {
    cached.SetReport(index, 0);
    if (cached.At(index).id == second) {
      cached.At(index).load.cachedPrefixes = { 9999, 4711 };
    }
  }
  cached.PublishView();
  CHECK(cached.Choose() == second);
}

TEST_CASE("The own availability zone is preferred only among similarly loaded candidates",
          "[routing]")
{
  // Guards against needless traffic between zones, and against overloading the own zone.
  RouterSettings settings;
  settings.ownZone = ZoneId("zone-0");
  RoutingFixture fixture(9, settings);
  const auto local = [&fixture] {
    const auto shares = fixture.RequestShares();
    double sum = 0;
    for (const char* id : { "group-0", "group-3", "group-6" }) {
      sum += shares.contains(id) ? shares.at(id) : 0;
    }
    return sum;
  };
  CHECK(local() > 0.95);
  for (std::size_t index = 0; index < 9; ++index) {
    fixture.SetReport(index, index % 3 == 0 ? 12 : 4);
  }
  fixture.PublishView();
  CHECK(local() < 0.1);
}

TEST_CASE("Each strategy distributes requests evenly over all candidates", "[routing]")
{
  for (const auto strategy : { RoutingStrategy::RoundRobin,
                               RoutingStrategy::LeastOutstanding,
                               RoutingStrategy::TwoChoices,
                               RoutingStrategy::LeastTwoChoices }) {
    RouterSettings settings;
    settings.strategy = strategy;
    RoutingFixture fixture(7, settings);
    INFO(Name(strategy));
    std::map<std::string, int> sent;
    for (int request = 0; request < 700; ++request) {
      const auto id = fixture.Choose();
      fixture.router.OnSent(id, fixture.now);
      ++sent[id];
    }
    CHECK(sent.size() == 7);
    for (const auto& [id, count] : sent) {
      CHECK(count == Approx(100).margin(5));
    }
  }
}

TEST_CASE("Long work is balanced by own long requests, short work by all own requests",
          "[routing]")
{
  // Guards against candidates whose slots are all taken by long work.
  RoutingFixture fixture(6);
  for (const char* id : { "group-0", "group-1", "group-2" }) {
    fixture.router.OnSent(id, fixture.now, WorkClass::Long);
  }
  for (const char* id : { "group-3", "group-4", "group-5" }) {
    fixture.router.OnSent(id, fixture.now);
    fixture.router.OnSent(id, fixture.now);
  }
  CHECK_FALSE(fixture.RequestShares().contains("group-3"));
  fixture.query.workClass = WorkClass::Long;
  CHECK_FALSE(fixture.RequestShares().contains("group-0"));
}

TEST_CASE("A node uses only the candidates of its subset", "[routing]")
{
  // Guards against connections from all nodes to all groups of a large fleet.
  RouterSettings settings;
  settings.subsetSize = 5;
  settings.self = VmId("vm-1");
  settings.peers = { VmId("vm-1"), VmId("vm-2") };
  RoutingFixture fixture(20, settings);
  CHECK(fixture.RequestShares().size() == 5);
  CHECK(fixture.router.CapacityOf(kPool, fixture.now) == Approx(20));
  settings.subsetSize = 7;
  fixture.router.Configure(settings);
  fixture.PublishView();
  CHECK(fixture.RequestShares().size() == 7);
}

TEST_CASE("Only usable candidates are chosen for any sequence of reports and outcomes",
          "[routing]")
{
  // Guards against choosing an expired, unlisted, refusing or excluded candidate, and
  // against too many ejections, in random sequences of events.
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    INFO("seed " << seed);
    Random random(seed);
    RouterSettings settings;
    settings.strategy = static_cast<RoutingStrategy>(seed % 4);
    settings.ownZone = ZoneId("zone-1");
    RoutingFixture fixture(12, settings, seed);
    const auto candidates = fixture.view.candidates;
    std::map<std::string, TimePoint> usableUntil;
    const auto update = [&] {
      fixture.view.candidates.clear();
      usableUntil.clear();
      for (auto candidate : candidates) {
        if (random.Below(4) == 0) {
          continue;
        }
        candidate.usableUntil =
          fixture.now + std::chrono::milliseconds(random.Below(2000));
        const double numbers[] = { 0, 4, -3, 1e300, std::nan(""), 7 };
        candidate.load = { random.Below(100),        numbers[random.Below(6)],
                           numbers[random.Below(6)], numbers[random.Below(6)],
                           fixture.now + 1s,         { random.Below(3), 7 } };
        usableUntil[candidate.id] = candidate.usableUntil;
        fixture.view.candidates.push_back(candidate);
      }
      fixture.view.receivedAt = fixture.now;
      fixture.router.Update(fixture.view, fixture.now);
    };
    update();
    for (int step = 0; step < 400; ++step) {
      fixture.now += std::chrono::milliseconds(random.Below(100));
      if (random.Below(5) == 0) {
        update();
      }
      fixture.query.workClass = random.Below(2) == 0 ? WorkClass::Short : WorkClass::Long;
      fixture.query.prefix.reset();
      if (random.Below(2) == 0) {
        fixture.query.prefix = random.Below(9);
      }
      const auto chosen = fixture.router.Choose(fixture.query, fixture.now);
      if (!chosen) {
        continue;
      }
      REQUIRE(usableUntil[chosen->id] > fixture.now);
      REQUIRE(std::ranges::find(fixture.query.excluded, chosen->id) ==
              fixture.query.excluded.end());
      fixture.query.excluded = { chosen->id };
      fixture.router.OnSent(chosen->id, fixture.now, fixture.query.workClass);
      const auto end = static_cast<RouteOutcome>(random.Below(7));
      fixture.router.OnFinished(chosen->id,
                                end,
                                std::chrono::milliseconds(random.Below(2000)),
                                fixture.now,
                                fixture.query.workClass);
      if (end == RouteOutcome::ConnectFailed) {
        usableUntil[chosen->id] = {}; // Unusable until a newer view.
      }
      const auto dump = fixture.router.Describe(fixture.now);
      int ejected = 0;
      for (const auto& [id, candidate] : dump["pools"][kPool.Value()].items()) {
        ejected += candidate["phase"] == "ejected" ? 1 : 0;
      }
      REQUIRE(3 * ejected <= static_cast<int>(fixture.view.candidates.size()));
    }
  }
}
