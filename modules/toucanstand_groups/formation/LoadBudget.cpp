#include "formation/LoadBudget.h"

#include <algorithm>

namespace toucanstand {

bool LoadBudget::TryTake(std::size_t aLoads, double aPerSecond, TimePoint aNow)
{
  const double earned =
    this->started ? ToSeconds(aNow - this->updatedAt) * aPerSecond : aPerSecond;
  this->credit = std::min(this->credit + earned, aPerSecond);
  this->updatedAt = aNow;
  this->started = true;
  const auto wanted = static_cast<double>(aLoads);
  if (wanted > this->credit) {
    return false;
  }
  this->credit -= wanted;
  return true;
}

} // namespace toucanstand
