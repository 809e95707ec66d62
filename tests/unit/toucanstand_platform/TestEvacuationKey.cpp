#include <string>

#include <catch2/catch.hpp>

#include "platform/EvacuationKey.h"

using namespace toucanstand;
using namespace toucanstand::platform;

TEST_CASE("An order to evacuate names its zone", "[platform]")
{
  // Guards against orders that are taken for another key, and against names that no
  // server can have.
  CHECK(EvacuatedZoneFromKey("op/evacuate/zone-a") == ZoneId("zone-a"));
  CHECK(EvacuatedZoneFromKey("op/evacuate/a/b") == ZoneId("a/b"));
  CHECK_FALSE(EvacuatedZoneFromKey("op/config").has_value());
  CHECK_FALSE(EvacuatedZoneFromKey("op/evacuate").has_value());
  CHECK(IsEvacuationKey("op/evacuate/"));
  CHECK_FALSE(EvacuatedZoneFromKey("op/evacuate/").has_value());
  CHECK_FALSE(EvacuatedZoneFromKey("op/evacuate/zone a").has_value());
  CHECK_FALSE(EvacuatedZoneFromKey("op/evacuate/\x01").has_value());
  CHECK_FALSE(EvacuatedZoneFromKey("op/evacuate/" + std::string(300, 'z')).has_value());
}
