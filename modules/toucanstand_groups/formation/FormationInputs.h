#pragma once

#include <map>
#include <string>

#include "serving/EngineCostModel.h"
#include "serving/ServerDirectory.h"

namespace toucanstand {

/// Work that callers ask of each model, in engine seconds a second at pace 1.
using ModelWork = std::map<std::string, double>;

/// What groups are planned with.
struct FormationInputs
{
  const ServerDirectory& directory;
  const EngineCostModel& cost;
  /// Models without an entry count with the share that the operator expects.
  ModelWork work;
  /// Loads of weights are cheap and unlimited before the first request.
  bool trafficStarted = false;
  /// Time for which a head with a missing member keeps its work.
  Duration headStallTimeout = std::chrono::seconds(5);
};

} // namespace toucanstand
