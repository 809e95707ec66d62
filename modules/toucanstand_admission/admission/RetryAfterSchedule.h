#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "admission/AdmissionSettings.h"
#include "random/Random.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Computes Retry-After for refused callers. Their retries are spaced at the rate at
/// which the pool has recently finished requests.
class RetryAfterSchedule
{
public:
  /// Records that a request released its slot.
  void OnRequestFinished(TimePoint aNow);

  /// Requests finished per second over the last kBins seconds; zero when none finished.
  [[nodiscard]] double CompletionRate(TimePoint aNow) const;

  /// Computes Retry-After for one more refused caller, and reserves the retry time.
  /// @param aQueued requests that are queued ahead of it
  [[nodiscard]] Duration Next(std::size_t aQueued,
                              const AdmissionSettings& aSettings,
                              Random& aRandom,
                              TimePoint aNow);

private:
  static constexpr std::size_t kBins = 8;
  /// Ring of the requests finished in each of the last kBins seconds.
  std::array<std::uint64_t, kBins> finishedByBin{};
  std::int64_t newestBin = 0;
  /// When the first request finished after the ring was last cleared. The ring is cleared
  /// after kBins seconds without a finished request.
  TimePoint firstFinishedAt{};
  /// Earliest retry time for the next refused caller.
  TimePoint nextRetryAt{};
};

} // namespace toucanstand
