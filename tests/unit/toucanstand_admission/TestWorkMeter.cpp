#include <catch2/catch.hpp>

#include "demand/WorkMeter.h"

using namespace toucanstand;
using std::chrono::seconds;

TEST_CASE("The mix of priorities outlasts the gaps between requests of a rare model",
          "[admission]")
{
  // Guards against a plan that changes its order of supply with each request: a VM sees
  // one request of a large model in two seconds.
  WorkMeter meter;
  TimePoint now{ std::chrono::hours(1) };
  for (int number = 0; number < 120; ++number) {
    now += seconds(2);
    meter.OnRequest("m", number % 2 == 0 ? 1 : 2, seconds(1), now);
  }
  now += seconds(15);
  const auto mix = meter.RatesByPriority(now).at("m");
  REQUIRE(mix.size() == 2);
  CHECK(mix.at(1) / mix.at(2) == Approx(1.0).epsilon(0.05));
  // A priority that no longer arrives doesn't count for ever.
  now += seconds(10) * 60;
  meter.OnRequest("m", 1, seconds(1), now);
  CHECK(meter.RatesByPriority(now).at("m").size() == 1);
}
