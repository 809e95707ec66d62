#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "support/SoakTest.h"

namespace toucanstand {

/// A number from the environment, as the scripts of the soak set it.
[[nodiscard]] std::uint64_t EnvironmentNumber(const char* aVariable,
                                              std::uint64_t aDefault);

/// Prints a line for each count.
/// @param aText is put before each name
void PrintCounts(const std::map<std::string, std::size_t>& aCounts,
                 const std::string& aText = {});

/// Checks that no guarantee was broken, and prints what the callers saw. Removes the logs
/// of the VMs unless the play failed.
/// @param aMeetsOtherChecks false if the play has failed another check
void ReportPlay(SoakTest& aSoak,
                const SoakVerdict& aVerdict,
                std::uint64_t aSeed,
                bool aMeetsOtherChecks);

} // namespace toucanstand
