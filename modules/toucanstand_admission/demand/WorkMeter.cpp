#include "demand/WorkMeter.h"

#include <cmath>

namespace toucanstand {

double WorkMeter::DecayedRate(const Rate& aRate, TimePoint aNow)
{
  const double periods = ToSeconds(aNow - aRate.updatedAt) / ToSeconds(kAveragingPeriod);
  return aRate.perSecond * std::exp(-periods);
}

void WorkMeter::OnRequest(const std::string& aModel, Duration aWork, TimePoint aNow)
{
  auto& rate = this->rates[aModel];
  rate.perSecond =
    DecayedRate(rate, aNow) + ToSeconds(aWork) / ToSeconds(kAveragingPeriod);
  rate.updatedAt = aNow;
}

std::map<std::string, double> WorkMeter::Rates(TimePoint aNow) const
{
  std::map<std::string, double> current;
  for (const auto& [model, rate] : this->rates) {
    current[model] = DecayedRate(rate, aNow);
  }
  return current;
}

} // namespace toucanstand
