#pragma once

#include "time/BootClock.h"

namespace toucanstand {

/// Slots that short work needs, from its recent use of them.
class ShortWorkDemand
{
public:
  /// The number of short requests that run, from now on.
  void RecordRunning(double aRunning, TimePoint aNow);

  /// Slots that are enough for nearly all of the time at the recent use.
  [[nodiscard]] double RequiredSlots() const;

private:
  double averageRunning = 0;
  double running = 0;
  TimePoint observedAt{};
};

} // namespace toucanstand
