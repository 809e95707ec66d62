#include "peers/ReportSum.h"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace toucanstand {

namespace {

/// What remains of a difference of equal sums of floating-point numbers.
constexpr double kRounding = 1e-6;

void AddLoad(PeerReport::Load& aTotal, const PeerReport::Load& aLoad, double aFactor)
{
  const auto add = [aFactor](double& aSum, double aValue) {
    aSum = std::max(0.0, aSum + aFactor * aValue);
  };
  add(aTotal.reading, aLoad.reading);
  add(aTotal.readingTokens, aLoad.readingTokens);
  add(aTotal.writing, aLoad.writing);
}

} // namespace

void ReportSum::Add(const PeerReport& aReport)
{
  ++this->reports;
  for (const auto& load : aReport.loads) {
    auto& total = this->loads[load.destination];
    total.destination = load.destination;
    AddLoad(total, load, 1.0);
  }
  for (const auto& [model, seconds] : aReport.work) {
    this->work[model] += seconds;
  }
  for (const auto& [model, time] : aReport.learned) {
    auto& mean = this->learned[model];
    const double samples = mean.samples + time.samples;
    if (samples > 0) {
      mean.seconds =
        (mean.seconds * mean.samples + time.seconds * time.samples) / samples;
      mean.samples = samples;
    }
  }
  this->quarantined.insert(aReport.quarantined.begin(), aReport.quarantined.end());
}

PeerReport ReportSum::Total() const
{
  PeerReport total;
  total.others = this->reports;
  std::ranges::copy(this->loads | std::views::values, std::back_inserter(total.loads));
  total.work = this->work;
  total.learned = this->learned;
  total.quarantined.assign(this->quarantined.begin(), this->quarantined.end());
  return total;
}

PeerReport ReportSum::Without(const PeerReport& aReport) const
{
  PeerReport rest = this->Total();
  --rest.others;
  for (const auto& load : aReport.loads) {
    AddLoad(
      *std::ranges::find(rest.loads, load.destination, &PeerReport::Load::destination),
      load,
      -1.0);
  }
  std::erase_if(rest.loads, [](const PeerReport::Load& aLoad) {
    return aLoad.reading + aLoad.writing <= kRounding;
  });
  for (const auto& [model, seconds] : aReport.work) {
    rest.work[model] = std::max(0.0, rest.work[model] - seconds);
  }
  return rest;
}

} // namespace toucanstand
