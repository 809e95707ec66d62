#include "planning/WeightBudget.h"

#include <algorithm>

namespace toucanstand {

WeightBudget::WeightBudget(double aBytesPerSecond)
  : bytesPerSecond(aBytesPerSecond)
{
}

bool WeightBudget::CanLoad(TimePoint aNow) const
{
  return this->IsUnlimited() || aNow >= this->busyUntil;
}

void WeightBudget::AddLoad(std::uint64_t aBytes, TimePoint aNow)
{
  if (this->IsUnlimited()) {
    return;
  }
  this->busyUntil = std::max(this->busyUntil, aNow) +
                    FromSeconds(static_cast<double>(aBytes) / this->bytesPerSecond);
}

} // namespace toucanstand
