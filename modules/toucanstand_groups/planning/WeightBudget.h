#pragma once

#include <cstdint>

#include "time/BootClock.h"

namespace toucanstand {

/// Tracks the use of the domain's share of the weight store's bandwidth.
///
/// Loads run sequentially: since they share the bandwidth, finishing the cheapest group
/// first returns capacity sooner than loading several at once.
class WeightBudget
{
public:
  /// @param aBytesPerSecond the domain's share of the bandwidth; 0 means unlimited.
  explicit WeightBudget(double aBytesPerSecond);

  /// Whether all loads added so far should have finished.
  [[nodiscard]] bool CanLoad(TimePoint aNow) const;

  /// Adds a load that starts now, or after the loads before it.
  void AddLoad(std::uint64_t aBytes, TimePoint aNow);

  [[nodiscard]] bool IsUnlimited() const { return this->bytesPerSecond <= 0; }

private:
  double bytesPerSecond;
  TimePoint busyUntil{};
};

} // namespace toucanstand
