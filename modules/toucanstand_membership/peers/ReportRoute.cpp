#include "peers/ReportRoute.h"

namespace toucanstand {

Duration ReportRoute::MeanAge() const
{
  // What is sent at an interval waits for half of it on average.
  const Duration aggregateAge = this->aggregateInterval / 2 + this->datagramDelay;
  Duration age = this->reportInterval / 2 + this->datagramDelay;
  if (this->isThroughRelay) {
    age += aggregateAge;
  }
  if (this->isByZone) {
    age +=
      FromSeconds(ToSeconds(aggregateAge + this->zoneDelay) * this->shareOfOtherZones);
  }
  return age;
}

} // namespace toucanstand
