#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "routing/CandidateState.h"
#include "routing/RouterSettings.h"

namespace toucanstand {

/// The listed candidates of one pool, with what is usual among them.
class RoutingPool
{
public:
  /// Starts a new list of candidates.
  void Clear();

  /// Adds a candidate, which must outlive the next Clear().
  void Add(CandidateState& aCandidate);

  /// Computes medians over the reports and bounds each capacity by them.
  void UpdateFromReports(const RouterSettings& aSettings, TimePoint aNow);

  /// Load of a candidate as a share of its capacity: own requests outstanding plus those
  /// of others.
  [[nodiscard]] double RelativeLoad(const CandidateState& aCandidate,
                                    TimePoint aNow) const;

  /// Requests on a candidate, own and estimated others.
  [[nodiscard]] double EstimatedRequests(const CandidateState& aCandidate,
                                         TimePoint aNow) const;

  /// Median over the candidates of a latency series; nothing while fewer than three
  /// candidates have enough samples.
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

  /// Position of the next round robin choice.
  std::size_t roundRobinIndex = 0;

private:
  std::vector<CandidateState*> candidates;
  std::vector<CandidateState*> inOwnZone;
  Duration maxReportAge{ 1 };
  /// Median load caused by others, as a share of capacity; assumed for unknown ones.
  double medianExternalLoad = 0;

  struct CachedMedian
  {
    std::optional<double> value;
    TimePoint validUntil{};
  };
  std::array<CachedMedian, LatencyAverages::kSeriesCount> medians{};
};

} // namespace toucanstand
