#include "time/BootClock.h"

#include <algorithm>
#include <cmath>
#include <ctime>

namespace toucanstand {

BootClock::time_point BootClock::now() noexcept
{
  timespec value{};
  clock_gettime(CLOCK_BOOTTIME, &value);
  return time_point(std::chrono::seconds(value.tv_sec) +
                    std::chrono::nanoseconds(value.tv_nsec));
}

std::chrono::milliseconds ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration);
}

double ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

Duration FromSeconds(double aSeconds)
{
  constexpr double kMaxSeconds = 10.0 * 365 * 24 * 3600;
  if (std::isnan(aSeconds)) {
    return Duration::zero();
  }
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(std::clamp(aSeconds, -kMaxSeconds, kMaxSeconds)));
}

} // namespace toucanstand
