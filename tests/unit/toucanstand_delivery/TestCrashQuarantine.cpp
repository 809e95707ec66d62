#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "crashes/CrashQuarantine.h"
#include "crashes/HomeServers.h"
#include "crashes/SuspectArbiter.h"
#include "random/Random.h"

using namespace toucanstand;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kPoisonFingerprint = 666;

/// Discrete-event simulation of entry VMs and servers with random message delays. One
/// fingerprint crashes every server that runs it; copies of it arrive repeatedly on all
/// entry VMs, some of them at almost the same time.
class SimulatedFleet
{
public:
  static constexpr std::size_t kEntryVms = 6;
  static constexpr std::size_t kServers = 12;
  static constexpr std::size_t kHarmlessRequests = 80;

  SimulatedFleet(std::uint64_t aSeed, Duration aMaxMessageDelay)
    : random(aSeed)
    , maxMessageDelay(aMaxMessageDelay)
    , entries(kEntryVms)
    , arbiter(this->entries.front())
  {
    for (std::size_t index = 0; index < kServers; ++index) {
      this->servers.emplace_back("server-" + std::to_string(index));
    }
    this->snapshotServers.assign(kEntryVms, this->servers);
  }

  void Run()
  {
    const Duration burst = this->RandomDuration(0ms, 1s);
    for (std::size_t index = 0; index < 40; ++index) {
      const bool inBurst = index < 20;
      const Duration start =
        inBurst ? burst + this->RandomDuration(0ms, 5ms) : this->RandomDuration(0ms, 8s);
      this->ScheduleArrival("poison-" + std::to_string(index), kPoisonFingerprint, start);
    }
    for (std::size_t index = 0; index < kHarmlessRequests; ++index) {
      this->ScheduleArrival(
        "harmless-" + std::to_string(index), 1000 + index, this->RandomDuration(0ms, 3s));
    }
    while (!this->events.empty() && this->now < TimePoint{} + 60s) {
      auto event = this->events.extract(this->events.begin());
      this->now = event.key();
      event.mapped()();
    }
  }

  [[nodiscard]] std::size_t LostServers() const { return this->dead.size(); }
  [[nodiscard]] std::size_t Answered() const { return this->answered; }
  [[nodiscard]] std::size_t Rejected() const { return this->rejected; }

private:
  struct Request
  {
    RequestId id;
    std::uint64_t fingerprint = 0;
    std::size_t entry = 0;
    ServerId server;
    bool running = false;
  };
  using RequestPointer = std::shared_ptr<Request>;

  Duration RandomDuration(Duration aLow, Duration aHigh)
  {
    return aLow + Duration(this->random.Below((aHigh - aLow).count() + 1));
  }
  void Schedule(Duration aDelay, std::function<void()> aWork)
  {
    this->events.emplace(this->now + aDelay, std::move(aWork));
  }
  void ScheduleDelivery(std::function<void()> aWork)
  {
    this->Schedule(this->RandomDuration(1ms, this->maxMessageDelay), std::move(aWork));
  }

  void ScheduleArrival(const std::string& aName,
                       std::uint64_t aFingerprint,
                       Duration aStart)
  {
    auto request = std::make_shared<Request>(Request{
      RequestId(aName), aFingerprint, this->random.Below(kEntryVms), {}, false });
    this->Schedule(aStart, [this, request] { this->TryToRun(request); });
  }

  void TryToRun(const RequestPointer& aRequest)
  {
    auto& entry = this->entries[aRequest->entry];
    const auto placement = entry.Place(
      aRequest->fingerprint, this->snapshotServers[aRequest->entry], this->now);
    if (placement.kind == PlacementKind::Reject) {
      this->rejected += aRequest->fingerprint == kPoisonFingerprint ? 0 : 1;
    } else if (placement.kind == PlacementKind::Wait) {
      this->Schedule(placement.retryAt - this->now,
                     [this, aRequest] { this->TryToRun(aRequest); });
    } else if (placement.kind == PlacementKind::RunAlone) {
      this->AskToRun(aRequest, placement.servers.front());
    } else {
      this->Send(aRequest,
                 placement.servers[this->random.Below(placement.servers.size())]);
    }
  }

  void AskToRun(const RequestPointer& aRequest, const ServerId& aServer)
  {
    auto known =
      this->entries[aRequest->entry].DeltaFor(aRequest->fingerprint, this->now);
    this->ScheduleDelivery([this, aRequest, aServer, known] {
      const auto grant =
        this->arbiter.OnGrantRequested(aRequest->id, known, aServer, 30s, this->now);
      const auto arbiterDelta =
        this->entries[0].DeltaFor(aRequest->fingerprint, this->now);
      this->ScheduleDelivery([this, aRequest, aServer, grant, arbiterDelta] {
        auto& entry = this->entries[aRequest->entry];
        entry.Merge(arbiterDelta, this->now);
        if (grant == RunGrant::Granted &&
            entry.MayRunOn(aRequest->fingerprint, aServer, this->now)) {
          this->Send(aRequest, aServer);
          return;
        }
        if (grant == RunGrant::Granted) {
          this->ReportEnd(aRequest);
        }
        this->Schedule(20ms, [this, aRequest] { this->TryToRun(aRequest); });
      });
    });
  }

