#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

#include "contracts/RoutingStrategy.h"
#include "identifiers/Identifiers.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Settings for the ejection of candidates and their return.
struct EjectionSettings
{
  /// Maximum share of a pool that may be ejected at the same time.
  double maxEjectedShare = 1.0 / 3.0;
  /// Consecutive failures that eject a candidate.
  std::size_t consecutiveFailures = 3;
  /// A candidate is slow when its mean latency exceeds this multiple of the pool's
  /// median.
  double slowFactor = 3.0;
  /// Minimum excess over the median before a candidate counts as slow.
  Duration minSlowExcess = std::chrono::milliseconds(50);
  /// Minimum number of samples before a latency is compared.
  std::size_t minLatencySamples = 8;
  /// First ejection period; doubles with each consecutive ejection.
  Duration initialPeriod = std::chrono::seconds(5);
  Duration maxPeriod = std::chrono::seconds(60);
  /// Successes, one request at a time, that end probation.
  std::size_t probationSuccesses = 3;
};

/// Settings of a Router.
struct RouterSettings
{
  RoutingStrategy strategy = RoutingStrategy::LeastTwoChoices;
  /// Load reports older than this are ignored.
  Duration maxReportAge = std::chrono::seconds(3);
  /// Requests with a prefix stay on its candidate while the candidate's load is at most
  /// this multiple of the mean load.
  double prefixLoadBound = 1.25;
  EjectionSettings ejection;
  /// Number of candidates of a pool that this node uses; 0 means all.
  std::size_t subsetSize = 0;
  /// This entry VM.
  VmId self;
  /// All live entry VMs, used to balance the subsets of different nodes. May be empty.
  std::vector<VmId> peers;
  /// Availability zone of this entry VM; empty when no zone is preferred.
  ZoneId ownZone;
  /// Additional load, as a share of a candidate's capacity, that is accepted to stay in
  /// the zone.
  double zoneTolerance = 0.05;
  /// Time for which a candidate that rejected a request as overloaded is avoided.
  Duration overloadBackoff = std::chrono::milliseconds(250);
};

} // namespace toucanstand
