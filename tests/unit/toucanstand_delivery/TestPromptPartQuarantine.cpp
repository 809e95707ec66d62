#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "crashes/PromptPartQuarantine.h"
#include "random/Random.h"

using namespace toucanstand;
using namespace std::chrono_literals;

namespace {

constexpr PromptPartId kFirstPart = 1;
constexpr PromptPartId kDeadlyPart = 0xdead;
constexpr TimePoint kStart{ 100s };

/// What the simulated callers, network and servers do.
struct Scenario
{
  std::size_t vms = 6;
  Duration deadlyInterval = 400ms;
  /// Deadly parts, each in requests of its own.
  std::vector<PromptPartId> deadlyParts = { kDeadlyPart };
  Duration maxMessageDelay = 200ms;
  double messageLoss = 0.1;
  /// A fault of the machines ends this many servers at once, every 3 s.
  std::size_t serversLostTogether = 0;
  /// Before the crashes begin, requests with the deadly parts are sound.
  bool deadlyPartWasSound = false;
};

/// Discrete-event simulation of entry VMs that exchange evidence and of servers that
/// restart after a crash. All streams of a crashed server move to one other server, the
/// one that caused the crash among them.
class SimulatedFleet
{
public:
  static constexpr std::size_t kServers = 30;
  static constexpr Duration kLength = 25s;
  static constexpr Duration kDeadlyFrom = 3s;
  static constexpr Duration kStableWindow = 3s;

  SimulatedFleet(std::uint64_t aSeed, const Scenario& aScenario)
    : scenario(aScenario)
    , random(aSeed)
    , quarantines(aScenario.vms)
    , downUntil(kServers, TimePoint{})
  {
  }

  void Run()
  {
    this->ScheduleArrivals(10ms, Duration::zero(), [this] { this->ArriveSound(); });
    for (const auto part : this->scenario.deadlyParts) {
      const Duration from =
        this->scenario.deadlyPartWasSound ? Duration::zero() : kDeadlyFrom;
      this->ScheduleArrivals(this->scenario.deadlyInterval, from, [this, part] {
        this->Arrive({ kFirstPart, part }, true);
      });
    }
    for (std::size_t vm = 0; vm < this->scenario.vms; ++vm) {
      this->ScheduleReports(vm);
    }
    if (this->scenario.serversLostTogether > 0) {
      this->ScheduleArrivals(3s, 1s, [this] {
        for (std::size_t lost = 0; lost < this->scenario.serversLostTogether; ++lost) {
          this->Crash(this->random.Below(kServers));
        }
      });
    }
    while (!this->events.empty() && this->now < kStart + kLength) {
      auto event = this->events.extract(this->events.begin());
      this->now = event.key();
      event.mapped()();
    }
  }

  /// Crashes caused by the part that caused most.
  [[nodiscard]] std::size_t MostCrashes() const
  {
    std::size_t most = 0;
    for (const auto& [part, times] : this->crashTimes) {
      most = std::max(most, times.size());
    }
    return most;
  }
  /// Requests with a deadly part that were sent later than the stable window after its
  /// fifth crash.
  std::size_t lateDeadlySends = 0;
  std::size_t soundRejections = 0;
  std::size_t soundRequests = 0;

private:
  struct Request
  {
    std::vector<PromptPartId> parts;
    bool isDeadly = false;
    std::size_t vm = 0;
    std::size_t server = 0;
    RequestId run;
    int attempts = 0;
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
  void ScheduleArrivals(Duration aInterval, Duration aFrom, std::function<void()> aWork)
  {
    for (Duration at = aFrom; at < kLength;
         at += this->RandomDuration(0ms, 2 * aInterval)) {
      this->Schedule(at, aWork);
    }
  }

  void ScheduleReports(std::size_t aVm)
  {
    this->Schedule(this->RandomDuration(90ms, 110ms), [this, aVm] {
      this->quarantines[aVm].OnTime(this->now);
      const auto news = this->quarantines[aVm].News(this->now, NewsScope::Own);
      for (std::size_t other = 0; other < this->scenario.vms; ++other) {
        if (other != aVm && this->random.Fraction() >= this->scenario.messageLoss) {
          this->Schedule(
            this->RandomDuration(1ms, this->scenario.maxMessageDelay),
            [this, other, news] { this->quarantines[other].Merge(news, this->now); });
        }
      }
      this->ScheduleReports(aVm);
    });
  }

  void ArriveSound()
  {
    // A third of the requests share the deadly requests' first part.
    const PromptPartId first = this->random.Below(3) == 0 ? kFirstPart : 2;
    this->Arrive({ first, 100 + this->random.Below(60) }, false);
  }

