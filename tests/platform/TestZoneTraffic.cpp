#include <chrono>
#include <thread>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "peers/PeerDirectory.h"
#include "peers/PeerReport.h"
#include "peers/ZoneAggregate.h"
#include "store/ChangeRelay.h"
#include "support/FakePeer.h"
#include "support/PlatformStandin.h"

using namespace toucanstand;
using namespace std::chrono_literals;
using nlohmann::json;

// A process in zone-a among VMs of two zones that are far apart; two of these VMs are
// played by the test, the others are registrations only.

namespace {

constexpr auto kPresencePrefix = "toucanstand/vms/";

void Register(PlatformStandin& aPlatform,
              const std::string& aRunId,
              const Endpoint& aEndpoint,
              const char* aShare)
{
  aPlatform.RunOnLoop([&] {
    aPlatform.Store().Put(kPresencePrefix + aRunId, aEndpoint.Text() + " " + aShare);
  });
}

void WriteDelays(PlatformStandin& aPlatform)
{
  auto services = PlatformStandin::DefaultConfiguration(2).at("Services");
  services[0]["Engine"]["delays"] = {
    { { "From", "zone-a" }, { "ToVersion", "zone-b" }, { "delay_ms", 3.9 } }
  };
  aPlatform.WriteConfiguration(2, { { "Services", services } });
}

void RegisterOthers(PlatformStandin& aPlatform)
{
  for (std::size_t number = 0; number < PeerDirectory::kMaxDirectPeers; ++number) {
    const std::string zone = number % 2 == 0 ? "@zone-a" : "@zone-b";
    Register(aPlatform,
             "other-" + std::to_string(number) + ".1" + zone,
             { "127.0.0.1", static_cast<std::uint16_t>(20000 + number) },
             "0.125");
  }
}

void WaitForZones(ServerUnderTest& aServer, bool aAreRelaysByZone)
{
  aServer.caller.WaitFor(aServer.operatorEndpoint, "/state", [&](const json& aState) {
    return aState.at("state").at("relays_by_zone") == aAreRelaysByZone;
  });
}

/// The datagrams that arrived within the time.
std::vector<Datagram> Receive(FakePeer& aPeer, std::chrono::milliseconds aTime)
{
  std::this_thread::sleep_for(aTime);
  std::vector<Datagram> datagrams;
  while (const auto bytes = aPeer.TakeDatagram()) {
    auto datagram = DecodeDatagram(*bytes);
    REQUIRE(datagram.HasValue());
    datagrams.push_back(std::move(*datagram));
  }
  return datagrams;
}

std::size_t ReportCount(const std::vector<Datagram>& aDatagrams)
{
  return static_cast<std::size_t>(std::ranges::count_if(aDatagrams, [](const auto& aOne) {
    return aOne.kind == DatagramKind::LoadReport &&
           DecodePeerReport(aOne.fields)->aggregatedVms == 0;
  }));
}

PeerReport ReportOf(const char* aVm, const char* aGroup, std::uint64_t aSequence)
{
  PeerReport report;
  report.sender = VmId(aVm);
  report.runNumber = 1;
  report.sequence = aSequence;
  report.loads = { { aGroup, 1, 100, 2 } };
  return report;
}

} // namespace

