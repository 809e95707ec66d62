#include "placement/ArrivalDistribution.h"

#include <algorithm>
#include <iterator>

namespace toucanstand {

// Load reports are old when they arrive. VMs that all take the group with the shortest
// queue fill it far beyond the others before they hear of it. A VM that assumes that its
// peers level the groups out, and draws its own choice from the same distribution, keeps
// them level without hearing of each request (Dahlin, "Interpreting Stale Load
// Information").
ArrivalDistribution DistributeArrivals(const std::vector<GroupQueueEstimate>& aGroups,
                                       double aArrivals)
{
  auto sorted = aGroups;
  std::ranges::sort(sorted, {}, &GroupQueueEstimate::timeToFirstEvent);
  double requestsPerSecond = 0;
  double requestsBelow = 0;
  double commonTime = ToSeconds(sorted.front().timeToFirstEvent);
  for (const auto& group : sorted) {
    if (requestsPerSecond > 0 && ToSeconds(group.timeToFirstEvent) >= commonTime) {
      break;
    }
    requestsPerSecond += 1.0 / ToSeconds(group.addedPerRequest);
    requestsBelow += ToSeconds(group.timeToFirstEvent) / ToSeconds(group.addedPerRequest);
    commonTime = (aArrivals + requestsBelow) / requestsPerSecond;
  }
  ArrivalDistribution distribution;
  distribution.commonTime = FromSeconds(commonTime);
  std::ranges::transform(
    aGroups,
    std::back_inserter(distribution.expectedRequests),
    [commonTime](const GroupQueueEstimate& aGroup) {
      const double remainingTime = commonTime - ToSeconds(aGroup.timeToFirstEvent);
      return std::max(0.0, remainingTime / ToSeconds(aGroup.addedPerRequest));
    });
  return distribution;
}

} // namespace toucanstand
