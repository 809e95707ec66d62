#include <map>
#include <set>

#include <catch2/catch.hpp>

#include "peers/PeerDirectory.h"
#include "peers/PeerReportAggregator.h"
#include "peers/VmRun.h"
#include "peers/ZoneAggregate.h"
#include "peers/ZoneRelays.h"

using namespace toucanstand;

namespace {

constexpr int kVms = 61;
constexpr int kZones = 3;
/// The first six VMs are the large ones, two in each zone.
constexpr int kLargeVms = 6;

ZoneId ZoneOfVm(int aNumber)
{
  return ZoneId("z" + std::to_string(aNumber % kZones));
}

std::string RunIdOf(int aNumber)
{
  return MakeRunId(VmId("vm-" + std::to_string(aNumber)), 7, ZoneOfVm(aNumber));
}

Presence PresenceOf(int aNumber)
{
  return { { "10.0.0.1", static_cast<std::uint16_t>(1000 + aNumber) },
           aNumber < kLargeVms ? 0.5 : 0.12 };
}

PeerDirectory MakeDirectory(int aOwn, int aVms = kVms)
{
  PeerDirectory directory(RunIdOf(aOwn), PresenceOf(aOwn));
  directory.SetZonesAreFarApart(true);
  for (int number = 0; number < aVms; ++number) {
    directory.Put(RunIdOf(number), PresenceOf(number), number + 1);
  }
  return directory;
}

constexpr int kGroups = 28;
constexpr int kReportsPerSecond = 10;
constexpr int kAggregatesPerSecond = 20;
constexpr std::size_t kHeaderBytes = 28;

/// A VM's share of 344 generations a second that take about 1 s each.
PeerReport ReportOf(int aNumber)
{
  PeerReport report;
  report.sender = VmId("vm-" + std::to_string(aNumber));
  report.runNumber = 0xFFFFFFFFFFFFFFFULL;
  report.sequence = 10'000;
  for (int request = 0; request < 6; ++request) {
    const int group = (aNumber * 5 + request * 7) % kGroups;
    report.loads.push_back({ "large-" + std::to_string(7'900'000 + group), 0, 0, 1 });
  }
  report.demand = { { "large", 12.345 }, { "small", 3.456 } };
  report.learnedOverheads = { { "large", { 0.0123, 400 } },
                              { "small", { 0.0234, 2000 } } };
  return report;
}

/// Bytes of reports and aggregates that cross zones in a second, with the headers of
/// their datagrams.
std::size_t BytesAcrossZones(bool aZonesAreFarApart)
{
  std::vector<PeerDirectory> directories;
  for (int own = 0; own < kVms; ++own) {
    directories.push_back(MakeDirectory(own));
    directories.back().SetZonesAreFarApart(aZonesAreFarApart);
  }
  PeerReportAggregator all;
  std::map<ZoneId, ZoneAggregate> zones;
  std::map<ZoneId, PeerReportAggregator> totals;
  for (int number = 0; number < kVms; ++number) {
    all.Add(ReportOf(number));
    totals[ZoneOfVm(number)].Add(ReportOf(number));
    zones[ZoneOfVm(number)].vms.push_back(ReportOf(number).sender);
  }
  std::size_t bytes = 0;
  for (int own = 0; own < kVms; ++own) {
    auto& directory = directories[static_cast<std::size_t>(own)];
    const auto add = [&](std::size_t aSize, const Endpoint& aTo, int aPerSecond) {
      const bool isAcross = directory.ZoneOf(aTo) != directory.OwnZone();
      bytes +=
        isAcross ? (aSize + kHeaderBytes) * static_cast<std::size_t>(aPerSecond) : 0;
    };
    const bool isZoneRelay = directory.AreRelaysByZone() && directory.IsRelay();
    if (isZoneRelay) {
      auto aggregate = zones.at(directory.OwnZone());
      aggregate.zone = directory.OwnZone();
      aggregate.sum = totals.at(directory.OwnZone()).Total();
      aggregate.sum.sender = VmId("vm-1");
      aggregate.sum.runNumber = 0xFFFFFFFFFFFFFFFULL;
      for (const auto& relay : directory.Relays()) {
        add(EncodeZoneAggregate(aggregate).size(), relay, kAggregatesPerSecond);
      }
      continue;
    }
    const auto relay = directory.RelayOfOwnZone();
    const auto receivers = relay ? std::vector{ *relay } : directory.Relays();
    for (const auto& receiver : receivers) {
      add(EncodePeerReport(ReportOf(own)).size(), receiver, kReportsPerSecond);
    }
    if (!directory.IsRelay()) {
      auto aggregate = all.TotalWithout(ReportOf(own));
      aggregate.sender = VmId("vm-1");
      aggregate.runNumber = 0xFFFFFFFFFFFFFFFULL;
      // In the other direction, between the same two zones.
      add(EncodePeerReport(aggregate).size(),
          directory.Relays().front(),
          kAggregatesPerSecond);
    }
  }
  return bytes;
}

} // namespace

