#pragma once

#include <cstddef>

#include "time/BootClock.h"

namespace toucanstand {

/// Token bucket that limits the rate at which loads from the weight store start.
class LoadRateLimiter
{
public:
  /// Takes tokens for all the loads, or none if they may not all start now.
  /// @param aPerSecond loads that may start per second; also the maximum burst.
  [[nodiscard]] bool TryAcquire(std::size_t aLoads, double aPerSecond, TimePoint aNow);

private:
  double tokens = 0;
  TimePoint updatedAt{};
  bool started = false;
};

} // namespace toucanstand