  void Arrive(std::vector<PromptPartId> aParts, bool aIsDeadly)
  {
    auto request = std::make_shared<Request>();
    request->parts = std::move(aParts);
    request->isDeadly = aIsDeadly;
    request->vm = this->random.Below(this->scenario.vms);
    this->soundRequests += aIsDeadly ? 0 : 1;
    this->Send(request, this->random.Below(kServers));
  }

  void Send(const RequestPointer& aRequest, std::size_t aServer)
  {
    auto& quarantine = this->quarantines[aRequest->vm];
    if (quarantine.FindQuarantined(aRequest->parts, this->now)) {
      this->soundRejections += aRequest->isDeadly ? 0 : 1;
      return;
    }
    std::size_t server = aServer;
    while (this->downUntil[server] > this->now) {
      server = (server + 1) % kServers;
    }
    if (aRequest->isDeadly) {
      const auto& crashes = this->crashTimes[aRequest->parts.back()];
      const bool isLate = crashes.size() >= 5 && this->now > crashes[4] + kStableWindow;
      this->lateDeadlySends += isLate ? 1 : 0;
    }
    ++aRequest->attempts;
    aRequest->server = server;
    aRequest->run = RequestId(std::to_string(++this->runCount));
    quarantine.OnSent(
      aRequest->run, ServerId("server-" + std::to_string(server)), aRequest->parts);
    this->running[server].insert(aRequest);
    const auto run = aRequest->run;
    this->Schedule(this->RandomDuration(30ms, 400ms),
                   [this, aRequest, run] { this->Start(aRequest, run); });
  }

  void Start(const RequestPointer& aRequest, const RequestId& aRun)
  {
    if (aRequest->run != aRun) {
      return;
    }
    if (aRequest->isDeadly && this->now >= kStart + kDeadlyFrom) {
      this->crashTimes[aRequest->parts.back()].push_back(this->now);
      this->Crash(aRequest->server);
      return;
    }
    this->Schedule(150ms, [this, aRequest, aRun] {
      if (aRequest->run == aRun) {
        this->quarantines[aRequest->vm].OnEvents(
          aRun, PromptPartQuarantine::kEventsToSurvive, this->now);
      }
    });
    this->Schedule(1500ms, [this, aRequest, aRun] {
      if (aRequest->run == aRun) {
        this->quarantines[aRequest->vm].OnEnded(aRun, RunEnd::Survived, this->now);
        this->running[aRequest->server].erase(aRequest);
        aRequest->run = RequestId();
      }
    });
  }

  void Crash(std::size_t aServer)
  {
    this->downUntil[aServer] = this->now + 3s;
    const auto requests = std::exchange(this->running[aServer], {});
    const std::size_t next = this->random.Below(kServers);
    std::set<std::size_t> vms;
    for (const auto& request : requests) {
      vms.insert(request->vm);
      this->quarantines[request->vm].OnEnded(request->run, RunEnd::Abandoned, this->now);
      request->run = RequestId();
      if (request->attempts < 2) {
        this->Schedule(this->RandomDuration(1ms, 10ms),
                       [this, request, next] { this->Send(request, next); });
      }
    }
    for (const auto vm : vms) {
      this->Schedule(this->RandomDuration(1ms, 8ms), [this, vm, aServer] {
        this->quarantines[vm].OnServerCrashed(
          ServerId("server-" + std::to_string(aServer)), this->now);
      });
    }
  }

  Scenario scenario;
  Random random;
  TimePoint now = kStart;
  std::multimap<TimePoint, std::function<void()>> events;
  std::vector<PromptPartQuarantine> quarantines;
  std::vector<TimePoint> downUntil;
  std::map<std::size_t, std::set<RequestPointer>> running;
  std::map<PromptPartId, std::vector<TimePoint>> crashTimes;
  std::uint64_t runCount = 0;
};

constexpr std::uint64_t kSeeds = 18;

/// Checks the operators' bound on late requests, and that no sound request is rejected.
void CheckAllSeeds(const Scenario& aScenario)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    SimulatedFleet fleet(seed, aScenario);
    fleet.Run();
    CHECK(fleet.lateDeadlySends <= 3);
    CHECK(fleet.soundRejections == 0);
  }
}

/// One VM that saw requests with these parts start on servers that then crashed.
class CrashSequence
{
public:
  void Crash(const std::vector<PromptPartId>& aParts, Duration aAfter)
  {
    this->now += aAfter;
    const auto name = std::to_string(++this->count);
    this->quarantine.OnSent(RequestId(name), ServerId(name), aParts);
    this->quarantine.OnEnded(RequestId(name), RunEnd::Abandoned, this->now);
    this->quarantine.OnServerCrashed(ServerId(name), this->now);
  }

