#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <map>

#include <catch2/catch.hpp>

#include "support/SoakTest.h"

using namespace toucanstand;

// Processes of this build beside those of an earlier one, as while a fleet is upgraded.
// scripts/mixed-builds builds the earlier program and starts these cases.

namespace {

std::uint64_t EnvironmentNumber(const char* aVariable, std::uint64_t aDefault)
{
  const char* const text = std::getenv(aVariable);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

std::string EarlierProgram()
{
  const char* const path = std::getenv("MIXED_EARLIER_SERVER");
  REQUIRE(path != nullptr);
  return path;
}

/// The script names a copy, which a build beside the play does not replace.
std::string PresentProgram()
{
  const char* const path = std::getenv("MIXED_PRESENT_SERVER");
  return path == nullptr ? "toucanstand-server" : path;
}

SoakTest::Scale ReadScale()
{
  SoakTest::Scale scale;
  scale.vms = static_cast<int>(EnvironmentNumber("MIXED_VMS", 4));
  scale.engines = static_cast<int>(EnvironmentNumber("MIXED_ENGINES", 8));
  scale.callers = static_cast<int>(EnvironmentNumber("MIXED_CALLERS", 12));
  scale.manners = SoakCaller::Manners::Simple;
  return scale;
}

void PrintCounts(const std::map<std::string, std::size_t>& aCounts,
                 const std::string& aText = {})
{
  for (const auto& [name, count] : aCounts) {
    std::cout << "  " << count << " " << aText << name << "\n";
  }
}

/// Replaces all processes of the first program with those of the second and, if there is
/// a third, these with those of the third.
void Play(std::uint64_t aSeed, const std::vector<std::string>& aPrograms)
{
  INFO("seed " << aSeed);
  SoakTest soak(aSeed, ReadScale(), aPrograms.front());
  bool formsGroups = true;
  for (std::size_t number = 1; number < aPrograms.size(); ++number) {
    soak.ReplacePrograms(aPrograms[number]);
    // Engines have orders of the leaders of this program from now on.
    formsGroups = formsGroups && soak.FormNewGroup();
    CHECK(formsGroups);
  }
  const bool hasRecovered = soak.Recover();
  CHECK(hasRecovered);
  const auto verdict = soak.Judge({ EarlierProgram() });
  for (const auto& violation : verdict.violations) {
    FAIL_CHECK(violation);
  }
  constexpr std::size_t kMinSuccesses = 50;
  CHECK(soak.SuccessCount() >= kMinSuccesses);
  std::cout << "seed " << aSeed << ": " << soak.SuccessCount() << " of "
            << soak.RequestCount() << " requests answered, " << verdict.violations.size()
            << " violations\n";
  PrintCounts(verdict.excused);
  PrintCounts(soak.Refusals());
  PrintCounts(soak.EventCounts("start"), "starts of ");
  PrintCounts(soak.EventCounts("leadership_gained"), "leaders of ");
  const bool isFailed = !hasRecovered || !formsGroups || !verdict.violations.empty();
  if (isFailed) {
    std::cout << "  logs of the VMs: " << soak.Logs() << "\n";
  } else {
    std::filesystem::remove_all(soak.Logs());
  }
  std::cout << std::flush;
}

void PlaySeeds(const std::vector<std::string>& aPrograms)
{
  const auto first = EnvironmentNumber("MIXED_FIRST_SEED", 1);
  const auto count = EnvironmentNumber("MIXED_SEEDS", 1);
  for (auto seed = first; seed < first + count; ++seed) {
    Play(seed, aPrograms);
  }
}

} // namespace

TEST_CASE("Requests survive an upgrade from an earlier build", "[.long][mixed]")
{
  PlaySeeds({ EarlierProgram(), PresentProgram() });
}

TEST_CASE("Requests survive an upgrade and the way back", "[.long][mixed]")
{
  PlaySeeds({ EarlierProgram(), PresentProgram(), EarlierProgram() });
}

TEST_CASE("Requests survive the replacement of an earlier build by itself",
          "[.long][mixed]")
{
  // Shows what the earlier build loses by its own faults.
  PlaySeeds({ EarlierProgram(), EarlierProgram() });
}
