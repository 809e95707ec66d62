#include <catch2/catch.hpp>

#include "peers/ReportRoute.h"

using namespace toucanstand;
using std::chrono::milliseconds;

TEST_CASE("Loads of another zone are older by an aggregate and the way between zones",
          "[peers]")
{
  // Guards against too few requests that peers are assumed to have sent since their
  // reports.
  ReportRoute route{ milliseconds(100), milliseconds(50), milliseconds(10) };
  CHECK(route.MeanAge() == milliseconds(60));
  route.isThroughRelay = true;
  CHECK(route.MeanAge() == milliseconds(95));
  route.zoneDelay = milliseconds(4);
  route.shareOfOtherZones = 0.5;
  CHECK(route.MeanAge() == milliseconds(95));
  route.isByZone = true;
  CHECK(ToMilliseconds(route.MeanAge() + std::chrono::microseconds(1)) ==
        milliseconds(114));
  // The relay of a zone gets the reports of its own zone directly.
  route.isThroughRelay = false;
  route.shareOfOtherZones = 1;
  CHECK(ToMilliseconds(route.MeanAge() + std::chrono::microseconds(1)) ==
        milliseconds(99));
}
