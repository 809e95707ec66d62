#include <catch2/catch.hpp>

#include "DomainSimulation.h"

using namespace toucanstand;

TEST_CASE("No server is ever in two groups, and groups are complete after faults",
          "[groups]")
{
  // Guards against faults caused by a paused controller that writes, lost store replies,
  // orders that arrive late or twice, and engines that fail and return, singly or as a
  // whole domain. No server may be in two groups, no group may serve without a report of
  // every member, the wanted groups must be complete again after the faults, a write
  // without a reply must not be applied twice, and a paused controller must not act on
  // old state.
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    INFO("seed " << seed);
    REQUIRE(DomainSimulation(seed).Run() == "");
  }
}
