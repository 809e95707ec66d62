#include <cstdlib>

#include <catch2/catch.hpp>

#include "support/SoakReport.h"

using namespace toucanstand;

namespace {

SoakTest::Scale ReadScale()
{
  SoakTest::Scale scale;
  const auto read = [](const char* aVariable, int& aNumber) {
    aNumber =
      static_cast<int>(EnvironmentNumber(aVariable, static_cast<std::uint64_t>(aNumber)));
  };
  read("SOAK_VMS", scale.vms);
  read("SOAK_ENGINES", scale.engines);
  read("SOAK_CALLERS", scale.callers);
  return scale;
}

void RunSeed(std::uint64_t aSeed, int aFaults)
{
  INFO("seed " << aSeed);
  const char* const program = std::getenv("SOAK_SERVER");
  SoakTest soak(aSeed, ReadScale(), program == nullptr ? "toucanstand-server" : program);
  soak.Run(aFaults);
  const bool hasRecovered = soak.Recover();
  CHECK(hasRecovered);
  const auto verdict = soak.Judge();
  ReportPlay(soak, verdict, aSeed, hasRecovered);
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
