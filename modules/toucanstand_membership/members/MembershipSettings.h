#pragma once

#include <cstddef>

#include "time/BootClock.h"

namespace toucanstand {

/// Intervals, timeouts and limits of the membership protocol.
struct MembershipSettings
{
  /// Time between two rounds of probes.
  Duration probeInterval = std::chrono::milliseconds(500);
  /// Time without an answer after which other members are asked to probe the target.
  Duration probeTimeout = std::chrono::milliseconds(200);
  /// Further time without an answer after which the target is suspected.
  Duration indirectTimeout = std::chrono::milliseconds(300);
  /// Number of members that are asked to probe a target that did not answer.
  std::size_t indirectProbes = 3;
  /// Minimum time for which a member is suspected before it is declared dead.
  Duration suspicionTimeout = std::chrono::seconds(3);
  /// A suspicion lasts at least this factor times log2 of the number of members, in probe
  /// intervals, so that a refutation has time to reach all members.
  double suspicionMultiplier = 2.0;
  /// Time in which every member is probed once, unless maximumProbes is too low for that.
  /// Half of the isolation timeout, so that one lost round does not isolate a node.
  Duration fullRound = std::chrono::seconds(4);
  /// Maximum number of members probed per interval; limits the traffic of a large fleet.
  std::size_t maximumProbes = 4;
  /// Maximum number of queued member deltas on a message.
  std::size_t deltasPerMessage = 6;
  /// Maximum number of notices on a message.
  std::size_t noticesPerMessage = 16;
  /// Time for which a dead member stays in the table, so that an older delta does not add
  /// it again as alive.
  Duration deadRetention = std::chrono::minutes(2);
};

} // namespace toucanstand
