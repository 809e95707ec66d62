#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "admission/AdmissionSettings.h"
#include "random/Random.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Retry-After for refused callers: they are told to return one after the other at the
/// rate at which the pool was measured to finish requests.
class RetryAfterSchedule
{
public:
  /// A request left the pool's slots.
  void OnRequestFinished(TimePoint aNow);

  /// Requests finished per second over the last seconds; zero when none finished.
  [[nodiscard]] double CompletionRate(TimePoint aNow) const;

  /// Time after which one more caller is to return. @param aQueued requests that are
  /// ahead of it.
  [[nodiscard]] Duration NextRetryAfter(std::size_t aQueued,
                                        const AdmissionSettings& aSettings,
                                        Random& aRandom,
                                        TimePoint aNow);

private:
  static constexpr std::size_t kBins = 8;
  /// Requests finished in each of the last seconds.
  std::array<std::uint64_t, kBins> finishedByBin{};
  std::int64_t newestBin = 0;
  TimePoint firstFinishedAt{};
  /// When the next place for a returning caller is free.
  TimePoint nextRetryAt{};
};

} // namespace toucanstand
