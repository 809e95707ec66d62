#include "placement/ZonePreference.h"

#include <algorithm>
#include <utility>

#include "placement/GroupPlacement.h"

namespace toucanstand {

ZonePreference::ZonePreference(ZoneId aOwnZone, std::size_t aSlots, Duration aTarget)
  : ownZone(std::move(aOwnZone))
  , slots(static_cast<double>(std::max<std::size_t>(aSlots, 1)))
  , maxPrediction(FromSeconds(ToSeconds(aTarget) * kMaxTargetShare))
{
}

double ZonePreference::OccupancyOf(const PlacementChoice& aGroup) const
{
  return (aGroup.backlog.prefillRequests + aGroup.backlog.decodeRequests) / this->slots;
}

void ZonePreference::Apply(std::vector<PlacementChoice>& aGroups,
                           ArrivalDistribution& aDistribution) const
{
  if (aGroups.empty()) {
    return;
  }
  const auto& earliest = std::ranges::min(aGroups, {}, &PlacementChoice::predicted);
  const double maxOccupancy = this->OccupancyOf(earliest) + kMaxExtraOccupancy;
  std::vector<PlacementChoice> preferred;
  std::vector<double> expectedRequests;
  for (std::size_t index = 0; index < aGroups.size(); ++index) {
    const auto& group = aGroups[index];
    const double expected = aDistribution.expectedRequests[index];
    // A group on which unreported requests are expected is predicted to serve at the
    // common time.
    const auto predicted = expected > 0
                             ? std::max(group.predicted, aDistribution.commonTime)
                             : group.predicted;
    if (group.group.zone == this->ownZone && predicted <= this->maxPrediction &&
        this->OccupancyOf(group) <= maxOccupancy) {
      preferred.push_back(group);
      expectedRequests.push_back(expected);
    }
  }
  if (!preferred.empty()) {
    aGroups = std::move(preferred);
    aDistribution.expectedRequests = std::move(expectedRequests);
  }
}

} // namespace toucanstand
