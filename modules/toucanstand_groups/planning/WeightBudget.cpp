#include "planning/WeightBudget.h"

#include <algorithm>

namespace toucanstand {

WeightBudget::WeightBudget(double aBytesPerSecond)
  : bytesPerSecond(aBytesPerSecond)
{
}

bool WeightBudget::MayLoad(TimePoint aNow) const
{
  return this->IsUnlimited() || aNow >= this->busyUntil;
}

void WeightBudget::Spend(std::uint64_t aBytes, TimePoint aNow)
{
  if (this->IsUnlimited()) {
    return;
  }
  this->busyUntil = std::max(this->busyUntil, aNow) +
                    FromSeconds(static_cast<double>(aBytes) / this->bytesPerSecond);
}

} // namespace toucanstand
