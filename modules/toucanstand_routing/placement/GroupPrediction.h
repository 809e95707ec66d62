#pragma once

#include "serving/EngineCostModel.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Work that a replica group has before a further request arrives.
struct GroupWork
{
  double reading = 0;
  double readingTokens = 0;
  double writing = 0;
};

/// Time from sending a request to a group until its first event arrives, by the cost
/// model that the operator states.
///
/// @param aPace factor on all times: the model's, times what was observed of the group
[[nodiscard]] Duration PredictFirstEvent(const EngineCostModel& aCost,
                                         const GroupWork& aWork,
                                         double aPromptTokens,
                                         double aPace);

} // namespace toucanstand
