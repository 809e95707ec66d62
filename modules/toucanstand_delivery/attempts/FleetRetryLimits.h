#pragma once

#include <cstddef>

#include "attempts/RetryBudget.h"

namespace toucanstand {

/// Retries that all entry VMs together may make at one pool in any window.
struct FleetRetryLimits
{
  /// Relative to the first attempts in the window.
  double share = 0.1;
  /// Besides.
  double slack = 50;
  Duration window = std::chrono::seconds(10);

  /// One VM's part of the limits. @param aVmCount that live, at least 1
  [[nodiscard]] RetryBudgetSettings SettingsPerVm(std::size_t aVmCount) const;
};

} // namespace toucanstand
