#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "routing/CandidateState.h"
#include "routing/RouterSettings.h"

namespace toucanstand {

/// The listed candidates of one pool, with medians of their reported loads, capacities
/// and latencies.
class RoutingPool
{
public:
  /// Removes all candidates.
  void Clear();

  /// Adds a candidate, which must outlive the next Clear().
  void Add(CandidateState& aCandidate);

  /// Computes the medians of the reported capacities and loads, and clamps each
  /// candidate's capacity to a range around the median.
  void UpdateFromReports(const RouterSettings& aSettings, TimePoint aNow);

  /// Estimated requests on a candidate, own and others', divided by its capacity.
  [[nodiscard]] double RelativeLoad(const CandidateState& aCandidate,
                                    TimePoint aNow) const;

  /// Own outstanding requests on a candidate plus the estimated requests of others.
  [[nodiscard]] double EstimatedRequests(const CandidateState& aCandidate,
                                         TimePoint aNow) const;

  /// Median over the candidates of a latency series; nullopt while fewer than three
  /// candidates have aSamples samples.
  [[nodiscard]] std::optional<double> MedianLatency(std::size_t aSeries,
                                                    std::size_t aSamples,
                                                    TimePoint aNow);

  [[nodiscard]] const std::vector<CandidateState*>& Candidates() const
  {
    return this->candidates;
  }

  /// The candidates in the availability zone of this entry VM.
  [[nodiscard]] const std::vector<CandidateState*>& InOwnZone() const
  {
    return this->inOwnZone;
  }

  /// Index of the last candidate chosen by round robin.
  std::size_t roundRobinIndex = 0;

private:
  std::vector<CandidateState*> candidates;
  std::vector<CandidateState*> inOwnZone;
  Duration maxReportAge{ 1 };
  /// Median load caused by others, as a share of capacity; assumed for candidates without
  /// a fresh report.
  double medianExternalLoad = 0;

  struct CachedMedian
  {
    std::optional<double> value;
    TimePoint validUntil{};
  };
  std::array<CachedMedian, LatencyAverages::kSeriesCount> medians{};
};

} // namespace toucanstand
