#pragma once

#include <vector>

#include "time/BootClock.h"

namespace toucanstand {

/// A replica group as far as it is known: its last reports and this VM's own requests.
struct GroupQueueEstimate
{
  /// Time to the first event of a request that is sent now.
  Duration timeToFirstEvent{ 0 };
  /// What each further request adds to it.
  Duration addedPerRequest{ 0 };
};

/// Where the requests are that peers have sent since their last reports.
struct ArrivalDistribution
{
  /// Time to the first event on each group that got any of them.
  Duration commonTime{ 0 };
  /// Requests expected on each group, in the order given.
  std::vector<double> expectedRequests;
};

/// Spreads requests over groups so that all that get any come to the same time to the
/// first event; groups above that time get none.
///
/// @param aGroups at least one, each with a positive time per request
/// @param aArrivals requests that are not known yet
[[nodiscard]] ArrivalDistribution DistributeArrivals(
  const std::vector<GroupQueueEstimate>& aGroups,
  double aArrivals);

} // namespace toucanstand
