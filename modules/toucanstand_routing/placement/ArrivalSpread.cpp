#include "placement/ArrivalSpread.h"

#include <algorithm>
#include <iterator>

namespace toucanstand {

// Load reports are old when they arrive. VMs that all take the group with the shortest
// queue fill it far beyond the others before they hear of it. A VM that assumes that its
// peers level the groups out, and draws its own choice from the same distribution, keeps
// them level without hearing of each request (Dahlin, "Interpreting Stale Load
// Information").
ArrivalSpread SpreadArrivals(const std::vector<GroupFill>& aGroups, double aArrivals)
{
  auto sorted = aGroups;
  std::ranges::sort(sorted, {}, &GroupFill::firstEvent);
  double requestsPerSecond = 0;
  double requestsBelow = 0;
  double level = ToSeconds(sorted.front().firstEvent);
  for (const auto& group : sorted) {
    if (requestsPerSecond > 0 && ToSeconds(group.firstEvent) >= level) {
      break;
    }
    requestsPerSecond += 1.0 / ToSeconds(group.perRequest);
    requestsBelow += ToSeconds(group.firstEvent) / ToSeconds(group.perRequest);
    level = (aArrivals + requestsBelow) / requestsPerSecond;
  }
  ArrivalSpread spread;
  spread.level = FromSeconds(level);
  std::ranges::transform(
    aGroups, std::back_inserter(spread.expected), [level](const GroupFill& aGroup) {
      const double room = level - ToSeconds(aGroup.firstEvent);
      return std::max(0.0, room / ToSeconds(aGroup.perRequest));
    });
  return spread;
}

} // namespace toucanstand