TEST_CASE("Less than half of the bytes between VMs cross zones that are far apart",
          "[peers]")
{
  // Guards against a change that sends reports or aggregates across zones again.
  const auto before = BytesAcrossZones(false);
  const auto now = BytesAcrossZones(true);
  CHECK(before > 500'000);
  CHECK(now < before / 5);
}

TEST_CASE("A run id states the zone, and one of an earlier build states none", "[peers]")
{
  // Guards against a VM of an earlier build that counts as one that sends zone
  // aggregates.
  CHECK(MakeRunId(VmId("vm-1"), 23, ZoneId("z1")) == "vm-1.23@z1");
  CHECK(MakeRunId(VmId("vm-1"), 23, ZoneId()) == "vm-1.23");
  CHECK(MakeRunId(VmId("vm-1"), 23, ZoneId(std::string(129, 'z'))) == "vm-1.23");
  CHECK(ZoneOfRun("vm-1.23@z1") == ZoneId("z1"));
  CHECK(ZoneOfRun("a@b.23@z@1") == ZoneId("z@1"));
  for (const auto* runId : { "", "vm-1.23", "vm@1.23", "vm-1@z1", "vm-1.@z1", "1@z1" }) {
    INFO(runId);
    CHECK(ZoneOfRun(runId).IsEmpty());
  }
}

TEST_CASE("Each zone has one relay, which all VMs compute alike and ask first", "[peers]")
{
  // Guards against a VM that reports across zones beside a relay of its own zone, and
  // against more relays, that is more calls to the store, than without zones.
  std::map<ZoneId, std::set<Endpoint>> relays;
  int relayCount = 0;
  for (int own = 0; own < kVms; ++own) {
    auto directory = MakeDirectory(own);
    CHECK(directory.AreRelaysByZone());
    if (directory.IsRelay()) {
      ++relayCount;
      CHECK(own < kLargeVms);
      CHECK(directory.Relays().size() == kZones - 1);
      CHECK(!directory.RelayOfOwnZone());
      continue;
    }
    REQUIRE(directory.RelayOfOwnZone());
    CHECK(directory.Relays().size() == kZones);
    CHECK(directory.Relays().front() == *directory.RelayOfOwnZone());
    CHECK(directory.ZoneOf(directory.Relays().front()) == ZoneOfVm(own));
    relays[ZoneOfVm(own)].insert(directory.Relays().front());
  }
  CHECK(relayCount == kZones);
  for (const auto& [zone, chosen] : relays) {
    CHECK(chosen.size() == 1);
  }
}

TEST_CASE("The relay of a zone is replaced when it leaves, and takes its place again",
          "[peers]")
{
  auto directory = MakeDirectory(kVms - 1);
  const auto first = *directory.RelayOfOwnZone();
  const int number = first.port - 1000;
  directory.Remove(RunIdOf(number), TimePoint{});
  REQUIRE(directory.RelayOfOwnZone());
  CHECK(*directory.RelayOfOwnZone() != first);
  CHECK(directory.ZoneOf(*directory.RelayOfOwnZone()) == directory.OwnZone());
  directory.Put(RunIdOf(number), PresenceOf(number), 100);
  CHECK(*directory.RelayOfOwnZone() == first);
}

TEST_CASE("A zone without a VM that is large enough uses the relays of the others",
          "[peers]")
{
  // Guards against a VM with 0.12 of a core that serves a zone beside VMs with 0.5.
  auto directory = MakeDirectory(kVms - 1);
  for (int number = 0; number < kLargeVms; ++number) {
    if (ZoneOfVm(number) == directory.OwnZone()) {
      directory.Remove(RunIdOf(number), TimePoint{});
    }
  }
  CHECK(directory.AreRelaysByZone());
  CHECK(!directory.RelayOfOwnZone());
  CHECK(directory.Relays().size() == kZones - 1);
}

TEST_CASE("Relays are chosen without regard to zones wherever a condition is missing",
          "[peers]")
{
  // Guards against another behaviour in the earlier deployments, and against messages
  // that a VM of an earlier build would not understand.
  auto near = MakeDirectory(40);
  near.SetZonesAreFarApart(false);
  CHECK(!near.AreRelaysByZone());
  CHECK(near.Relays().size() == 3);

  auto few = MakeDirectory(1, static_cast<int>(PeerDirectory::kMaxDirectPeers) + 1);
  CHECK(!few.AreRelaysByZone());
  few.Put(RunIdOf(50), PresenceOf(50), 99);
  CHECK(few.AreRelaysByZone());

  auto mixed = MakeDirectory(40);
  mixed.Put("vm-99.7", PresenceOf(99), 99);
  CHECK(!mixed.AreRelaysByZone());
  CHECK(!mixed.RelayOfOwnZone());
  mixed.Remove("vm-99.7", TimePoint{});
  CHECK(mixed.AreRelaysByZone());

  auto large = MakeDirectory(40, kZones * static_cast<int>(ZoneRelays::kMaxVmsPerZone));
  CHECK(large.AreRelaysByZone());
  large.Put(RunIdOf(300), PresenceOf(300), 999);
  CHECK(!large.AreRelaysByZone());

  // With relays in one zone alone.
  CHECK(!ZoneRelays::Choose(
    { { "a.1@x", 0.5, ZoneId("x") }, { "b.1@x", 0.5, ZoneId("x") } }));
  CHECK(!ZoneRelays::Choose({}));
}
