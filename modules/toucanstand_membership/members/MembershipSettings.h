#pragma once

#include <cstddef>

#include "time/BootClock.h"

namespace toucanstand {

/// Timing and bounds of the membership protocol.
struct MembershipSettings
{
  /// Time between two rounds of probes.
  Duration probeInterval = std::chrono::milliseconds(500);
  /// Time until an unanswered probe is followed by indirect ones.
  Duration probeTimeout = std::chrono::milliseconds(200);
  /// Further time until a member that did not answer is suspected.
  Duration indirectTimeout = std::chrono::milliseconds(300);
  /// Members asked to probe on this node's behalf.
  std::size_t indirectProbes = 3;
  /// Shortest time between suspicion and death.
  Duration suspicionTimeout = std::chrono::seconds(3);
  /// The suspicion lasts at least this many probe intervals times log2 of the fleet, so
  /// that a refutation has time to spread.
  double suspicionMultiplier = 2.0;
  /// Time in which every member is probed once, as far as maximumProbes allows: half the
  /// isolation limit, so that one lost round does not isolate a node.
  Duration fullRound = std::chrono::seconds(4);
  /// Most probes in one interval; bounds the traffic of a large fleet.
  std::size_t maximumProbes = 4;
  /// Member deltas on an ordinary message.
  std::size_t deltasPerMessage = 6;
  /// Notices on a message.
  std::size_t noticesPerMessage = 16;
  /// Time for which a dead member is remembered, so that an older delta about it does not
  /// bring it back.
  Duration deadRetention = std::chrono::minutes(2);
};

} // namespace toucanstand