  void Send(const RequestPointer& aRequest, const ServerId& aServer)
  {
    auto& entry = this->entries[aRequest->entry];
    if (this->dead.contains(aServer)) {
      entry.OnServerLost(aServer, this->now);
      this->ReportEnd(aRequest);
      this->Schedule(5ms, [this, aRequest] { this->TryToRun(aRequest); });
      return;
    }
    entry.OnSent(aRequest->id, aRequest->fingerprint, aServer);
    aRequest->server = aServer;
    aRequest->running = true;
    this->inFlight.push_back(aRequest);
    const bool poison = aRequest->fingerprint == kPoisonFingerprint;
    const Duration runTime =
      poison ? this->RandomDuration(1ms, 60ms) : this->RandomDuration(50ms, 900ms);
    this->Schedule(runTime, [this, aRequest, aServer, poison] {
      if (!aRequest->running || aRequest->server != aServer) {
        return;
      }
      poison ? this->Crash(aServer) : this->Finish(aRequest);
    });
    if (poison && this->random.Below(3) == 0) {
      // The caller disconnects, but the server continues with the request for a while.
      this->Schedule(10ms, [this, aRequest] {
        this->entries[aRequest->entry].OnEnded(
          aRequest->id, RunEnd::Abandoned, this->now);
      });
    }
  }

  void Finish(const RequestPointer& aRequest)
  {
    aRequest->running = false;
    ++this->answered;
    this->entries[aRequest->entry].OnEnded(aRequest->id, RunEnd::Survived, this->now);
    this->ReportEnd(aRequest);
  }

  void Crash(const ServerId& aServer)
  {
    if (!this->dead.insert(aServer).second) {
      return;
    }
    for (auto& request : this->inFlight) {
      request->running = request->running && request->server != aServer;
    }
    for (std::size_t index = 0; index < kEntryVms; ++index) {
      this->Schedule(this->RandomDuration(1ms, 40ms),
                     [this, index, aServer] { this->NoticeCrash(index, aServer); });
      this->Schedule(this->RandomDuration(500ms, 2s), [this, index, aServer] {
        std::erase(this->snapshotServers[index], aServer);
      });
    }
  }

  void NoticeCrash(std::size_t aEntry, const ServerId& aServer)
  {
    const auto suspects = this->entries[aEntry].OnServerCrashed(aServer, this->now);
    for (const auto& delta : this->entries[aEntry].TakeDeltas(this->now)) {
      for (std::size_t peer = 0; peer < kEntryVms; ++peer) {
        this->ScheduleDelivery(
          [this, peer, delta] { this->entries[peer].Merge(delta, this->now); });
      }
    }
    for (const auto& suspect : suspects) {
      for (const auto& request : this->inFlight) {
        if (request->id == suspect.request) {
          this->ReportEnd(request);
          this->Schedule(1ms, [this, request] { this->TryToRun(request); });
          break;
        }
      }
    }
  }

  void ReportEnd(const RequestPointer& aRequest)
  {
    const auto known =
      this->entries[aRequest->entry].DeltaFor(aRequest->fingerprint, this->now);
    this->ScheduleDelivery([this, aRequest, known] {
      this->arbiter.OnRunEnded(aRequest->id, known, this->now);
    });
  }

  Random random;
  Duration maxMessageDelay;
  TimePoint now{};
  std::deque<CrashQuarantine> entries;
  SuspectArbiter arbiter;
  std::vector<ServerId> servers;
  /// Servers in the snapshot of each entry VM, which still lists a dead server for up to
  /// 2 s.
  std::vector<std::vector<ServerId>> snapshotServers;
  std::set<ServerId> dead;
  std::vector<RequestPointer> inFlight;
  std::multimap<TimePoint, std::function<void()>> events;
  std::size_t answered = 0;
  std::size_t rejected = 0;
};

} // namespace

TEST_CASE("A request that crashes every server crashes at most two in the whole fleet",
          "[crashes]")
{
  // Guards against losing one server per entry VM to copies of the same request, and
  // against rejecting other requests that were in flight on the crashed servers.
  for (std::uint64_t seed = 1; seed <= 1500; ++seed) {
    INFO("seed " << seed);
    SimulatedFleet fleet(seed, 200ms);
    fleet.Run();
    REQUIRE(fleet.LostServers() <= 2);
    REQUIRE(fleet.LostServers() >= 1);
    REQUIRE(fleet.Rejected() == 0);
    REQUIRE(fleet.Answered() == SimulatedFleet::kHarmlessRequests);
  }
}

