#pragma once

#include <array>
#include <cstddef>
#include <optional>

#include "contracts/Contract.h"
#include "time/BootClock.h"

namespace toucanstand {

/// End point of a latency measurement.
enum class LatencyKind
{
  FirstByte,
  WholeAnswer,
};

/// Moving averages of one candidate's latency, one series for each kind and work class.
class LatencyAverages
{
public:
  static constexpr std::size_t kSeriesCount = 4;

  /// Index of the series for a kind and class.
  [[nodiscard]] static std::size_t SeriesIndex(LatencyKind aKind, WorkClass aClass);

  /// Adds a sample in seconds to a series.
  void Record(std::size_t aSeries, double aSeconds);

  /// Average in seconds; nullopt while there are fewer than aSamples samples.
  [[nodiscard]] std::optional<double> Average(std::size_t aSeries,
                                              std::size_t aSamples) const;

  void Clear() { this->series = {}; }

private:
  struct Series
  {
    double average = 0;
    std::size_t samples = 0;
  };
  std::array<Series, kSeriesCount> series{};
};

} // namespace toucanstand
