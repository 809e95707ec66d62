#pragma once

#include <array>
#include <cstddef>

#include "admission/AdmissionSettings.h"
#include "admission/ServiceTimeModel.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Requests that may run at once in a pool: the reported slots, reduced while the
/// observed latency is above the tolerance (a gradient limit).
///
/// Reports lag and can be wrong, whereas the latency of this process's own requests shows
/// an overloaded pool within one window.
class ConcurrencyLimit
{
public:
  explicit ConcurrencyLimit(const LimitSettings& aSettings);

  void Configure(const LimitSettings& aSettings) { this->settings = aSettings; }

  /// Scales the limit with the reported slots.
  void SetSlots(double aSlots);

  /// An answered request. @param aSeconds its service time.
  void Record(WorkClass aClass, double aCost, double aSeconds, TimePoint aNow);

  /// Requests that may run at once; zero only without slots. A fraction counts as a whole
  /// request, as rounding down would leave servers idle.
  [[nodiscard]] std::size_t MaximumRunning() const;

  /// The limit before rounding.
  [[nodiscard]] double Unrounded() const { return this->limit; }

  [[nodiscard]] double Slots() const { return this->slots; }

private:
  struct Window
  {
    double seconds = 0;
    double cost = 0;
    std::size_t samples = 0;
  };

  /// Latency of the window relative to the unloaded latency; zero without enough samples.
  double LatencyRatio();
  void AdjustLimit(double aRatio);

  LimitSettings settings;
  double slots = 0;
  double limit = 0;
  std::array<Window, 2> windows{};
  /// Unloaded seconds per cost of each class; zero when not known yet.
  std::array<double, 2> baselines{};
  TimePoint windowEnd{};
};

} // namespace toucanstand