TEST_CASE("A request abandoned shortly before a crash is still a suspect", "[crashes]")
{
  // Guards against losing a server for each retry of a caller that disconnects before
  // the crash. A request abandoned longer ago than the retention is not suspected.
  CrashQuarantine quarantine;
  const TimePoint start{};
  quarantine.OnSent(RequestId("r"), kPoisonFingerprint, ServerId("a"));
  quarantine.OnEnded(RequestId("r"), RunEnd::Abandoned, start);
  CHECK(quarantine.OnServerCrashed(ServerId("a"), start + 1s).empty());
  CHECK(quarantine.Level(kPoisonFingerprint, start + 1s) == SuspicionLevel::RunAlone);

  quarantine.OnSent(RequestId("later"), 5, ServerId("b"));
  quarantine.OnEnded(RequestId("later"), RunEnd::Abandoned, start);
  CHECK(quarantine.OnServerCrashed(ServerId("b"), start + 3s).empty());
  CHECK(quarantine.Level(5, start + 3s) == SuspicionLevel::Clear);
}

TEST_CASE("Two reports of one crash count once, a later crash of the server counts again",
          "[crashes]")
{
  // Guards against quarantining a harmless request because two entry VMs reported the
  // same crash, and against missing a second crash of a server that was restarted.
  CrashQuarantine first;
  CrashQuarantine second;
  const TimePoint now{};
  first.OnSent(RequestId("r1"), 7, ServerId("a"));
  second.OnSent(RequestId("r2"), 7, ServerId("a"));
  first.OnServerCrashed(ServerId("a"), now);
  second.OnServerCrashed(ServerId("a"), now);
  for (const auto& delta : second.TakeDeltas(now)) {
    const auto received = SuspectDeltaFromJson(ToJson(delta));
    REQUIRE(received == delta);
    CHECK_FALSE(first.Merge(*received, now));
  }
  CHECK(first.Level(7, now) == SuspicionLevel::RunAlone);
  first.OnSent(RequestId("r3"), 7, ServerId("a"));
  const auto suspects = first.OnServerCrashed(ServerId("a"), now + 1s);
  REQUIRE(suspects.size() == 1);
  CHECK(suspects.front().level == SuspicionLevel::Quarantined);
}

TEST_CASE("A quarantine expires although nodes keep exchanging deltas", "[crashes]")
{
  // Guards against two nodes extending the lifetime forever by the message delay that
  // each exchange adds.
  CrashQuarantine left;
  CrashQuarantine right;
  TimePoint now{};
  for (const char* server : { "a", "b" }) {
    left.OnSent(RequestId(server), 7, ServerId(server));
    left.OnServerCrashed(ServerId(server), now);
  }
  for (; now < TimePoint{} + CrashQuarantine::kSuspicionLifetime + 2s; now += 100ms) {
    for (auto* sender : { &left, &right }) {
      auto& receiver = sender == &left ? right : left;
      for (const auto& delta : sender->AllDeltas(now)) {
        receiver.Merge(delta, now + 50ms);
      }
      sender->OnTime(now);
    }
  }
  CHECK(left.Level(7, now) == SuspicionLevel::Clear);
  CHECK(right.Level(7, now) == SuspicionLevel::Clear);
}

TEST_CASE("A suspect that runs without a crash is cleared on every node", "[crashes]")
{
  // Guards against running a frequent harmless request only one at a time for ten
  // minutes.
  CrashQuarantine quarantine;
  CrashQuarantine peer;
  const TimePoint now{};
  quarantine.OnSent(RequestId("r"), 7, ServerId("a"));
  quarantine.OnServerCrashed(ServerId("a"), now);
  quarantine.OnSent(RequestId("r"), 7, ServerId("b"));
  quarantine.OnEnded(RequestId("r"), RunEnd::Survived, now);
  CHECK(quarantine.Level(7, now) == SuspicionLevel::Clear);
  for (const auto& delta : quarantine.TakeDeltas(now)) {
    peer.Merge(delta, now);
  }
  CHECK(peer.Level(7, now) == SuspicionLevel::Clear);
}

