#include <cstdlib>

#include <catch2/catch.hpp>

#include "support/SoakReport.h"

using namespace toucanstand;

// Processes of this build beside those of an earlier one, as while a fleet is upgraded.
// scripts/mixed-builds builds the earlier program and starts these cases.

namespace {

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
  ReportPlay(soak, verdict, aSeed, hasRecovered && formsGroups);
  PrintCounts(soak.EventCounts("start"), "starts of ");
  PrintCounts(soak.EventCounts("leadership_gained"), "leaders of ");
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
