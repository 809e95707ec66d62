#pragma once

#include <map>
#include <string>

#include "time/BootClock.h"

namespace toucanstand {

/// Exponentially decaying average of the work requested per model, in seconds of engine
/// time per second.
class WorkMeter
{
public:
  /// Time constant of the average. It is longer than a short-term fluctuation of demand,
  /// so that such a fluctuation does not move groups back and forth between models.
  static constexpr Duration kAveragingPeriod = std::chrono::seconds(10);

  /// Adds a request. @param aWork engine time that it needs at pace factor 1
  void OnRequest(const std::string& aModel, Duration aWork, TimePoint aNow);

  /// Requested engine seconds per second, by model.
  [[nodiscard]] std::map<std::string, double> Rates(TimePoint aNow) const;

  [[nodiscard]] bool HasSeenRequests() const { return !this->rates.empty(); }

private:
  struct Rate
  {
    double perSecond = 0;
    TimePoint updatedAt{};
  };

  static double DecayedRate(const Rate& aRate, TimePoint aNow);

  std::map<std::string, Rate> rates;
};

} // namespace toucanstand
