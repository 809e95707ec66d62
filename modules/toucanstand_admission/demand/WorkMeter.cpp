#include "demand/WorkMeter.h"

#include <cmath>

namespace toucanstand {

namespace {

/// Averaging periods after which a priority no longer counts.
constexpr int kMixLifetimePeriods = 3;

} // namespace

double WorkMeter::DecayedRate(const Rate& aRate, Duration aPeriod, TimePoint aNow)
{
  const double periods = ToSeconds(aNow - aRate.updatedAt) / ToSeconds(aPeriod);
  return aRate.perSecond * std::exp(-periods);
}

void WorkMeter::Add(Rate& aRate, Duration aWork, Duration aPeriod, TimePoint aNow)
{
  aRate.perSecond =
    DecayedRate(aRate, aPeriod, aNow) + ToSeconds(aWork) / ToSeconds(aPeriod);
  aRate.updatedAt = aNow;
}

void WorkMeter::OnRequest(const std::string& aModel,
                          int aPriority,
                          Duration aWork,
                          TimePoint aNow)
{
  Add(this->rates[aModel], aWork, kAveragingPeriod, aNow);
  Add(this->ratesByPriority[aModel][aPriority], aWork, kMixAveragingPeriod, aNow);
}

std::map<std::string, double> WorkMeter::Rates(TimePoint aNow) const
{
  std::map<std::string, double> current;
  for (const auto& [model, rate] : this->rates) {
    current[model] = DecayedRate(rate, kAveragingPeriod, aNow);
  }
  return current;
}

std::map<std::string, std::map<int, double>> WorkMeter::RatesByPriority(
  TimePoint aNow) const
{
  std::map<std::string, std::map<int, double>> current;
  for (const auto& [model, priorities] : this->ratesByPriority) {
    for (const auto& [priority, rate] : priorities) {
      if (aNow - rate.updatedAt <= kMixLifetimePeriods * kMixAveragingPeriod) {
        current[model][priority] = DecayedRate(rate, kMixAveragingPeriod, aNow);
      }
    }
  }
  return current;
}

} // namespace toucanstand
