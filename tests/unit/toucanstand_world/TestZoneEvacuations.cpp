#include <catch2/catch.hpp>

#include "serving/ZoneEvacuations.h"

using namespace toucanstand;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };
const ZoneId kZone("zone-a");
const ZoneId kOther("zone-b");

} // namespace

TEST_CASE("A zone is evacuated from the order until it is withdrawn", "[evacuation]")
{
  // Guards against an order that is read again and counts as a new one, and against one
  // zone that is taken for another.
  ZoneEvacuations evacuations;
  CHECK(evacuations.Begin(kZone, kStart));
  CHECK_FALSE(evacuations.Begin(kZone, kStart + 1s));
  CHECK(evacuations.IsEvacuated(kZone));
  CHECK_FALSE(evacuations.IsEvacuated(kOther));
  CHECK_FALSE(evacuations.End(kOther, kStart + 2s).has_value());
  CHECK(evacuations.End(kZone, kStart + 3s) == Duration(3s));
  CHECK_FALSE(evacuations.IsEvacuated(kZone));
  CHECK_FALSE(evacuations.End(kZone, kStart + 4s).has_value());
}

TEST_CASE("The end of an evacuation is remembered while servers may be cold",
          "[evacuation]")
{
  // Guards against servers of a zone taken back that count as warm, and against a memory
  // that outlives a second evacuation.
  ZoneEvacuations evacuations;
  CHECK_FALSE(evacuations.TimeSinceEnd(kZone, kStart).has_value());
  evacuations.Begin(kZone, kStart);
  CHECK_FALSE(evacuations.TimeSinceEnd(kZone, kStart).has_value());
  evacuations.End(kZone, kStart + 8s);
  CHECK(evacuations.TimeSinceEnd(kZone, kStart + 10s) == Duration(2s));
  CHECK_FALSE(
    evacuations.TimeSinceEnd(kZone, kStart + 9s + ZoneEvacuations::kEndRetention)
      .has_value());
  evacuations.Begin(kZone, kStart + 11s);
  CHECK_FALSE(evacuations.TimeSinceEnd(kZone, kStart + 12s).has_value());
}

TEST_CASE("Evacuations that leave no zone are recognized", "[evacuation]")
{
  // Guards against an operator who empties all zones and is not told so.
  ZoneEvacuations evacuations;
  evacuations.Begin(kZone, kStart);
  CHECK_FALSE(evacuations.AreAllEvacuated({}));
  CHECK_FALSE(evacuations.AreAllEvacuated({ kZone, kOther }));
  evacuations.Begin(kOther, kStart);
  CHECK(evacuations.AreAllEvacuated({ kZone, kOther }));
}
