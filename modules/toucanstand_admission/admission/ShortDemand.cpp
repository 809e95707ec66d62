#include "admission/ShortDemand.h"

#include <algorithm>
#include <cmath>

namespace toucanstand {

namespace {

/// Time constant of the average: shorter than most long work runs, longer than a gap
/// between short requests.
constexpr Duration kTimeConstant = std::chrono::seconds(5);

/// Room above the average, in standard deviations of a Poisson number of requests.
constexpr double kDeviations = 2.0;

} // namespace

void ShortDemand::Observe(double aRunning, TimePoint aNow)
{
  const double elapsed = std::max(0.0, ToSeconds(aNow - this->observedAt));
  const double weight = 1.0 - std::exp(-elapsed / ToSeconds(kTimeConstant));
  this->average += weight * (this->running - this->average);
  this->running = aRunning;
  this->observedAt = std::max(this->observedAt, aNow);
}

double ShortDemand::Needed() const
{
  return this->average + kDeviations * std::sqrt(this->average);
}

} // namespace toucanstand
