#pragma once

#include <chrono>

namespace toucanstand {

/// Monotonic clock that also counts the time a machine was suspended (CLOCK_BOOTTIME).
///
/// A validity period measured with it ends on time even when the machine was paused.
struct BootClock
{
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;

  /// Current time; never goes back.
  [[nodiscard]] static time_point now() noexcept;
};

using TimePoint = BootClock::time_point;
using Duration = BootClock::duration;

/// Whole milliseconds of a duration, rounded down.
[[nodiscard]] std::chrono::milliseconds ToMilliseconds(Duration aDuration);

/// Seconds of a duration as a floating-point number, for rates and reports.
[[nodiscard]] double ToSeconds(Duration aDuration);

/// Duration of a floating-point number of seconds. A number beyond 10 years counts as 10
/// years, so that the duration may be added to a time; no number counts as zero.
[[nodiscard]] Duration FromSeconds(double aSeconds);

} // namespace toucanstand
