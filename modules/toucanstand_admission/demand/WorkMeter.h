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

  /// Time constant of the average by priority. Among a hundred VMs, one sees a few
  /// requests of a large model in ten seconds, too few to tell their priorities.
  static constexpr Duration kMixAveragingPeriod = std::chrono::seconds(60);

  /// Adds a request. @param aWork engine time that it needs at pace factor 1
  void OnRequest(const std::string& aModel,
                 int aPriority,
                 Duration aWork,
                 TimePoint aNow);

  /// Requested engine seconds per second, by model.
  [[nodiscard]] std::map<std::string, double> Rates(TimePoint aNow) const;

  /// Requested engine seconds per second, by model and priority. Requests of which none
  /// has arrived within a few averaging periods are left out.
  [[nodiscard]] std::map<std::string, std::map<int, double>> RatesByPriority(
    TimePoint aNow) const;

  [[nodiscard]] bool HasSeenRequests() const { return !this->rates.empty(); }

private:
  struct Rate
  {
    double perSecond = 0;
    TimePoint updatedAt{};
  };

  static double DecayedRate(const Rate& aRate, Duration aPeriod, TimePoint aNow);
  static void Add(Rate& aRate, Duration aWork, Duration aPeriod, TimePoint aNow);

  std::map<std::string, Rate> rates;
  std::map<std::string, std::map<int, Rate>> ratesByPriority;
};

} // namespace toucanstand
