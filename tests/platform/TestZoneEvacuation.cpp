#include <algorithm>
#include <csignal>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "support/PlatformStandin.h"

using namespace toucanstand;
using nlohmann::json;

// The operator evacuates an availability zone and takes it back. Two zones with two
// groups and one instance of the plain service each.

namespace {

const std::string kZone = "zone-a";
const std::string kOtherZone = "zone-b";
const std::string kOrderPrefix = "op/evacuate/";
constexpr int kEngines = 8;
constexpr std::size_t kGroups = 4;

class Fixture
{
public:
  explicit Fixture(const std::vector<std::string>& aVms)
  {
    this->platform.RunOnLoop([this] {
      for (const auto& id : this->platform.ServerIds()) {
        const bool isOther = (id.back() - '0') % 2 == 1;
        this->platform.BackendServer(id).Place(isOther ? kOtherZone : kZone);
      }
    });
    for (const auto& vm : aVms) {
      this->Start(vm);
    }
    for (const auto& vm : this->vms) {
      vm->WaitForGroups(kGroups);
    }
  }

  ServerUnderTest& Start(const std::string& aVm)
  {
    this->vms.push_back(std::make_unique<ServerUnderTest>(this->platform, aVm));
    return *this->vms.back();
  }

  void Evacuate(const std::string& aZone)
  {
    this->platform.RunOnLoop(
      [&] { this->platform.Store().Put(kOrderPrefix + aZone, "{}"); });
  }
  void TakeBack(const std::string& aZone)
  {
    this->platform.RunOnLoop(
      [&] { this->platform.Store().Delete(kOrderPrefix + aZone); });
  }

  void WaitForEvacuatedZones(std::size_t aCount)
  {
    for (const auto& vm : this->vms) {
      vm->caller.WaitFor(vm->operatorEndpoint, "/state", [aCount](const json& aState) {
        return aState.value("state", json::object())
                 .value("evacuated_zones", json::array())
                 .size() == aCount;
      });
    }
  }

  /// Sends requests of both kinds to each VM. @returns the zones whose servers ran them
  std::set<std::string> SendRequests()
  {
    constexpr int kRounds = 8;
    const auto before = this->platform.Runs().size();
    for (int round = 0; round < kRounds; ++round) {
      for (const auto& vm : this->vms) {
        const auto number = std::to_string(++this->requests);
        const auto stream = vm->Generate("stream-" + number);
        const auto call = vm->Call("GET", "/looks/1", "call-" + number);
        this->failures += stream && stream->status == 200 ? 0 : 1;
        this->failures += call && call->status == 200 ? 0 : 1;
      }
    }
    std::set<std::string> zones;
    const auto runs = this->platform.Runs();
    for (auto run = before; run < runs.size(); ++run) {
      const bool isOther = (runs[run].server.back() - '0') % 2 == 1;
      zones.insert(isOther ? kOtherZone : kZone);
    }
    return zones;
  }

  PlatformStandin platform{ kEngines };
  std::vector<std::unique_ptr<ServerUnderTest>> vms;
  int requests = 0;
  int failures = 0;
};

} // namespace

TEST_CASE("No request reaches an evacuated zone until it is taken back", "[evacuation]")
{
  // Guards against VMs that do not obey the order: while it stands, a VM starts, the
  // leader of group formation is killed, and the store fails.
  Fixture fixture({ "vm-1", "vm-2" });
  CHECK(fixture.SendRequests().contains(kZone));
  fixture.Evacuate(kZone);
  fixture.WaitForEvacuatedZones(1);
  CHECK(fixture.SendRequests() == std::set{ kOtherZone });

  fixture.Start("vm-3");
  fixture.vms.back()->WaitForGroups(kGroups / 2);
  CHECK(fixture.SendRequests() == std::set{ kOtherZone });

  fixture.vms.front()->process->Signal(SIGKILL);
  fixture.vms.erase(fixture.vms.begin());
  CHECK(fixture.SendRequests() == std::set{ kOtherZone });

  fixture.platform.RunOnLoop([&] { fixture.platform.Store().faults.rejectCalls = true; });
  CHECK(fixture.SendRequests() == std::set{ kOtherZone });
  fixture.platform.RunOnLoop(
    [&] { fixture.platform.Store().faults.rejectCalls = false; });

  fixture.TakeBack(kZone);
  fixture.WaitForEvacuatedZones(0);
  CHECK(fixture.SendRequests().contains(kZone));
  CHECK(fixture.failures == 0);
}

TEST_CASE("An order that a restored store has lost ends the evacuation", "[evacuation]")
{
  // Guards against a zone that stays without requests because no change announces that
  // its key is gone: the full read after a restoration has to end the evacuation.
  Fixture fixture({ "vm-1" });
  fixture.platform.TakeStoreCopy();
  fixture.Evacuate(kZone);
  fixture.WaitForEvacuatedZones(1);
  fixture.platform.RestoreStore();
  fixture.WaitForEvacuatedZones(0);
  CHECK(fixture.SendRequests().contains(kZone));
}

TEST_CASE("An order that names no zone is counted once", "[evacuation]")
{
  // Guards against a count that suggests a second wrong order when the operator has
  // deleted the first one.
  Fixture fixture({ "vm-1" });
  fixture.Evacuate("");
  fixture.TakeBack("");
  fixture.Evacuate(kZone);
  fixture.WaitForEvacuatedZones(1);
  auto& vm = *fixture.vms.front();
  const auto metrics = vm.caller.Call(vm.operatorEndpoint, "GET", "/metrics");
  REQUIRE(metrics.HasValue());
  CHECK(metrics->body.find("evacuations_unreadable_total 1\n") != std::string::npos);
}

TEST_CASE("Requests are refused as not run while all zones are evacuated", "[evacuation]")
{
  // Guards against requests that wait for servers which must get nothing, and against a
  // VM that does not recover when one zone is taken back.
  Fixture fixture({ "vm-1" });
  fixture.Evacuate(kZone);
  fixture.Evacuate(kOtherZone);
  fixture.WaitForEvacuatedZones(2);
  auto& vm = *fixture.vms.front();
  for (const auto& answer :
       { vm.Generate("stream"), vm.Call("POST", "/holds/1", "call") }) {
    REQUIRE(answer.HasValue());
    CHECK(answer->status == 503);
    CHECK_FALSE(answer->headers.Find("Retry-After").empty());
  }
  CHECK(fixture.platform.Runs().empty());
  fixture.TakeBack(kOtherZone);
  fixture.WaitForEvacuatedZones(1);
  CHECK(fixture.SendRequests() == std::set{ kOtherZone });
  CHECK(fixture.failures == 0);
}
