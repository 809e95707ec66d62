#pragma once

#include <cstdint>
#include <memory>

#include "time/BootClock.h"

namespace toucanstand {

/// Histogram of durations from 10 microseconds to 1,000 seconds on a logarithmic axis
/// (Boost.Histogram), with about 3% resolution.
class LatencyHistogram
{
public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(LatencyHistogram&& aOther) noexcept;
  LatencyHistogram& operator=(LatencyHistogram&& aOther) noexcept;

  void Record(Duration aDuration);

  /// Smallest bin edge below which the given share of values lies; zero when empty.
  /// @param aShare in [0, 1], for example 0.99.
  [[nodiscard]] Duration Percentile(double aShare) const;

  [[nodiscard]] std::uint64_t Samples() const { return this->samples; }
  [[nodiscard]] Duration Sum() const { return this->sum; }

private:
  struct Bins;
  std::unique_ptr<Bins> bins;
  std::uint64_t samples = 0;
  Duration sum{ 0 };
};

} // namespace toucanstand
