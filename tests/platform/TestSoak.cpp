#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <map>

#include <catch2/catch.hpp>

#include "support/SoakTest.h"

using namespace toucanstand;

namespace {

std::uint64_t EnvironmentNumber(const char* aVariable, std::uint64_t aDefault)
{
  const char* const text = std::getenv(aVariable);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

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
  // Earlier builds, which SOAK_SERVER may name, know no evacuations.
  int evacuations = 1;
  read("SOAK_EVACUATIONS", evacuations);
  scale.hasEvacuations = evacuations != 0;
  return scale;
}

void PrintCounts(const std::map<std::string, std::size_t>& aCounts)
{
  for (const auto& [name, count] : aCounts) {
    std::cout << "  " << count << " " << name << "\n";
  }
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
  for (const auto& violation : verdict.violations) {
    FAIL_CHECK(violation);
  }
  // A run with few successful requests would not test the guarantees. The bound is a
  // number and not a share: during an outage of the store, restarted VMs reject requests
  // so fast that the number of failed requests depends on speed alone.
  constexpr std::size_t kMinSuccesses = 50;
  CHECK(soak.SuccessCount() >= kMinSuccesses);
  std::cout << "seed " << aSeed << ": " << soak.SuccessCount() << " of "
            << soak.RequestCount() << " requests answered, " << verdict.violations.size()
            << " violations, " << soak.RunsBesideEvacuations()
            << " runs beside an evacuation\n";
  PrintCounts(verdict.excused);
  PrintCounts(soak.Refusals());
  const bool isFailed = !hasRecovered || !verdict.violations.empty();
  if (isFailed) {
    std::cout << "  logs of the VMs: " << soak.Logs() << "\n";
  } else {
    std::filesystem::remove_all(soak.Logs());
  }
  std::cout << std::flush;
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
