#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "serving/EngineCostModel.h"
#include "serving/ServerDirectory.h"

namespace toucanstand {

/// Offered load of each model: the engine time, in seconds, that the requests arriving
/// per second need at pace factor 1 (see ModelTerms::paceFactor).
using ModelWork = std::map<std::string, double>;

/// Sample of the offered load by model and priority, 0 being the most urgent. Only the
/// ratios within a model matter.
using ModelMix = std::map<std::string, std::map<int, double>>;

/// Inputs of the formation of groups.
struct FormationInputs
{
  const ServerDirectory& directory;
  const EngineCostModel& cost;
  /// Measured load. A model without an entry is planned by its configured share alone.
  ModelWork work;
  /// Whether the first request has arrived. Before that, loading weights delays nobody
  /// and its rate is not limited.
  bool trafficStarted = false;
  /// Time after which a head with a missing member abandons its requests.
  Duration headStallTimeout = std::chrono::seconds(5);
  /// Longest time that a request may take.
  Duration longestRequest = std::chrono::seconds(8);
  /// Whether each request that runs on a group can go on at another group of its model.
  bool canMoveRequests = false;
  /// True for an engine that wants nothing for now; no group is formed with it.
  std::function<bool(const ServerId&)> isWaiting = nullptr;
  /// True for a zone that the operator has evacuated: its engines get no orders and count
  /// neither as engines nor as members of groups.
  std::function<bool(const ZoneId&)> isEvacuatedZone = nullptr;
  /// Without entries, all requests count as equally urgent.
  ModelMix mix = {};
  /// Fencing token of the orders that are based on these inputs: increases with each
  /// write to the store that they include, and stays below the term of the next lease
  /// holder.
  std::int64_t fence = 0;

  [[nodiscard]] bool IsEvacuated(const ZoneId& aZone) const
  {
    return this->isEvacuatedZone && this->isEvacuatedZone(aZone);
  }
};

} // namespace toucanstand
