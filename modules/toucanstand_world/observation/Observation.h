#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "groups/ReplicaGroup.h"
#include "identifiers/Identifiers.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Load as a backend server reported it. Reports lag and can be absurd.
struct LoadReport
{
  /// Increases with each report of one run of the server.
  std::uint64_t sequence = 0;
  double running = 0;
  double queued = 0;
  /// Requests that the server runs at once.
  double capacity = 1;
  /// When the report was received here.
  TimePoint receivedAt{};
  /// Fingerprints of prompt prefixes that the server has cached.
  std::vector<std::uint64_t> cachedPrefixes;
};

/// What an observer saw of one backend server.
struct Observation
{
  ServerId server;
  /// False when the server did not answer.
  bool reachable = false;
  /// Group and generation that the server itself reports; empty when it has none.
  GroupId group;
  Generation generation = 0;
  /// Fencing number of the last order that the server took.
  std::int64_t fence = 0;
  /// The server announced that it leaves.
  bool leaving = false;
  LoadReport load;
  /// When it was seen, in local time; a received observation has its age subtracted.
  TimePoint observedAt{};
};

} // namespace toucanstand
