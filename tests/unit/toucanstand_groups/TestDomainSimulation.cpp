#include <catch2/catch.hpp>

#include "DomainSimulation.h"

using namespace toucanstand;

TEST_CASE("No interleaving puts a server in two groups, and faults leave full groups",
          "[groups]")
{
  // Guards against writes by a controller that was paused, lost or repeated store
  // replies, orders that arrive late or twice, and members that die and return, alone
  // and as a whole domain: R1, R2, R61, R64, R65, R69.
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    INFO("seed " << seed);
    REQUIRE(DomainSimulation(seed).Run() == "");
  }
}
