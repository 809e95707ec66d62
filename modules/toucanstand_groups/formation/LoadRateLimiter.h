#pragma once

#include <cstddef>

#include "time/BootClock.h"

namespace toucanstand {

/// Limits how many loads from the weight store start in a period.
class LoadRateLimiter
{
public:
  /// Takes that many loads if all of them may start now.
  /// @param aPerSecond loads that may start in a second; a burst may have as many
  [[nodiscard]] bool TryAcquire(std::size_t aLoads, double aPerSecond, TimePoint aNow);

private:
  double tokens = 0;
  TimePoint updatedAt{};
  bool started = false;
};

} // namespace toucanstand
