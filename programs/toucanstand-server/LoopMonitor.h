#pragma once

#include <cstdint>
#include <optional>

#include "time/BootClock.h"

namespace toucanstand {

/// Notices that the event loop did not run for a time, and what the process did
/// meanwhile.
class LoopMonitor
{
public:
  /// Shortest delay that is reported. Shorter ones are usual on a busy machine.
  static constexpr Duration kNotableDelay = std::chrono::seconds(1);

  /// How late a tick was, and what the kernel counted since the tick before.
  struct Delay
  {
    Duration delay{ 0 };
    /// Pages that had to be read from storage.
    std::int64_t majorFaults = 0;
    /// Waits for storage, locks or input.
    std::int64_t voluntarySwitches = 0;
    /// The processor was given to others.
    std::int64_t involuntarySwitches = 0;
    Duration processorTime{ 0 };
  };

  /// Call at each tick of the loop.
  /// @param aInterval planned time since the tick before
  std::optional<Delay> OnTick(TimePoint aNow, Duration aInterval);

private:
  std::optional<TimePoint> lastTickAt;
  Delay countedBefore;
};

} // namespace toucanstand
