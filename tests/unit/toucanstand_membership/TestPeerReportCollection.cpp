#include <map>
#include <optional>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "peers/PeerReportCollection.h"
#include "random/Random.h"

using namespace toucanstand;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };
constexpr Duration kLifetime = std::chrono::seconds(1);

VmId VmOf(int aNumber)
{
  return VmId("vm-" + std::to_string(aNumber));
}

PeerReport Report(const VmId& aVm, double aRequests, std::uint64_t aSequence = 1)
{
  PeerReport report;
  report.sender = aVm;
  report.runNumber = 1;
  report.sequence = aSequence;
  report.loads = { { "m-1", aRequests, 100 * aRequests, aRequests } };
  report.demand = { { "m", aRequests } };
  return report;
}

ZoneAggregate Aggregate(const VmId& aRelay,
                        const std::vector<VmId>& aVms,
                        double aRequests,
                        std::uint64_t aSequence = 1)
{
  ZoneAggregate aggregate{ ZoneId("z1"), aVms, Report(aRelay, aRequests, aSequence) };
  aggregate.sum.aggregatedVms = aVms.size();
  return aggregate;
}

double SumSince(const PeerReportCollection& aCollection, TimePoint aTime)
{
  double sum = 0;
  for (const auto* report : aCollection.CountingSince(aTime)) {
    for (const auto& load : report->loads) {
      sum += load.decodeRequests;
    }
  }
  return sum;
}

/// VMs, their relays and what these tell one another, without a network.
class Fleet
{
public:
  Fleet(int aZones, Random& aRandom)
    : zones(aZones)
    , random(aRandom)
  {
  }

  void Join(int aVm) { this->requests[aVm] = this->DrawRequests(); }
  void Leave(int aVm) { this->requests.erase(aVm); }
  void Change()
  {
    this->ForEach([this](int aVm) { this->requests[aVm] = this->DrawRequests(); });
  }

  /// Silent to the VMs of its zone, and these to it.
  std::optional<int> lostRelay;

  /// Reports, aggregates of zones, aggregates for each VM.
  void Round()
  {
    this->now += milliseconds(100);
    ++this->sequence;
    this->ForEach([this](int aVm) {
      for (const int relay : this->ReceiversOf(aVm)) {
        this->At(relay).Add({ Report(VmOf(aVm), this->requests.at(aVm), this->sequence),
                              this->now,
                              { "10.0.0.1", static_cast<std::uint16_t>(1 + aVm) },
                              this->Zone(aVm) });
      }
    });
    for (const auto& [zone, from] : this->Relays()) {
      auto aggregate = this->At(from).SumOfZone(
        zone, this->OwnReport(from), this->now - kLifetime, this->now);
      aggregate.sum.sender = VmOf(from);
      aggregate.sum.sequence = this->sequence;
      const auto datagram = DecodeDatagram(EncodeZoneAggregate(aggregate));
      REQUIRE(datagram.HasValue());
      for (const auto& [otherZone, to] : this->Relays()) {
        if (to != from && from != this->lostRelay && to != this->lostRelay) {
          auto decoded = DecodeZoneAggregate(datagram->fields);
          REQUIRE(decoded.HasValue());
          (void)this->At(to).Add(std::move(*decoded), this->now);
        }
      }
    }
  }

  /// What a VM ends up with: the sum of the first relay that it reaches, without itself.
  [[nodiscard]] double SumAt(int aVm)
  {
    const int relay = this->IsRelay(aVm) ? aVm : this->ReceiversOf(aVm).front();
    const auto since = this->now - kLifetime;
    if (relay == aVm) {
      return SumSince(this->At(aVm), since);
    }
    PeerReportAggregator total;
    total.Add(this->OwnReport(relay));
    for (const auto* report : this->At(relay).CountingSince(since)) {
      total.Add(*report);
    }
    const auto& reports = this->At(relay).Reports();
    const auto sum = total.TotalWithout(reports.at(VmOf(aVm)).report);
    return sum.loads.empty() ? 0 : sum.loads.front().decodeRequests;
  }

  [[nodiscard]] double SumOfOthers(int aVm) const
  {
    double sum = 0;
    for (const auto& [vm, count] : this->requests) {
      sum += vm == aVm ? 0 : count;
    }
    return sum;
  }

  void ForEach(const std::function<void(int)>& aVisit)
  {
    std::vector<int> vms;
    vms.reserve(this->requests.size());
    for (const auto& [vm, count] : this->requests) {
      vms.push_back(vm);
    }
    std::ranges::for_each(vms, aVisit);
  }

  [[nodiscard]] bool IsRelay(int aVm) const
  {
    return this->Relays().at(this->Zone(aVm)) == aVm;
  }

private:
  [[nodiscard]] ZoneId Zone(int aVm) const
  {
    return ZoneId("z" + std::to_string(aVm % this->zones));
  }

  /// The VM with the lowest number in each zone.
  [[nodiscard]] std::map<ZoneId, int> Relays() const
  {
    std::map<ZoneId, int> relays;
    for (const auto& [vm, count] : this->requests) {
      relays.emplace(this->Zone(vm), vm);
    }
    return relays;
  }

