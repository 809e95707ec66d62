#include "routing/LatencyAverages.h"

#include <algorithm>

namespace toucanstand {

namespace {

/// Minimum weight of a new sample.
constexpr double kMinSampleWeight = 0.2;

} // namespace

std::size_t LatencyAverages::SeriesIndex(LatencyKind aKind, WorkClass aClass)
{
  return (aKind == LatencyKind::FirstByte ? 0U : 2U) +
         (aClass == WorkClass::Short ? 0U : 1U);
}

void LatencyAverages::Record(std::size_t aSeries, double aSeconds)
{
  auto& entry = this->series[aSeries];
  ++entry.samples;
  // The first samples are weighted equally, so that the very first one does not dominate.
  const double weight =
    std::max(kMinSampleWeight, 1.0 / static_cast<double>(entry.samples));
  entry.average += weight * (aSeconds - entry.average);
}

std::optional<double> LatencyAverages::Average(std::size_t aSeries,
                                               std::size_t aSamples) const
{
  const auto& entry = this->series[aSeries];
  if (entry.samples < std::max<std::size_t>(aSamples, 1)) {
    return std::nullopt;
  }
  return entry.average;
}

} // namespace toucanstand
