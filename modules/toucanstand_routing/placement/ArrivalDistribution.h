#pragma once

#include <vector>

#include "time/BootClock.h"

namespace toucanstand {

/// Predicted queueing of a replica group, from the last reports and this VM's own
/// requests.
struct GroupQueueEstimate
{
  /// Predicted time to the first event of a request that is sent now.
  Duration timeToFirstEvent{ 0 };
  /// Time that each additional request adds to it.
  Duration addedPerRequest{ 0 };
};

/// Expected distribution over the groups of the requests that peers have sent since their
/// last reports.
struct ArrivalDistribution
{
  /// Time to the first event, equal for all groups that are expected to get requests.
  Duration commonTime{ 0 };
  /// Expected number of requests for each group, in the order of the groups passed in.
  std::vector<double> expectedRequests;
};

/// Distributes requests over groups by water-filling: all groups that get requests reach
/// the same time to the first event, and groups whose time is already longer get none.
///
/// @param aGroups at least one, each with a positive addedPerRequest
/// @param aArrivals number of requests that no report contains yet
[[nodiscard]] ArrivalDistribution DistributeArrivals(
  const std::vector<GroupQueueEstimate>& aGroups,
  double aArrivals);

} // namespace toucanstand