  [[nodiscard]] std::vector<int> ReceiversOf(int aVm) const
  {
    const auto relays = this->Relays();
    const int own = relays.at(this->Zone(aVm));
    if (own == aVm) {
      return {};
    }
    if (own != this->lostRelay) {
      return { own };
    }
    std::vector<int> others;
    for (const auto& [zone, relay] : relays) {
      if (relay != own) {
        others.push_back(relay);
      }
    }
    return others;
  }

  [[nodiscard]] PeerReport OwnReport(int aVm) const
  {
    return Report(VmOf(aVm), this->requests.at(aVm), this->sequence);
  }

  PeerReportCollection& At(int aVm)
  {
    return this->collections.try_emplace(aVm, VmOf(aVm)).first->second;
  }

  double DrawRequests() { return static_cast<double>(this->random.Below(6)); }

  int zones;
  Random& random;
  TimePoint now = kStart;
  std::uint64_t sequence = 0;
  /// In progress, by VM.
  std::map<int, double> requests;
  std::map<int, PeerReportCollection> collections;
};

} // namespace

TEST_CASE("No VM is counted twice in reports and aggregates that share it", "[peers]")
{
  // Guards against groups that seem full for a second after a relay was replaced.
  PeerReportCollection collection(VmOf(0));
  const auto since = kStart - kLifetime;
  CHECK(collection.Add({ Report(VmOf(1), 2), kStart, {}, {} }));
  CHECK(collection.Add({ Report(VmOf(2), 3), kStart, {}, {} }));
  CHECK(SumSince(collection, since) == 5);
  CHECK(collection.Add(Aggregate(VmOf(3), { VmOf(1), VmOf(3) }, 10), kStart) ==
        std::vector<VmId>{ VmOf(1) });
  CHECK(SumSince(collection, since) == 13);
  CHECK(collection.IsInAggregateSince(VmOf(1), since));
  // A second relay of the zone with other VMs counts as well.
  const auto later = kStart + milliseconds(50);
  CHECK(collection.Add(Aggregate(VmOf(4), { VmOf(4) }, 7), later));
  CHECK(SumSince(collection, since) == 20);
  // One that has a VM of the first counts in its place.
  const auto replaced =
    collection.Add(Aggregate(VmOf(4), { VmOf(4), VmOf(3) }, 8, 2), later);
  REQUIRE(replaced);
  CHECK(replaced->back() == PeerReportCollection::AggregateOf(VmOf(3)));
  CHECK(SumSince(collection, since) == 2 + 3 + 8);
  CHECK(collection.DemandSince(since).at("m") == 13);
  // An older datagram that arrives late is dropped, one of a new run is not.
  CHECK(!collection.Add(Aggregate(VmOf(4), { VmOf(4) }, 1), later));
  auto restarted = Aggregate(VmOf(4), { VmOf(4) }, 1);
  restarted.sum.runNumber = 2;
  CHECK(collection.Add(restarted, later));
  // What contains this VM itself does not count.
  CHECK(!collection.Add(Aggregate(VmOf(5), { VmOf(0), VmOf(5) }, 50), later));
  CHECK(SumSince(collection, since) < 50);
  CHECK(SumSince(collection, later + milliseconds(1)) == 0);
  collection.RemoveOlderThan(later + milliseconds(1));
  CHECK(collection.Reports().empty());
}

TEST_CASE("An aggregate of a zone carries the news of its VMs with their age", "[peers]")
{
  // Guards against crash evidence, limits and quarantines that stay in one zone, and
  // against news that return from another zone and count as new for ever.
  PeerReportCollection collection(VmOf(0));
  auto report = Report(VmOf(1), 1);
  report.crashes = { { "server-1", 0.25, { 7 } } };
  report.survivals = { { 8, 0.5 } };
  report.rateLimits = { { "server-2", 3.0, 0.1 } };
  report.quarantinedFingerprints = { 42 };
  report.quarantinedParts = { 43 };
  report.learnedOverheads = { { "m", { 0.12, 5 } } };
  collection.Add({ report, kStart, {}, ZoneId("z0") });
  report.sender = VmOf(2);
  report.crashes.front().server = "of another zone";
  collection.Add({ report, kStart, {}, ZoneId("z1") });
  auto ofOther = Aggregate(VmOf(3), { VmOf(3) }, 9);
  ofOther.sum.crashes = { { "of another zone", 0.25, { 7 } } };
  (void)collection.Add(ofOther, kStart);
  const auto sum = collection.SumOfZone(
    ZoneId("z0"), Report(VmOf(0), 2), kStart - kLifetime, kStart + milliseconds(100));
  CHECK(sum.vms == std::vector<VmId>{ VmOf(0), VmOf(1) });
  CHECK(sum.sum.aggregatedVms == 2);
  REQUIRE(sum.sum.loads.size() == 1);
  CHECK(sum.sum.loads[0].decodeRequests == 3);
  REQUIRE(sum.sum.crashes.size() == 1);
  CHECK(sum.sum.crashes[0].server == "server-1");
  CHECK(sum.sum.crashes[0].ageSeconds == Approx(0.35));
  CHECK(sum.sum.survivals.at(0).ageSeconds == Approx(0.6));
  CHECK(sum.sum.rateLimits.at(0).ageSeconds == Approx(0.2));
  CHECK(sum.sum.quarantinedFingerprints == std::vector<std::uint64_t>{ 42 });
  CHECK(sum.sum.quarantinedParts == std::vector<PromptPartId>{ 43 });
  CHECK(sum.sum.learnedOverheads.at("m").seconds == Approx(0.12));
}

