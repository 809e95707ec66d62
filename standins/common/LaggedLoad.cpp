#include "common/LaggedLoad.h"

namespace toucanstand {

LaggedLoad::LaggedLoad(Duration aLag)
  : lag(aLag)
{
}

void LaggedLoad::Record(ServerLoad aLoad, TimePoint aNow)
{
  if (!this->samples.empty() && this->samples.back().load == aLoad) {
    return;
  }
  this->samples.push_back({ aNow, aLoad });
  this->ForgetBefore(aNow - this->lag);
}

ServerLoad LaggedLoad::Reported(TimePoint aNow)
{
  const TimePoint reported = aNow - this->lag;
  this->ForgetBefore(reported);
  const bool known = !this->samples.empty() && this->samples.front().at <= reported;
  return known ? this->samples.front().load : ServerLoad{};
}

void LaggedLoad::ForgetBefore(TimePoint aTime)
{
  // The newest sample that is old enough is the one that reports need.
  while (this->samples.size() > 1 && this->samples[1].at <= aTime) {
    this->samples.pop_front();
  }
}

} // namespace toucanstand