  void Survive(const std::vector<PromptPartId>& aParts)
  {
    const RequestId run("run-" + std::to_string(++this->count));
    this->quarantine.OnSent(run, ServerId("sound"), aParts);
    this->quarantine.OnEvents(run, PromptPartQuarantine::kEventsToSurvive, this->now);
  }

  std::size_t Judge()
  {
    this->now += PromptPartQuarantine::kSettlingTime;
    return this->quarantine.OnTime(this->now).size();
  }

  [[nodiscard]] bool IsQuarantined(PromptPartId aPart) const
  {
    return this->quarantine.FindQuarantined(std::vector{ aPart }, this->now).has_value();
  }

  PromptPartQuarantine quarantine;
  TimePoint now = kStart;

private:
  int count = 0;
};

} // namespace

TEST_CASE("Different requests that share a crashing prompt part stop crashing servers",
          "[crashes]")
{
  // Guards against a quarantine that knows only whole requests, or only its own VM's.
  for (const std::size_t vms : { 1, 6, 24 }) {
    for (const Duration interval : { 100ms, 400ms, 1500ms }) {
      Scenario scenario;
      scenario.vms = vms;
      scenario.deadlyInterval = interval;
      for (std::uint64_t seed = 1; seed <= kSeeds / 6; ++seed) {
        INFO("vms " << vms << " interval ms " << ToMilliseconds(interval).count()
                    << " seed " << seed);
        SimulatedFleet fleet(seed, scenario);
        fleet.Run();
        CHECK(fleet.MostCrashes() >= 3);
        CHECK(fleet.lateDeadlySends <= 3);
        CHECK(fleet.soundRejections == 0);
      }
    }
  }
}

TEST_CASE(
  "A prompt part that begins to crash servers after runs with it went on is found",
  "[crashes]")
{
  // Guards against earlier answers that clear a part for good.
  Scenario scenario;
  scenario.deadlyPartWasSound = true;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    SimulatedFleet fleet(seed, scenario);
    fleet.Run();
    CHECK(fleet.MostCrashes() >= 5);
    CHECK(fleet.lateDeadlySends <= 3);
    CHECK(fleet.soundRejections == 0);
  }
}

TEST_CASE("Two crashing prompt parts at a time are both found", "[crashes]")
{
  // Guards against crashes of one part that are all attributed to the other.
  Scenario scenario;
  scenario.deadlyParts = { kDeadlyPart, kDeadlyPart + 1 };
  CheckAllSeeds(scenario);
}

TEST_CASE("Servers that are lost together bring no prompt part into quarantine",
          "[crashes]")
{
  // Guards against an outage that is taken for requests that crash servers.
  Scenario scenario;
  scenario.deadlyParts = {};
  scenario.serversLostTogether = 8;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    SimulatedFleet fleet(seed, scenario);
    fleet.Run();
    CHECK(fleet.soundRequests > 1000);
    CHECK(fleet.soundRejections == 0);
  }
}

TEST_CASE("A crashing prompt part is found while servers are also lost together",
          "[crashes]")
{
  // Guards against other crashes that hide the one cause.
  Scenario scenario;
  scenario.serversLostTogether = 5;
  scenario.messageLoss = 0.4;
  CheckAllSeeds(scenario);
}

TEST_CASE("Of prompt parts that always come together, the one that never went on is held",
          "[crashes]")
{
  // Guards against a quarantine of the part that sound requests share with the bad ones.
  CrashSequence vm;
  vm.Survive({ kFirstPart });
  vm.now += 10ms;
  for (int crash = 0; crash < 2; ++crash) {
    vm.Crash({ kFirstPart, kDeadlyPart }, 300ms);
    CHECK(vm.Judge() == 0);
  }
  vm.Crash({ kFirstPart, kDeadlyPart }, 300ms);
  CHECK(vm.Judge() == 1);
  CHECK(vm.IsQuarantined(kDeadlyPart));
  CHECK(!vm.IsQuarantined(kFirstPart));
}

TEST_CASE("Without other evidence the last common prompt part is quarantined",
          "[crashes]")
{
  CrashSequence vm;
  for (int crash = 0; crash < 5; ++crash) {
    vm.Crash({ kFirstPart, 7, kDeadlyPart }, 300ms);
  }
  CHECK(vm.Judge() == 1);
  CHECK(vm.IsQuarantined(kDeadlyPart));
  CHECK(!vm.IsQuarantined(kFirstPart));
}

