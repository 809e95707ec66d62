#include <algorithm>
#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "support/ParallelCallers.h"
#include "support/PlatformStandin.h"

using namespace toucanstand;
using namespace std::chrono_literals;
using nlohmann::json;
using SteadyTime = std::chrono::steady_clock::time_point;

// Callers of three VMs send all they can to two zones with two groups each.

namespace {

const std::string kZone = "zone-a";
const std::string kOtherZone = "zone-b";
const std::string kOrder = "op/evacuate/" + kZone;
constexpr int kEngines = 8;
constexpr std::size_t kGroups = 4;
constexpr double kPerSecond = 12;
constexpr double kOvershoot = 1.5;
constexpr double kSlack = 5;
constexpr double kBound = kPerSecond * kOvershoot + kSlack;
constexpr auto kColdStart = 2s;
constexpr auto kRegistrationAge = 2s;
/// Time in which the VMs have read a change of the store for sure.
constexpr auto kReadingTime = 1s;
/// The VMs know each other for so long before they use a share.
constexpr auto kHandover = 3s;

class Fixture
{
public:
  Fixture()
  {
    this->platform.RunOnLoop([this] {
      for (const auto& id : this->platform.ServerIds()) {
        auto& server = this->platform.BackendServer(id);
        server.Place(IsInOtherZone(id) ? kOtherZone : kZone);
        server.eventCount = 1;
        server.eventInterval = 10ms;
      }
    });
    auto services = PlatformStandin::DefaultConfiguration(1)["Services"];
    services[0]["ColdStartS"] = std::chrono::seconds(kColdStart).count();
    services[0]["ColdPerS"] = kPerSecond;
    this->platform.WriteConfiguration(2, { { "Services", services } });
    for (const char* vm : { "vm-1", "vm-2", "vm-3" }) {
      ServerUnderTest::Program program;
      program.settings = { { "cold_overshoot", kOvershoot }, { "cold_slack", kSlack } };
      this->vms.push_back(
        std::make_unique<ServerUnderTest>(this->platform,
                                          vm,
                                          this->platform.Store().Address(),
                                          ServerUnderTest::kStopPeriod,
                                          std::move(program)));
    }
    for (const auto& vm : this->vms) {
      vm->WaitForGroups(kGroups);
    }
    std::this_thread::sleep_for(kHandover + kReadingTime);
    constexpr int kCallersPerVm = 5;
    for (const auto& vm : this->vms) {
      for (int number = 0; number < kCallersPerVm; ++number) {
        this->callers.Start([this, &vm] { this->Call(*vm); });
      }
    }
    std::this_thread::sleep_for(2s);
  }

  ~Fixture()
  {
    this->isOver = true;
    this->callers.WaitForAll();
  }

  static bool IsInOtherZone(const std::string& aServer)
  {
    return (aServer.back() - '0') % 2 == 1;
  }

  void Call(ServerUnderTest& aVm)
  {
    HttpCaller caller(6s);
    while (!this->isOver) {
      const auto number = std::to_string(++this->calls);
      const auto answer =
        caller.Call(aVm.listenEndpoint,
                    "POST",
                    "/chat/1",
                    "prompt",
                    ServerUnderTest::GenerationHeaders("cold-" + number));
      if (!answer || answer->status != 200) {
        std::this_thread::sleep_for(5ms);
      }
    }
  }

  /// Most requests that one of the zone's engines ran in any second that begins and ends
  /// within the times.
  std::size_t MostInSecond(const std::string& aZone, SteadyTime aFrom, SteadyTime aUntil)
  {
    std::map<std::string, std::vector<SteadyTime>> times;
    for (const auto& run : this->platform.Runs()) {
      const bool isInZone = IsInOtherZone(run.server) == (aZone == kOtherZone);
      if (isInZone && run.startedAt >= aFrom && run.startedAt < aUntil) {
        times[run.server].push_back(run.startedAt);
      }
    }
    std::size_t most = 0;
    for (const auto& [server, runs] : times) {
      for (auto first = runs.begin(); first != runs.end(); ++first) {
        const auto last = std::lower_bound(first, runs.end(), *first + 1s);
        most = std::max(most, static_cast<std::size_t>(last - first));
      }
    }
    return most;
  }

  PlatformStandin platform{ kEngines };
  std::vector<std::unique_ptr<ServerUnderTest>> vms;
  std::atomic<int> calls = 0;
  std::atomic<bool> isOver = false;
  ParallelCallers callers;
};

} // namespace

TEST_CASE("A zone that is taken back with cold engines gets no more than they tolerate",
          "[cold]")
{
  // Guards against VMs that send each all they may to engines that have become cold while
  // their zone was empty, although their registrations do not say so yet.
  Fixture fixture;
  const auto begin = std::chrono::steady_clock::now();
  CHECK(fixture.MostInSecond(kZone, begin - 2s, begin) > kBound);
  fixture.platform.RunOnLoop([&] { fixture.platform.Store().Put(kOrder, "{}"); });
  std::this_thread::sleep_for(2s);
  const auto end = std::chrono::steady_clock::now();
  fixture.platform.RunOnLoop([&] { fixture.platform.Store().Delete(kOrder); });
  const auto coldUntil = end + kColdStart + kRegistrationAge;
  std::this_thread::sleep_until(coldUntil + kReadingTime + 1500ms);
  const auto most = fixture.MostInSecond(kZone, end, coldUntil);
  CAPTURE(most);
  CHECK(most <= kBound);
  CHECK(most >= 0.5 * kPerSecond);
  CHECK(fixture.MostInSecond(kZone, coldUntil, coldUntil + 1min) > kBound);
}

TEST_CASE("The head of a group gets what a member tolerates that says it is cold",
          "[cold]")
{
  // Guards against VMs that do not hear of an engine that becomes cold while it serves:
  // its registration differs in the time alone.
  Fixture fixture;
  const auto begin = std::chrono::steady_clock::now();
  fixture.platform.RunOnLoop([&] {
    for (const auto& id : fixture.platform.ServerIds()) {
      auto& server = fixture.platform.BackendServer(id);
      if (!Fixture::IsInOtherZone(id) && !server.IsOpenHead()) {
        server.SetCold(4s);
      }
    }
  });
  std::this_thread::sleep_for(6500ms);
  const auto most = fixture.MostInSecond(kZone, begin + kReadingTime, begin + 4s);
  CAPTURE(most);
  CHECK(most <= kBound);
  CHECK(most >= 0.5 * kPerSecond);
  CHECK(fixture.MostInSecond(kZone, begin + 4s, begin + 1min) > kBound);
}
