#include "metrics/LatencyHistogram.h"

#include <algorithm>

#include <boost/histogram.hpp>

namespace toucanstand {

namespace {

constexpr double kLowestSeconds = 1e-5;
constexpr double kHighestSeconds = 1e3;
constexpr unsigned kBins = 600;

auto MakeHistogram()
{
  using boost::histogram::axis::regular;
  using boost::histogram::axis::transform::log;
  return boost::histogram::make_histogram(
    regular<double, log>(kBins, kLowestSeconds, kHighestSeconds));
}

} // namespace

struct LatencyHistogram::Bins
{
  decltype(MakeHistogram()) counts = MakeHistogram();
};

LatencyHistogram::LatencyHistogram()
  : bins(std::make_unique<Bins>())
{
}

LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram&& aOther) noexcept = default;
LatencyHistogram& LatencyHistogram::operator=(LatencyHistogram&& aOther) noexcept =
  default;

void LatencyHistogram::Record(Duration aDuration)
{
  const double seconds =
    std::clamp(ToSeconds(aDuration), kLowestSeconds, kHighestSeconds * 0.999);
  this->bins->counts(seconds);
  ++this->samples;
  this->sum += aDuration;
}

Duration LatencyHistogram::Percentile(double aShare) const
{
  const double wanted = aShare * static_cast<double>(this->samples);
  double seen = 0;
  for (const auto& bin : boost::histogram::indexed(this->bins->counts)) {
    seen += *bin;
    if (seen >= wanted && seen > 0) {
      return FromSeconds(bin.bin().upper());
    }
  }
  return Duration::zero();
}

} // namespace toucanstand
