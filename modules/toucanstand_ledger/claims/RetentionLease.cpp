#include "claims/RetentionLease.h"

namespace toucanstand {

RetentionLease::RetentionLease(Duration aRetention, Duration aPeriod)
  : retention(aRetention)
  , period(aPeriod)
{
}

std::optional<std::int64_t> RetentionLease::Current(TimePoint aNow) const
{
  return aNow < this->usableUntil ? std::optional(this->lease) : std::nullopt;
}

void RetentionLease::OnGranted(std::int64_t aLease, TimePoint aAskedAt)
{
  this->lease = aLease;
  this->usableUntil = aAskedAt + this->period;
}

} // namespace toucanstand
