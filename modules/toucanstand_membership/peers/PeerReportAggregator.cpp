#include "peers/PeerReportAggregator.h"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace toucanstand {

namespace {

/// Maximum rounding error when equal floating-point sums are subtracted; a load of at
/// most this is regarded as zero.
constexpr double kRoundingError = 1e-6;

void AddLoad(PeerReport::Load& aTotal, const PeerReport::Load& aLoad, double aFactor)
{
  const auto add = [aFactor](double& aSum, double aValue) {
    aSum = std::max(0.0, aSum + aFactor * aValue);
  };
  add(aTotal.prefillRequests, aLoad.prefillRequests);
  add(aTotal.prefillTokens, aLoad.prefillTokens);
  add(aTotal.decodeRequests, aLoad.decodeRequests);
}

} // namespace

void PeerReportAggregator::Add(const PeerReport& aReport)
{
  this->reportCount += std::max<std::uint64_t>(1, aReport.aggregatedVms);
  for (const auto& load : aReport.loads) {
    auto& total = this->loads[load.group];
    total.group = load.group;
    AddLoad(total, load, 1.0);
  }
  for (const auto& [model, seconds] : aReport.demand) {
    this->demand[model] += seconds;
  }
  for (const auto& [model, time] : aReport.learnedOverheads) {
    auto& mean = this->learnedOverheads[model];
    const double samples = mean.samples + time.samples;
    if (samples > 0) {
      mean.seconds =
        (mean.seconds * mean.samples + time.seconds * time.samples) / samples;
      mean.samples = samples;
    }
  }
  this->quarantinedFingerprints.insert(aReport.quarantinedFingerprints.begin(),
                                       aReport.quarantinedFingerprints.end());
  this->quarantinedParts.insert(aReport.quarantinedParts.begin(),
                                aReport.quarantinedParts.end());
}

PeerReport PeerReportAggregator::Total() const
{
  PeerReport total;
  total.aggregatedVms = this->reportCount;
  std::ranges::copy(this->loads | std::views::values, std::back_inserter(total.loads));
  total.demand = this->demand;
  total.learnedOverheads = this->learnedOverheads;
  total.quarantinedFingerprints.assign(this->quarantinedFingerprints.begin(),
                                       this->quarantinedFingerprints.end());
  total.quarantinedParts.assign(this->quarantinedParts.begin(),
                                this->quarantinedParts.end());
  return total;
}

PeerReport PeerReportAggregator::TotalWithout(const PeerReport& aReport) const
{
  PeerReport remainder = this->Total();
  --remainder.aggregatedVms;
  for (const auto& load : aReport.loads) {
    const auto found =
      std::ranges::find(remainder.loads, load.group, &PeerReport::Load::group);
    if (found != remainder.loads.end()) {
      AddLoad(*found, load, -1.0);
    }
  }
  std::erase_if(remainder.loads, [](const PeerReport::Load& aLoad) {
    return aLoad.prefillRequests + aLoad.decodeRequests <= kRoundingError;
  });
  for (const auto& [model, seconds] : aReport.demand) {
    remainder.demand[model] = std::max(0.0, remainder.demand[model] - seconds);
  }
  return remainder;
}

} // namespace toucanstand
