#pragma once

#include <array>
#include <cstddef>
#include <optional>

#include "contracts/Contract.h"
#include "time/BootClock.h"

namespace toucanstand {

/// What a latency is measured to.
enum class LatencyKind
{
  FirstByte,
  WholeAnswer,
};

/// Moving averages of the latency of one candidate, for each kind and work class.
class LatencyAverages
{
public:
  static constexpr std::size_t kSeriesCount = 4;

  /// Position of a kind and class among the series.
  [[nodiscard]] static std::size_t SeriesIndex(LatencyKind aKind, WorkClass aClass);

  /// Adds a sample in seconds to a series.
  void Record(std::size_t aSeries, double aSeconds);

  /// Average in seconds; nothing below aSamples samples.
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
