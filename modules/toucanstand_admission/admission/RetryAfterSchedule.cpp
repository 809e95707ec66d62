#include "admission/RetryAfterSchedule.h"

#include <algorithm>

namespace toucanstand {

namespace {

constexpr Duration kBinWidth = std::chrono::seconds(1);

/// Lower bound of the period that a rate is computed over, in seconds. Without it, the
/// first few requests would give an extreme rate.
constexpr double kMinimumRatePeriod = 0.25;

/// Retry-After when no request has finished recently, so that the rate is unknown.
constexpr Duration kDefaultRetryAfter = std::chrono::seconds(1);

std::int64_t BinOf(TimePoint aWhen)
{
  return aWhen.time_since_epoch() / kBinWidth;
}

} // namespace

void RetryAfterSchedule::OnRequestFinished(TimePoint aNow)
{
  const std::int64_t bin = BinOf(aNow);
  if (bin - this->newestBin >= static_cast<std::int64_t>(kBins)) {
    this->finishedByBin = {};
    this->firstFinishedAt = aNow;
    this->newestBin = bin;
  }
  while (this->newestBin < bin) {
    ++this->newestBin;
    this->finishedByBin[static_cast<std::size_t>(this->newestBin) % kBins] = 0;
  }
  ++this->finishedByBin[static_cast<std::size_t>(bin) % kBins];
}

double RetryAfterSchedule::CompletionRate(TimePoint aNow) const
{
  const std::int64_t oldest = BinOf(aNow) - static_cast<std::int64_t>(kBins) + 1;
  std::uint64_t count = 0;
  for (std::int64_t bin =
         std::max(oldest, this->newestBin - static_cast<std::int64_t>(kBins) + 1);
       bin <= this->newestBin;
       ++bin) {
    count += this->finishedByBin[static_cast<std::size_t>(bin) % kBins];
  }
  const TimePoint start = std::max(
    this->firstFinishedAt, TimePoint(std::max<std::int64_t>(oldest, 0) * kBinWidth));
  return static_cast<double>(count) /
         std::max(ToSeconds(aNow - start), kMinimumRatePeriod);
}

Duration RetryAfterSchedule::Next(std::size_t aQueued,
                                  const AdmissionSettings& aSettings,
                                  Random& aRandom,
                                  TimePoint aNow)
{
  const double rate = this->CompletionRate(aNow);
  Duration wait = kDefaultRetryAfter;
  if (rate > 0) {
    const double longest = ToSeconds(aSettings.maximumRetryAfter);
    const TimePoint afterQueue =
      aNow + FromSeconds(std::min(static_cast<double>(aQueued) / rate, longest));
    const TimePoint retryAt = std::min(std::max(this->nextRetryAt, afterQueue),
                                       aNow + aSettings.maximumRetryAfter);
    this->nextRetryAt = retryAt + FromSeconds(std::min(1.0 / rate, longest));
    wait = retryAt - aNow;
  }
  wait = std::clamp(wait, aSettings.minimumRetryAfter, aSettings.maximumRetryAfter);
  return FromSeconds(ToSeconds(wait) *
                     (1.0 + aSettings.retryJitter * aRandom.Fraction()));
}

} // namespace toucanstand
