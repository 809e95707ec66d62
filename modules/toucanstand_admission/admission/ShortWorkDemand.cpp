#include "admission/ShortWorkDemand.h"

#include <algorithm>
#include <cmath>

namespace toucanstand {

namespace {

/// Time constant of the average: shorter than the run time of most long requests, longer
/// than the gaps between short requests.
constexpr Duration kTimeConstant = std::chrono::seconds(5);

/// Headroom above the average, in standard deviations of a Poisson distribution.
constexpr double kHeadroomDeviations = 2.0;

} // namespace

void ShortWorkDemand::RecordRunning(double aRunning, TimePoint aNow)
{
  const double elapsed = std::max(0.0, ToSeconds(aNow - this->observedAt));
  const double weight = 1.0 - std::exp(-elapsed / ToSeconds(kTimeConstant));
  this->averageRunning += weight * (this->running - this->averageRunning);
  this->running = aRunning;
  this->observedAt = std::max(this->observedAt, aNow);
}

double ShortWorkDemand::RequiredSlots() const
{
  return this->averageRunning + kHeadroomDeviations * std::sqrt(this->averageRunning);
}

} // namespace toucanstand
