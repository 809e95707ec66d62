#include <cmath>
#include <limits>

#include <catch2/catch.hpp>

#include "network/Endpoint.h"
#include "time/BootClock.h"

using namespace toucanstand;

TEST_CASE("An endpoint that no server can have is malformed or no destination",
          "[endpoint]")
{
  // Guards against connections to this machine, or to nowhere, for another one's address.
  const std::vector<std::string> malformed = { "",
                                               "10.0.0.1",
                                               "10.0.0.1:",
                                               "10.0.0.1:65536",
                                               "10.0.0.1:-1",
                                               "10.0.0.1:x",
                                               "10.0.0.1:8 ",
                                               "host:80",
                                               "10.0.0:80",
                                               ":80",
                                               "[::1]:80",
                                               "10.0.0.1:99999999999",
                                               std::string("10.0.0.1\0:80", 12) };
  for (const auto& text : malformed) {
    INFO(text);
    CHECK(!Endpoint::Parse(text).has_value());
  }
  for (const auto* text :
       { "10.0.0.1:0", "0.0.0.0:80", "224.0.0.1:80", "255.255.255.255:80" }) {
    INFO(text);
    REQUIRE(Endpoint::Parse(text).has_value());
    CHECK(!Endpoint::Parse(text)->IsDestination());
  }
  CHECK(Endpoint::Parse("127.0.0.1:65535")->IsDestination());
}

TEST_CASE("A duration of any number can be added to a time", "[time]")
{
  // Guards against an overflow by a number from outside, which gives a time in the past.
  const auto now = BootClock::now();
  for (const double seconds : { 1e12, 1e300, std::numeric_limits<double>::infinity() }) {
    CHECK(now + FromSeconds(seconds) > now);
    CHECK(now + FromSeconds(-seconds) < now);
  }
  CHECK(FromSeconds(std::nan("")) == Duration::zero());
  CHECK(FromSeconds(1.5) == std::chrono::milliseconds(1500));
}