TEST_CASE("A quarantined prompt part is released when a run with it goes on", "[crashes]")
{
  // Guards against a wrong verdict that holds for its whole lifetime.
  CrashSequence vm;
  for (PromptPartId other = 10; other < 13; ++other) {
    vm.Crash({ kDeadlyPart, other }, 300ms);
  }
  CHECK(vm.Judge() == 1);
  PromptPartQuarantine peer;
  peer.Merge(vm.quarantine.News(vm.now, NewsScope::Own), vm.now);
  CHECK(peer.RemainingTime(kDeadlyPart, vm.now) > Duration::zero());
  vm.now += 10ms;
  vm.Survive({ kDeadlyPart });
  CHECK(!vm.IsQuarantined(kDeadlyPart));
  peer.Merge(vm.quarantine.News(vm.now, NewsScope::Own), vm.now + 1ms);
  CHECK(peer.RemainingTime(kDeadlyPart, vm.now + 1ms) == Duration::zero());
  CHECK(vm.Judge() == 0);
}

TEST_CASE("VMs do not extend each other's quarantine of a prompt part", "[crashes]")
{
  CrashSequence vm;
  for (PromptPartId other = 10; other < 13; ++other) {
    vm.Crash({ kDeadlyPart, other }, 300ms);
  }
  REQUIRE(vm.Judge() == 1);
  PromptPartQuarantine peer;
  for (int round = 0; round < 1000; ++round) {
    vm.now += 700ms;
    peer.Merge(vm.quarantine.News(vm.now, NewsScope::Own), vm.now);
    vm.quarantine.Merge(peer.News(vm.now, NewsScope::Own), vm.now);
    peer.OnTime(vm.now);
    vm.quarantine.OnTime(vm.now);
  }
  CHECK(!vm.IsQuarantined(kDeadlyPart));
  CHECK(peer.Quarantined(vm.now).empty());
}

TEST_CASE("A failed run on a server that stays up clears no prompt part", "[crashes]")
{
  // Guards against an error response of a faulty server that hides a crashing part.
  CrashSequence vm;
  for (PromptPartId other = 10; other < 13; ++other) {
    vm.Crash({ kDeadlyPart, other }, 300ms);
    const RequestId failed("failed-" + std::to_string(other));
    vm.quarantine.OnSent(failed, ServerId("grey"), std::vector{ kDeadlyPart });
    vm.quarantine.OnEnded(failed, RunEnd::Abandoned, vm.now);
    const RequestId empty("empty-" + std::to_string(other));
    vm.quarantine.OnSent(empty, ServerId("grey"), std::vector{ kDeadlyPart });
    vm.quarantine.OnEnded(empty, RunEnd::Survived, vm.now);
  }
  CHECK(vm.Judge() == 1);
  CHECK(vm.IsQuarantined(kDeadlyPart));
}

TEST_CASE("Evidence on prompt parts stays bounded", "[crashes]")
{
  // Guards against callers or peers that fill the memory with parts of their own.
  CrashSequence vm;
  PromptPartId next = 1000;
  for (int crash = 0; crash < 400; ++crash) {
    std::vector<PromptPartId> parts = { kDeadlyPart };
    for (int part = 0; part < 4000; ++part) {
      parts.push_back(++next);
    }
    vm.Crash(parts, 200ms);
    PromptPartEvidence forged;
    forged.crashes = { { ServerId("x" + std::to_string(crash)), 1000h, parts },
                       { ServerId("y" + std::to_string(crash)), 0s, parts } };
    forged.quarantined = parts;
    forged.survivals = { { next, 1000h } };
    vm.quarantine.Merge(forged, vm.now);
    vm.Survive(std::vector<PromptPartId>(parts.begin() + 1, parts.end()));
  }
  vm.Judge();
  CHECK(vm.IsQuarantined(kDeadlyPart));
  const auto news = vm.quarantine.News(vm.now, NewsScope::Own);
  CHECK(news.crashes.size() <= PromptPartQuarantine::kMaxReportedCrashes);
  CHECK(news.survivals.size() <= PromptPartQuarantine::kMaxReportedSurvivals);
  CHECK(news.quarantined.size() <= PromptPartQuarantine::kMaxReportedQuarantined);
  CHECK(vm.quarantine.Quarantined(vm.now).size() <=
        PromptPartQuarantine::kMaxQuarantined);
  CHECK(vm.quarantine.Describe(vm.now).at("crashes") <=
        PromptPartQuarantine::kMaxCrashes);
  vm.now += PromptPartQuarantine::kLifetime + 1s;
  vm.quarantine.OnTime(vm.now);
  CHECK(vm.quarantine.Quarantined(vm.now).empty());
  CHECK(vm.quarantine.Describe(vm.now).at("crashes") == 0);
}
