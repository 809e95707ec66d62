#include "formation/LoadRateLimiter.h"

#include <algorithm>

namespace toucanstand {

bool LoadRateLimiter::TryAcquire(std::size_t aLoads, double aPerSecond, TimePoint aNow)
{
  const double refilled =
    this->started ? ToSeconds(aNow - this->updatedAt) * aPerSecond : aPerSecond;
  this->tokens = std::min(this->tokens + refilled, aPerSecond);
  this->updatedAt = aNow;
  this->started = true;
  const auto wanted = static_cast<double>(aLoads);
  if (wanted > this->tokens) {
    return false;
  }
  this->tokens -= wanted;
  return true;
}

} // namespace toucanstand
