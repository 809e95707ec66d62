#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "metrics/LatencyHistogram.h"

namespace toucanstand {

/// Counters, gauges and latency histograms of one process, in Prometheus text form.
///
/// A name may carry labels in Prometheus syntax: `requests_total{outcome="answered"}`.
class MetricsRegistry
{
public:
  /// Adds to a counter, which starts at zero.
  void Count(std::string_view aName, std::uint64_t aAmount = 1);

  /// Sets a gauge.
  void Set(std::string_view aName, double aValue);

  /// Records a duration in a histogram.
  void Record(std::string_view aName, Duration aDuration);

  /// Value of a counter; zero when it was never counted.
  [[nodiscard]] std::uint64_t CounterValue(std::string_view aName) const;

  /// Prometheus text exposition.
  [[nodiscard]] std::string RenderText() const;

  /// The same values for a state dump.
  [[nodiscard]] nlohmann::json Describe() const;

private:
  std::map<std::string, std::uint64_t, std::less<>> counters;
  std::map<std::string, double, std::less<>> gauges;
  std::map<std::string, LatencyHistogram, std::less<>> histograms;
};

} // namespace toucanstand
