#pragma once

#include "time/BootClock.h"

namespace toucanstand {

/// Estimates the slots that short work needs, from a moving average of those in use.
class ShortWorkDemand
{
public:
  /// Records the number of running short requests, valid from `aNow` on.
  void RecordRunning(double aRunning, TimePoint aNow);

  /// Slots that suffice nearly all of the time at the recent load.
  [[nodiscard]] double RequiredSlots() const;

private:
  double averageRunning = 0;
  double running = 0;
  TimePoint observedAt{};
};

} // namespace toucanstand
