#include "serving/ZoneDistances.h"

#include <algorithm>

namespace toucanstand {

void ZoneDistances::Add(const ZoneId& aFrom, const ZoneId& aTo, Duration aDelay)
{
  const bool isValid = !aFrom.IsEmpty() && !aTo.IsEmpty() && aDelay >= Duration::zero() &&
                       aDelay <= kMaxDelay;
  if (!isValid) {
    this->CountMalformed();
  } else if (aFrom != aTo) {
    this->largest = std::max(this->largest, aDelay);
  }
}

} // namespace toucanstand
