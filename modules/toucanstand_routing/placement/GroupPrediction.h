#pragma once

#include "serving/EngineCostModel.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Work that a replica group has before a further request arrives.
struct GroupBacklog
{
  double prefillRequests = 0;
  double prefillTokens = 0;
  double decodeRequests = 0;
};

/// Time from sending a request to a group until its first event arrives, by the cost
/// model that the operator states.
///
/// @param aPaceFactor factor on all times: the model's, times what was observed of the
/// group
[[nodiscard]] Duration PredictFirstEvent(const EngineCostModel& aCost,
                                         const GroupBacklog& aBacklog,
                                         double aPromptTokens,
                                         double aPaceFactor);

} // namespace toucanstand
