#include "admission/ReturnSchedule.h"

#include <algorithm>

namespace toucanstand {

namespace {

constexpr Duration kBinWidth = std::chrono::seconds(1);

/// Shortest period over which a rate is measured, so that the first few requests do not
/// give an extreme one.
constexpr double kShortestPeriod = 0.25;

/// Time to the next attempt when nothing has finished lately, so that no rate is known.
constexpr Duration kUnknownRate = std::chrono::seconds(1);

std::int64_t BinOf(TimePoint aWhen)
{
  return aWhen.time_since_epoch() / kBinWidth;
}

} // namespace

void ReturnSchedule::OnDrained(TimePoint aNow)
{
  const std::int64_t bin = BinOf(aNow);
  if (bin - this->newestBin >= static_cast<std::int64_t>(kBins)) {
    this->drained = {};
    this->firstDrain = aNow;
    this->newestBin = bin;
  }
  while (this->newestBin < bin) {
    ++this->newestBin;
    this->drained[static_cast<std::size_t>(this->newestBin) % kBins] = 0;
  }
  ++this->drained[static_cast<std::size_t>(bin) % kBins];
}

double ReturnSchedule::DrainRate(TimePoint aNow) const
{
  const std::int64_t oldest = BinOf(aNow) - static_cast<std::int64_t>(kBins) + 1;
  std::uint64_t count = 0;
  for (std::int64_t bin =
         std::max(oldest, this->newestBin - static_cast<std::int64_t>(kBins) + 1);
       bin <= this->newestBin;
       ++bin) {
    count += this->drained[static_cast<std::size_t>(bin) % kBins];
  }
  const TimePoint start =
    std::max(this->firstDrain, TimePoint(std::max<std::int64_t>(oldest, 0) * kBinWidth));
  return static_cast<double>(count) / std::max(ToSeconds(aNow - start), kShortestPeriod);
}

Duration ReturnSchedule::Next(std::size_t aWaiting,
                              const AdmissionSettings& aSettings,
                              Random& aRandom,
                              TimePoint aNow)
{
  const double rate = this->DrainRate(aNow);
  Duration wait = kUnknownRate;
  if (rate > 0) {
    const double longest = ToSeconds(aSettings.longestRetryAfter);
    const TimePoint afterQueue =
      aNow + FromSeconds(std::min(static_cast<double>(aWaiting) / rate, longest));
    const TimePoint place =
      std::min(std::max(this->nextPlace, afterQueue), aNow + aSettings.longestRetryAfter);
    this->nextPlace = place + FromSeconds(std::min(1.0 / rate, longest));
    wait = place - aNow;
  }
  wait = std::clamp(wait, aSettings.shortestRetryAfter, aSettings.longestRetryAfter);
  return FromSeconds(ToSeconds(wait) *
                     (1.0 + aSettings.retryJitter * aRandom.Fraction()));
}

} // namespace toucanstand
