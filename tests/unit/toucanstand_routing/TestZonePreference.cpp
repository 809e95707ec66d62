#include <set>

#include <catch2/catch.hpp>

#include "placement/GroupPlacement.h"
#include "placement/ZonePreference.h"

using namespace toucanstand;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };
constexpr std::size_t kSlots = 34;
constexpr Duration kTarget = milliseconds(300);

PlacementChoice Choice(const char* aZone, Duration aPredicted, double aRequests)
{
  PlacementChoice choice;
  choice.group.id = GroupId(aZone);
  choice.group.zone = ZoneId(aZone);
  choice.predicted = aPredicted;
  choice.backlog.decodeRequests = aRequests;
  return choice;
}

/// Zones of the groups that can be chosen by a VM of zone z1.
std::vector<std::string> ZonesLeft(std::vector<PlacementChoice> aChoices,
                                   ArrivalDistribution aDistribution = {})
{
  aDistribution.expectedRequests.resize(aChoices.size());
  ZonePreference(ZoneId("z1"), kSlots, kTarget).Apply(aChoices, aDistribution);
  REQUIRE(aDistribution.expectedRequests.size() == aChoices.size());
  std::vector<std::string> zones;
  zones.reserve(aChoices.size());
  for (const auto& choice : aChoices) {
    zones.push_back(choice.group.zone.Value());
  }
  return zones;
}

using Zones = std::vector<std::string>;

/// Zones in which 200 requests of a VM in z1 are placed; three groups of which that in z1
/// is a little fuller, at 60 of 100 slots taken.
std::set<std::string> ZonesOfRequests(Duration aDelay, Duration aTarget)
{
  EngineCostModel cost;
  cost.slots = kSlots;
  cost.stepTime = std::chrono::microseconds(6070);
  cost.stepTimePerWriter = std::chrono::microseconds(241);
  cost.stepsPerPass = 5;
  cost.promptTokensPerSecond = 46'000;
  cost.promptChunk = 2048;
  cost.models = { { "m", 4, 1.0, 1.0, {}, {} } };
  cost.zoneDistances.Add(ZoneId("z1"), ZoneId("z2"), aDelay);
  GroupPlacement placement(ZoneId("z1"), Random(1));
  placement.SetCost(cost);
  std::vector<ServingGroup> groups;
  std::vector<GroupLoad> loads;
  for (const auto* zone : { "z1", "z2", "z3" }) {
    groups.push_back(
      { GroupId(zone), "m", ServerId("h"), { "10.0.0.1", 80 }, ZoneId(zone) });
    loads.push_back({ GroupId(zone), 0, 0, 20 });
  }
  loads.front().prefillRequests = 1;
  loads.front().prefillTokens = 1500;
  placement.Update(groups);
  placement.OnPeerLoads(VmId("vm-2"), loads, kStart);
  PlacementQuery query;
  query.model = "m";
  query.promptTokens = 1000;
  query.firstEventTarget = aTarget;
  std::set<std::string> zones;
  for (int number = 0; number < 200; ++number) {
    zones.insert(placement.Choose(query, kStart)->group.zone.Value());
  }
  return zones;
}

} // namespace

TEST_CASE("A request stays in its zone while that costs its caller no time",
          "[placement]")
{
  // Guards against requests that cross zones for a few milliseconds of a prediction that
  // is far within the objective.
  CHECK(ZonesLeft({ Choice("z2", milliseconds(80), 20),
                    Choice("z1", milliseconds(140), 22) }) == Zones{ "z1" });
  CHECK(ZonesLeft({ Choice("z1", milliseconds(150), 20),
                    Choice("z1", milliseconds(151), 20),
                    Choice("z3", milliseconds(60), 20) }) == Zones{ "z1" });
}

TEST_CASE("A request leaves its zone when that is too late or too full", "[placement]")
{
  // Guards against late first events at the peak, and against one zone that fills up
  // while another is idle.
  const auto other = Choice("z2", milliseconds(80), 20);
  CHECK(ZonesLeft({ other, Choice("z1", milliseconds(151), 20) }) == Zones{ "z2", "z1" });
  CHECK(ZonesLeft({ other, Choice("z1", milliseconds(100), 29) }) == Zones{ "z2", "z1" });
  CHECK(ZonesLeft({ other, Choice("z1", milliseconds(100), 28) }) == Zones{ "z1" });
  CHECK(ZonesLeft({ other, Choice("z3", milliseconds(80), 20) }) == Zones{ "z2", "z3" });
  CHECK(ZonesLeft({}).empty());
  // Requests of peers that no report contains yet delay the group of the own zone as
  // well.
  CHECK(ZonesLeft({ other, Choice("z1", milliseconds(100), 20) },
                  { milliseconds(151), { 2, 2 } }) == Zones{ "z2", "z1" });
}

TEST_CASE("Placement prefers the own zone only where zones are far apart", "[placement]")
{
  // Guards against another choice in deployments whose zones are near.
  CHECK(ZonesOfRequests(milliseconds(4), milliseconds(500)) ==
        std::set<std::string>{ "z1" });
  CHECK(ZonesOfRequests(std::chrono::microseconds(1400), milliseconds(500)) ==
        std::set<std::string>{ "z2", "z3" });
  CHECK(ZonesOfRequests(milliseconds(4), milliseconds(120)) ==
        std::set<std::string>{ "z2", "z3" });
}
