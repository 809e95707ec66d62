#pragma once

#include <map>
#include <string>

#include "time/BootClock.h"

namespace toucanstand {

/// Rate of the work that callers ask of each model, over the last seconds.
class WorkMeter
{
public:
  /// Time over which the rate is averaged: longer than a swing of demand, so that groups
  /// are not moved to and fro within one.
  static constexpr Duration kAveragingPeriod = std::chrono::seconds(10);

  /// A request arrived. @param aWork engine time that it needs at pace 1
  void OnRequest(const std::string& aModel, Duration aWork, TimePoint aNow);

  /// Engine seconds a second, by model.
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
