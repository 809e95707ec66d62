#include <catch2/catch.hpp>

#include "metrics/LatencyHistogram.h"

using namespace toucanstand;
using namespace std::chrono_literals;

TEST_CASE("Percentiles are within the resolution of a bin", "[metrics]")
{
  // Guards against an axis that is too coarse to compare two policies.
  LatencyHistogram histogram;
  for (int value = 1; value <= 1000; ++value) {
    histogram.Record(std::chrono::milliseconds(value));
  }
  CHECK(ToSeconds(histogram.Percentile(0.5)) == Approx(0.5).epsilon(0.05));
  CHECK(ToSeconds(histogram.Percentile(0.99)) == Approx(0.99).epsilon(0.05));
  CHECK(histogram.Samples() == 1000);
}

TEST_CASE("Values outside the axis are kept in the outermost bins", "[metrics]")
{
  LatencyHistogram histogram;
  histogram.Record(0s);
  histogram.Record(1h);
  CHECK(histogram.Samples() == 2);
  CHECK(histogram.Percentile(1.0) > 900s);
}
