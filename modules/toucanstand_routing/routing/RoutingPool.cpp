#include "routing/RoutingPool.h"

#include <algorithm>

namespace toucanstand {

namespace {

/// A reported capacity is clamped between 1/4 of the pool's median and 4 times the
/// median, so that one implausible report does not make a candidate look empty.
constexpr double kMaxCapacityRatio = 4.0;

/// Time for which a computed median latency is cached.
constexpr Duration kMedianValidity = std::chrono::milliseconds(250);

/// Minimum number of candidates for a median; with fewer, one implausible value would be
/// the median.
constexpr std::size_t kMedianCandidates = 3;

std::optional<double> Median(std::vector<double> aValues)
{
  if (aValues.empty()) {
    return std::nullopt;
  }
  const auto middle = aValues.begin() + static_cast<std::ptrdiff_t>(aValues.size() / 2);
  std::ranges::nth_element(aValues, middle);
  return *middle;
}

} // namespace

void RoutingPool::Clear()
{
  this->candidates.clear();
  this->inOwnZone.clear();
}

void RoutingPool::Add(CandidateState& aCandidate)
{
  this->candidates.push_back(&aCandidate);
  if (aCandidate.inOwnZone) {
    this->inOwnZone.push_back(&aCandidate);
  }
}

void RoutingPool::UpdateFromReports(const RouterSettings& aSettings, TimePoint aNow)
{
  this->maxReportAge = aSettings.maxReportAge;
  std::vector<double> capacities;
  for (const auto* candidate : this->candidates) {
    if (candidate->load.HasFreshReport(this->maxReportAge, aNow)) {
      capacities.push_back(candidate->load.ReportedCapacity());
    }
  }
  const double medianCapacity = Median(std::move(capacities)).value_or(1.0);
  std::vector<double> loads;
  for (auto* candidate : this->candidates) {
    candidate->capacity = medianCapacity;
    if (!candidate->load.HasFreshReport(this->maxReportAge, aNow)) {
      continue;
    }
    candidate->capacity = std::clamp(candidate->load.ReportedCapacity(),
                                     medianCapacity / kMaxCapacityRatio,
                                     medianCapacity * kMaxCapacityRatio);
    loads.push_back(candidate->load.ReportedExternalRequests() / candidate->capacity);
  }
  const bool enough = loads.size() >= kMedianCandidates;
  this->medianExternalLoad = enough ? Median(std::move(loads)).value_or(0.0) : 0.0;
}

double RoutingPool::RelativeLoad(const CandidateState& aCandidate, TimePoint aNow) const
{
  return this->EstimatedRequests(aCandidate, aNow) / aCandidate.capacity;
}

double RoutingPool::EstimatedRequests(const CandidateState& aCandidate,
                                      TimePoint aNow) const
{
  return aCandidate.ownRequests.Outstanding() +
         aCandidate.load.ExternalRequests(
           this->medianExternalLoad * aCandidate.capacity, this->maxReportAge, aNow);
}

std::optional<double> RoutingPool::MedianLatency(std::size_t aSeries,
                                                 std::size_t aSamples,
                                                 TimePoint aNow)
{
  auto& cached = this->medians[aSeries];
  if (aNow < cached.validUntil) {
    return cached.value;
  }
  std::vector<double> averages;
  for (const auto* candidate : this->candidates) {
    if (const auto average = candidate->health.latencies.Average(aSeries, aSamples)) {
      averages.push_back(*average);
    }
  }
  const bool enough = averages.size() >= kMedianCandidates;
  cached.value = enough ? Median(std::move(averages)) : std::nullopt;
  cached.validUntil = aNow + kMedianValidity;
  return cached.value;
}

} // namespace toucanstand
