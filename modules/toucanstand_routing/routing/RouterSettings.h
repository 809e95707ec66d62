#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

#include "contracts/RoutingStrategy.h"
#include "identifiers/Identifiers.h"
#include "time/BootClock.h"

namespace toucanstand {

/// When candidates are ejected and how they return.
struct EjectionSettings
{
  /// Greatest share of a pool that may be ejected at the same time.
  double maxEjectedShare = 1.0 / 3.0;
  /// Failures in a row that eject a candidate.
  std::size_t consecutiveFailures = 3;
  /// A candidate is slow when its mean latency exceeds the pool's median by this factor.
  double slowFactor = 3.0;
  /// Excess over the median below which a candidate is never called slow.
  Duration minSlowExcess = std::chrono::milliseconds(50);
  /// Samples needed before a latency is compared.
  std::size_t minLatencySamples = 8;
  /// First period of ejection; doubles with each further one.
  Duration initialPeriod = std::chrono::seconds(5);
  Duration maxPeriod = std::chrono::seconds(60);
  /// Successes in probation, one request at a time, that end it.
  std::size_t probationSuccesses = 3;
};

/// Settings of a Router.
struct RouterSettings
{
  RoutingStrategy strategy = RoutingStrategy::LeastTwoChoices;
  /// Load reports older than this count as unknown.
  Duration maxReportAge = std::chrono::seconds(3);
  /// A prefix stays on its candidate while that has at most this multiple of the mean
  /// load.
  double prefixLoadBound = 1.25;
  EjectionSettings ejection;
  /// Candidates of a pool that this node uses; 0 uses all of them.
  std::size_t subsetSize = 0;
  /// This entry VM.
  VmId self;
  /// All live entry VMs; lets the subsets of different nodes be balanced. May be empty.
  std::vector<VmId> peers;
  /// Availability zone of this entry VM; empty when no zone is preferred.
  ZoneId ownZone;
  /// Load, as a share of a candidate's capacity, that is accepted to stay in the zone.
  double zoneTolerance = 0.05;
  /// Time for which a candidate that rejected a request as overloaded is avoided.
  Duration overloadBackoff = std::chrono::milliseconds(250);
};

} // namespace toucanstand
