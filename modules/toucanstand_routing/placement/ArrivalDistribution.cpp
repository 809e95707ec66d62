#include "placement/ArrivalDistribution.h"

#include <algorithm>
#include <iterator>

namespace toucanstand {

// Load reports are outdated when they arrive. If all VMs chose the group with the
// shortest reported queue, they would overload it before new reports show this. Each VM
// therefore assumes that its peers equalize the queues and draws its own choice from the
// same distribution, which keeps the queues equal without a message per request (Dahlin,
// "Interpreting Stale Load Information").
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
