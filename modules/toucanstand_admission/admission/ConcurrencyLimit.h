#pragma once

#include <array>
#include <cstddef>

#include "admission/AdmissionSettings.h"
#include "admission/ServiceTimeModel.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Number of requests that may run at once in a pool. It starts at the reported slots,
/// and shrinks while the observed latency is above the tolerance (a gradient limit).
///
/// Slot reports lag and can be wrong, whereas the latency of this process's own requests
/// shows an overloaded pool within one window.
class ConcurrencyLimit
{
public:
  explicit ConcurrencyLimit(const LimitSettings& aSettings);

  void Configure(const LimitSettings& aSettings) { this->settings = aSettings; }

  /// Sets the reported slots, and scales the current limit in proportion.
  void SetSlots(double aSlots);

  /// Records an answered request. @param aSeconds its service time
  void Record(WorkClass aClass, double aCost, double aSeconds, TimePoint aNow);

  /// Requests that may run at once; zero only without slots. Rounded up, because rounding
  /// down would leave servers idle.
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

  /// Closes the windows with enough samples, and returns their latency divided by the
  /// unloaded latency; zero when no window has enough samples.
  double LatencyRatio();
  void AdjustLimit(double aRatio);

  LimitSettings settings;
  double slots = 0;
  double limit = 0;
  std::array<Window, 2> windows{};
  /// Unloaded latency of each class, in seconds per unit of cost; zero until it is known.
  std::array<double, 2> baselines{};
  TimePoint windowEnd{};
};

} // namespace toucanstand