TEST_CASE("A zone aggregate is decoded as it was encoded, and a damaged one is rejected",
          "[peers]")
{
  // Guards against a damaged datagram that ends the process or counts VMs that it has
  // not.
  auto aggregate = Aggregate(VmOf(1), { VmOf(1), VmOf(2) }, 4);
  aggregate.sum.crashes = { { "server-1", 0.25, { 7 } } };
  const auto bytes = EncodeZoneAggregate(aggregate);
  const auto decode = [](const auto& aBytes) -> std::optional<ZoneAggregate> {
    const auto datagram = DecodeDatagram(aBytes);
    if (!datagram || datagram->kind != DatagramKind::ZoneAggregate) {
      return std::nullopt;
    }
    auto decoded = DecodeZoneAggregate(datagram->fields);
    return decoded ? std::optional(std::move(*decoded)) : std::nullopt;
  };
  const auto decoded = decode(bytes);
  REQUIRE(decoded);
  CHECK(decoded->zone == ZoneId("z1"));
  CHECK(decoded->vms == aggregate.vms);
  CHECK(EncodeZoneAggregate(*decoded) == bytes);
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    CHECK(!decode(std::span(bytes.data(), length)));
  }
  Random random(20261206);
  for (int round = 0; round < 20'000; ++round) {
    auto damaged = bytes;
    damaged[random.Below(damaged.size())] = static_cast<std::uint8_t>(random.Below(256));
    const auto read = decode(damaged);
    CHECK((!read || read->sum.aggregatedVms == read->vms.size()));
  }
  aggregate.vms.pop_back();
  CHECK(!decode(EncodeZoneAggregate(aggregate)));
}

TEST_CASE("Each VM ends up with the sum of all others, whatever joins, leaves or is lost",
          "[peers]")
{
  // Guards against loads that are counted twice or lost between zones.
  const std::uint64_t seed = GENERATE(range(1, 21));
  INFO("seed " << seed);
  Random random(seed);
  Fleet fleet(3, random);
  for (int vm = 0; vm < 24; ++vm) {
    fleet.Join(vm);
  }
  const auto settle = [&fleet] {
    // Longer than the lifetime of an aggregate.
    for (int round = 0; round < 12; ++round) {
      fleet.Round();
    }
  };
  const auto check = [&fleet] {
    fleet.ForEach([&fleet](int aVm) {
      INFO("VM " << aVm);
      CHECK(fleet.SumAt(aVm) == Approx(fleet.SumOfOthers(aVm)).margin(1e-6));
    });
  };
  for (int step = 0; step < 6; ++step) {
    INFO("step " << step);
    fleet.Change();
    switch (random.Below(3)) {
      case 0:
        fleet.Join(24 + step);
        break;
      case 1:
        // The relay of a zone: the next one takes its place.
        fleet.Leave(step);
        break;
      default:
        fleet.Leave(10 + step);
    }
    settle();
    check();
  }
}

TEST_CASE("A relay that is lost and returns is made up for by the others", "[peers]")
{
  // Guards against VMs whose load is unknown until the registration of their relay ends,
  // or counts twice in the second in which its last aggregate is still used.
  Random random(1);
  Fleet fleet(3, random);
  for (int vm = 0; vm < 12; ++vm) {
    fleet.Join(vm);
  }
  fleet.Round();
  fleet.lostRelay = 0;
  const auto isNear = [&fleet](int aVm) {
    return fleet.SumAt(aVm) == Approx(fleet.SumOfOthers(aVm)).margin(1e-6);
  };
  // The loads stay as they are, so the sum is exact in each round.
  for (int round = 0; round < 15; ++round) {
    INFO("round " << round);
    fleet.Round();
    fleet.ForEach([&](int aVm) {
      INFO("VM " << aVm);
      // The lost relay knows nothing, and nobody its own load after a second.
      const bool isKnown = aVm != 0 && round < 10;
      CHECK((!isKnown || isNear(aVm)));
      CHECK((aVm == 0 || fleet.SumAt(aVm) <= fleet.SumOfOthers(aVm)));
    });
  }
  fleet.lostRelay.reset();
  for (int round = 0; round < 12; ++round) {
    fleet.Round();
    fleet.ForEach(
      [&](int aVm) { CHECK((aVm == 0 || fleet.SumAt(aVm) <= fleet.SumOfOthers(aVm))); });
  }
  fleet.ForEach([&](int aVm) { CHECK(isNear(aVm)); });
}
