#pragma once

#include <cstdint>

#include "time/BootClock.h"

namespace toucanstand {

/// Use of the domain's share of the weight store's rate.
///
/// Loads run one after the other: with a shared rate, finishing the cheapest group first
/// returns capacity sooner than loading several at once.
class WeightBudget
{
public:
  /// @param aBytesPerSecond the domain's share of the rate; 0 means unlimited.
  explicit WeightBudget(double aBytesPerSecond);

  /// Whether the loads spent so far should have finished.
  [[nodiscard]] bool CanLoad(TimePoint aNow) const;

  /// Accounts for a load that starts now.
  void AddLoad(std::uint64_t aBytes, TimePoint aNow);

  [[nodiscard]] bool IsUnlimited() const { return this->bytesPerSecond <= 0; }

private:
  double bytesPerSecond;
  TimePoint busyUntil{};
};

} // namespace toucanstand
