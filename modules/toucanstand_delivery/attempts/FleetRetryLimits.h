#pragma once

#include <cstddef>

#include "attempts/RetryBudget.h"

namespace toucanstand {

/// Limit on the retries that all entry VMs together send to one pool within any window:
/// a share of the first attempts plus a fixed allowance.
struct FleetRetryLimits
{
  /// Retries per first attempt in the window.
  double share = 0.1;
  /// Additional retries per window, independent of the traffic.
  double slack = 50;
  Duration window = std::chrono::seconds(10);

  /// The retry budget of one VM. @param aVmCount live VMs; 0 counts as 1
  [[nodiscard]] RetryBudgetSettings SettingsPerVm(std::size_t aVmCount) const;
};

} // namespace toucanstand