TEST_CASE("Equal home keys share home servers; a suspect avoids the one that it crashed",
          "[crashes]")
{
  // Guards against turns of a conversation that miss their prompt cache, and against
  // running a suspect again on the server that it crashed while the other home server is
  // available.
  CrashQuarantine quarantine;
  const std::vector<ServerId> servers = { ServerId("a"), ServerId("b"), ServerId("c") };
  const TimePoint now{};
  const auto homes = quarantine.Place(1, servers, now, 42).servers;
  REQUIRE(homes.size() == kHomeServerCount);
  CHECK(quarantine.Place(2, servers, now, 42).servers == homes);
  quarantine.OnSent(RequestId("r"), 1, homes.front());
  quarantine.OnServerCrashed(homes.front(), now);
  const TimePoint later = now + CrashQuarantine::kCrashReportDelay;
  CHECK(quarantine.Place(1, servers, now, 42).kind == PlacementKind::Wait);
  const auto placement = quarantine.Place(1, servers, later, 42);
  CHECK(placement.kind == PlacementKind::RunAlone);
  CHECK(placement.servers == std::vector{ homes.back() });
}

TEST_CASE("The number of stored fingerprints is bounded", "[crashes]")
{
  CrashQuarantine quarantine;
  const TimePoint now{};
  for (std::uint64_t fingerprint = 0; fingerprint < 12'000; ++fingerprint) {
    quarantine.Merge({ fingerprint, { { ServerId("a"), 0 } }, {}, 5min }, now);
  }
  CHECK(quarantine.AllDeltas(now).size() == CrashQuarantine::kMaximumFingerprints);
}

TEST_CASE("A quarantine received from another VM is not forwarded", "[crashes]")
{
  // Guards against two entry VMs that renew each other's quarantine forever.
  CrashQuarantine quarantine;
  const TimePoint now{ std::chrono::hours(1) };
  quarantine.Merge(QuarantineEntry{ 5, now + std::chrono::minutes(1) }, now);
  CHECK(quarantine.Level(5, now) == SuspicionLevel::Quarantined);
  CHECK(quarantine.LocallyQuarantined(now).empty());
  quarantine.OnSent(RequestId("a"), 7, ServerId("s1"));
  quarantine.OnServerCrashed(ServerId("s1"), now);
  quarantine.OnSent(RequestId("b"), 7, ServerId("s2"));
  quarantine.OnServerCrashed(ServerId("s2"), now);
  CHECK(quarantine.LocallyQuarantined(now) == std::vector<std::uint64_t>{ 7 });
}

TEST_CASE(
  "A request that was just answered is not quarantined by one fault of the machines",
  "[crashes]")
{
  // Guards against an outage that rejects the requests that many callers repeat.
  CrashQuarantine quarantine;
  TimePoint now{ std::chrono::hours(1) };
  int runs = 0;
  const auto crash = [&](std::uint64_t aFingerprint) {
    const ServerId server("s" + std::to_string(++runs));
    quarantine.OnSent(RequestId(std::to_string(runs)), aFingerprint, server);
    quarantine.OnServerCrashed(server, now);
  };
  quarantine.OnSent(RequestId("answered"), 7, ServerId("s"));
  quarantine.OnEnded(RequestId("answered"), RunEnd::Survived, now);
  for (int server = 0; server < 5; ++server) {
    crash(7);
    now += 10ms;
  }
  CHECK(quarantine.Level(7, now) == SuspicionLevel::RunAlone);
  // It crashes servers after all: the third separate crash decides.
  now += CrashQuarantine::kMinCrashDistance;
  crash(7);
  CHECK(quarantine.Level(7, now) == SuspicionLevel::RunAlone);
  now += CrashQuarantine::kMinCrashDistance;
  crash(7);
  CHECK(quarantine.Level(7, now) == SuspicionLevel::Quarantined);

  // Without an answer shortly before, two crashes decide, also at the same time.
  crash(8);
  crash(8);
  CHECK(quarantine.Level(8, now) == SuspicionLevel::Quarantined);
  quarantine.OnSent(RequestId("old"), 9, ServerId("s"));
  quarantine.OnEnded(RequestId("old"), RunEnd::Survived, now);
  now += CrashQuarantine::kAnswerRetention + 1ms;
  crash(9);
  crash(9);
  CHECK(quarantine.Level(9, now) == SuspicionLevel::Quarantined);
}

TEST_CASE("The number of remembered answers is bounded", "[crashes]")
{
  CrashQuarantine quarantine;
  const TimePoint now{ std::chrono::hours(1) };
  for (std::uint64_t fingerprint = 0; fingerprint < 10'000; ++fingerprint) {
    const RequestId request(std::to_string(fingerprint));
    quarantine.OnSent(request, fingerprint, ServerId("s"));
    quarantine.OnEnded(request, RunEnd::Survived, now);
  }
  CHECK(quarantine.Describe(now).at("answered") == CrashQuarantine::kMaximumAnswered);
  quarantine.OnTime(now + CrashQuarantine::kAnswerRetention + 1ms);
  CHECK(quarantine.Describe(now).at("answered") == 0);
}