TEST_CASE("The relay of a zone passes the sums of zones on", "[zones]")
{
  // Guards against loads of another zone that no VM of this one learns of, that come back
  // to their VM, and against news that stay in one zone.
  PlatformStandin platform(2);
  ServerUnderTest server(platform, "vm-1");
  FakePeer follower;
  FakePeer otherRelay;
  RegisterOthers(platform);
  Register(platform, "vm-a.1@zone-a", follower.Address(), "0.125");
  Register(platform, "vm-b.1@zone-b", otherRelay.Address(), "1.000");
  WriteDelays(platform);
  WaitForZones(server, true);
  std::optional<ZoneAggregate> ofZone;
  std::optional<PeerReport> forFollower;
  // A VM that becomes a relay sends its first aggregates within a second.
  constexpr std::uint64_t kMaxRounds = 70;
  for (std::uint64_t round = 1; round <= kMaxRounds && !(ofZone && forFollower);
       ++round) {
    follower.Send(EncodeChangeQuery({ round, 0 }), server.peerEndpoint);
    auto report = ReportOf("vm-a", "own", round);
    report.suspectedGroups = { "suspected-in-a" };
    follower.Send(EncodePeerReport(report), server.peerEndpoint);
    ZoneAggregate aggregate{ ZoneId("zone-b"), { VmId("vm-b"), VmId("vm-c") }, {} };
    aggregate.sum = ReportOf("vm-b", "foreign", round);
    aggregate.sum.aggregatedVms = 2;
    aggregate.sum.suspectedGroups = { "suspected-in-b" };
    otherRelay.Send(EncodeZoneAggregate(aggregate), server.peerEndpoint);
    const auto ofOther = Receive(otherRelay, 60ms);
    CHECK((round == 1 || ReportCount(ofOther) == 0));
    for (const auto& datagram : ofOther) {
      if (datagram.kind == DatagramKind::ZoneAggregate) {
        const auto received = DecodeZoneAggregate(datagram.fields);
        REQUIRE(received.HasValue());
        const auto& news = received->sum.suspectedGroups;
        CHECK(std::ranges::count(news, "suspected-in-b") == 0);
        if (std::ranges::count(news, "suspected-in-a") > 0) {
          ofZone = *received;
        }
      }
    }
    for (const auto& datagram : Receive(follower, 10ms)) {
      CHECK(datagram.kind != DatagramKind::ZoneAggregate);
      if (datagram.kind == DatagramKind::LoadReport) {
        const auto received = DecodePeerReport(datagram.fields);
        if (std::ranges::count(received->suspectedGroups, "suspected-in-b") > 0) {
          forFollower = *received;
        }
      }
    }
  }
  REQUIRE(ofZone);
  CHECK(ofZone->zone == ZoneId("zone-a"));
  CHECK(ofZone->vms == std::vector<VmId>{ VmId("vm-1"), VmId("vm-a") });
  REQUIRE(ofZone->sum.loads.size() == 1);
  CHECK(ofZone->sum.loads[0].group == "own");
  REQUIRE(forFollower);
  CHECK(forFollower->aggregatedVms == 3);
  REQUIRE(forFollower->loads.size() == 1);
  CHECK(forFollower->loads[0].group == "foreign");
  CHECK(forFollower->loads[0].decodeRequests == 2);
}

TEST_CASE("A VM reports to the relay of its zone while that sends aggregates", "[zones]")
{
  // Guards against reports across zones beside a relay in the own one, against VMs whose
  // load is unknown while their relay is silent, and against a VM of an earlier build
  // that hears of nobody.
  PlatformStandin platform(2);
  ServerUnderTest server(platform, "vm-1");
  FakePeer ownRelay;
  FakePeer otherRelay;
  RegisterOthers(platform);
  Register(platform, "vm-a.1@zone-a", ownRelay.Address(), "8.000");
  Register(platform, "vm-b.1@zone-b", otherRelay.Address(), "8.000");
  WriteDelays(platform);
  WaitForZones(server, true);
  std::uint64_t sequence = 0;
  const auto sendAggregates = [&](std::chrono::milliseconds aTime) {
    const auto deadline = std::chrono::steady_clock::now() + aTime;
    while (std::chrono::steady_clock::now() < deadline) {
      auto aggregate = ReportOf("vm-a", "group", ++sequence);
      aggregate.aggregatedVms = 2;
      ownRelay.Send(EncodePeerReport(aggregate), server.peerEndpoint);
      std::this_thread::sleep_for(30ms);
    }
  };
  sendAggregates(1500ms);
  (void)Receive(otherRelay, 0ms);
  (void)Receive(ownRelay, 0ms);
  // An idle VM reports once a second.
  sendAggregates(2500ms);
  CHECK(ReportCount(Receive(otherRelay, 0ms)) == 0);
  CHECK(ReportCount(Receive(ownRelay, 0ms)) >= 2);
  CHECK(ReportCount(Receive(otherRelay, 2500ms)) >= 1);
  Register(platform, "earlier.1", { "127.0.0.1", 20100 }, "0.125");
  WaitForZones(server, false);
  sendAggregates(1500ms);
  CHECK(ReportCount(Receive(otherRelay, 0ms)) >= 1);
}
