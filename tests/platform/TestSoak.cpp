#include <cstdlib>
#include <iostream>

#include <catch2/catch.hpp>

#include "support/SoakTest.h"

using namespace toucanstand;

namespace {

void RunSeed(std::uint64_t aSeed, int aFaults)
{
  INFO("seed " << aSeed);
  SoakTest soak(aSeed);
  soak.Run(aFaults);
  CHECK(soak.Recover());
  for (const auto& violation : soak.FindViolations()) {
    FAIL_CHECK(violation);
  }
  // A run with few successful requests would not test the guarantees. The bound is a
  // number and not a share: during an outage of the store, restarted VMs reject requests
  // so fast that the number of failed requests depends on speed alone.
  constexpr std::size_t kMinSuccesses = 50;
  CHECK(soak.SuccessCount() >= kMinSuccesses);
  std::cout << "seed " << aSeed << ": " << soak.SuccessCount() << " of "
            << soak.RequestCount() << " requests answered" << std::endl;
}

std::uint64_t EnvironmentNumber(const char* aVariable, std::uint64_t aDefault)
{
  const char* const text = std::getenv(aVariable);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

} // namespace

TEST_CASE("The guarantees for requests hold under random faults of all kinds", "[soak]")
{
  // Short by default for CI; scripts/soak runs more seeds.
  const auto first = EnvironmentNumber("SOAK_FIRST_SEED", 1);
  const auto count = EnvironmentNumber("SOAK_SEEDS", 1);
  const auto faults = static_cast<int>(EnvironmentNumber("SOAK_FAULTS", 12));
  for (auto seed = first; seed < first + count; ++seed) {
    RunSeed(seed, faults);
  }
}
