#include <catch2/catch.hpp>

#include "machines/PlatformList.h"

using namespace toucanstand;

TEST_CASE("A platform list survives formatting and parsing", "[world]")
{
  PlatformList list;
  list.revision = 7;
  list.entryVms.push_back({ VmId("vm-1"), ZoneId("z"), { "127.0.0.1", 9000 } });
  BackendServer server;
  server.id = ServerId("e-1");
  server.pool = PoolId("assistant");
  server.zone = ZoneId("z");
  server.domain = DomainId("d-1");
  server.endpoint = { "127.0.0.1", 9100 };
  server.fencing = FencingSupport::Checked;
  server.leaving = true;
  list.servers.push_back(server);

  const auto parsed = ParsePlatformList(FormatPlatformList(list), 7);
  REQUIRE(parsed);
  CHECK(parsed->entryVms == list.entryVms);
  CHECK(parsed->servers == list.servers);
}

TEST_CASE("A list with one bad address is rejected as a whole", "[world]")
{
  // Guards against half a list taking the place of a complete older one.
  const auto parsed = ParsePlatformList(
    R"({"entry_vms":[{"id":"a","zone":"z","node":"127.0.0.1:1"},
                     {"id":"b","zone":"z","node":"nowhere"}]})",
    1);
  REQUIRE_FALSE(parsed);
  CHECK(parsed.LastReason().path == "/entry_vms/1/node");
}
