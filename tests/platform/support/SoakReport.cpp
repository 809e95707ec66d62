#include "support/SoakReport.h"

#include <cstdlib>
#include <filesystem>
#include <iostream>

#include <catch2/catch.hpp>

namespace toucanstand {

std::uint64_t EnvironmentNumber(const char* aVariable, std::uint64_t aDefault)
{
  const char* const text = std::getenv(aVariable);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

void PrintCounts(const std::map<std::string, std::size_t>& aCounts,
                 const std::string& aText)
{
  for (const auto& [name, count] : aCounts) {
    std::cout << "  " << count << " " << aText << name << "\n";
  }
}

void ReportPlay(SoakTest& aSoak,
                const SoakVerdict& aVerdict,
                std::uint64_t aSeed,
                bool aMeetsOtherChecks)
{
  for (const auto& violation : aVerdict.violations) {
    FAIL_CHECK(violation);
  }
  // A run with few successful requests would not test the guarantees. The bound is a
  // number and not a share: during an outage of the store, restarted VMs reject requests
  // so fast that the number of failed requests depends on speed alone.
  constexpr std::size_t kMinSuccesses = 50;
  CHECK(aSoak.SuccessCount() >= kMinSuccesses);
  std::cout << "seed " << aSeed << ": " << aSoak.SuccessCount() << " of "
            << aSoak.RequestCount() << " requests answered, "
            << aVerdict.violations.size() << " violations\n";
  PrintCounts(aVerdict.excused);
  PrintCounts(aSoak.Refusals());
  const bool isFailed = !aMeetsOtherChecks || !aVerdict.violations.empty();
  if (isFailed) {
    std::cout << "  logs of the VMs: " << aSoak.Logs() << "\n";
  } else {
    std::filesystem::remove_all(aSoak.Logs());
  }
  std::cout << std::flush;
}

} // namespace toucanstand
