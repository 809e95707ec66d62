#include "admission/ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>

namespace toucanstand {

namespace {

/// Lower bound of the factor that one window multiplies the limit by, before smoothing.
constexpr double kMinimumGradient = 0.5;

/// Fraction of the distance to the target limit by which one window moves the limit.
constexpr double kSmoothingFactor = 0.3;

/// Fractions of a slot up to this one are rounded down.
constexpr double kRoundingTolerance = 0.05;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(const LimitSettings& aSettings)
  : settings(aSettings)
{
}

void ConcurrencyLimit::SetSlots(double aSlots)
{
  this->limit = this->slots > 0 ? this->limit / this->slots * aSlots : aSlots;
  this->slots = aSlots;
}

void ConcurrencyLimit::Record(WorkClass aClass,
                              double aCost,
                              double aSeconds,
                              TimePoint aNow)
{
  auto& window = this->windows[IndexOf(aClass)];
  window.seconds += aSeconds;
  window.cost += aCost;
  ++window.samples;
  if (aNow < this->windowEnd) {
    return;
  }
  this->windowEnd = aNow + this->settings.window;
  const double ratio = this->LatencyRatio();
  if (ratio > 0 && this->settings.adaptive) {
    this->AdjustLimit(ratio);
  }
}

std::size_t ConcurrencyLimit::MaximumRunning() const
{
  if (this->slots <= 0) {
    return 0;
  }
  const double value = this->settings.adaptive ? this->limit : this->slots;
  return static_cast<std::size_t>(std::max(1.0, std::ceil(value - kRoundingTolerance)));
}

double ConcurrencyLimit::LatencyRatio()
{
  double weightedRatio = 0;
  double samples = 0;
  for (std::size_t index = 0; index < this->windows.size(); ++index) {
    auto& window = this->windows[index];
    auto& baseline = this->baselines[index];
    // With too few samples, the window of this class stays open and collects more.
    if (window.samples < this->settings.minimumWindowSamples || window.cost <= 0) {
      continue;
    }
    const double latency = window.seconds / window.cost;
    baseline = baseline > 0
                 ? std::min(baseline * (1.0 + this->settings.baselineGrowth), latency)
                 : latency;
    if (baseline > 0) {
      weightedRatio += latency / baseline * static_cast<double>(window.samples);
      samples += static_cast<double>(window.samples);
    }
    window = {};
  }
  return samples > 0 ? weightedRatio / samples : 0.0;
}

void ConcurrencyLimit::AdjustLimit(double aRatio)
{
  const double gradient =
    std::clamp(this->settings.tolerance / aRatio, kMinimumGradient, 1.0);
  // The square root allows a short queue at the servers. It lets the limit recover, and
  // keeps it from shrinking when latency is only slightly above the tolerance.
  const double target = this->limit * gradient + std::sqrt(this->limit);
  this->limit += kSmoothingFactor * (target - this->limit);
  this->limit =
    std::clamp(this->limit, this->slots * this->settings.minimumShare, this->slots);
}

} // namespace toucanstand
