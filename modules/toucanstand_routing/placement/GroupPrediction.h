#pragma once

#include "serving/EngineCostModel.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Requests that a replica group has in progress before another request arrives.
struct GroupBacklog
{
  double prefillRequests = 0;
  double prefillTokens = 0;
  double decodeRequests = 0;
};

/// Predicts the time from sending a request to a group until its first event arrives,
/// using the cost model that the operator configures.
///
/// @param aPaceFactor factor by which all times of the cost model are multiplied
[[nodiscard]] Duration PredictFirstEvent(const EngineCostModel& aCost,
                                         const GroupBacklog& aBacklog,
                                         double aPromptTokens,
                                         double aPaceFactor);

} // namespace toucanstand
