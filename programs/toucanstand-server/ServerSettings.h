#pragma once

#include <cstddef>

#include "attempts/FleetRetryLimits.h"
#include "identifiers/Identifiers.h"
#include "network/Endpoint.h"
#include "settings/SettingsReader.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Settings of toucanstand-server.
struct ServerSettings
{
  VmId id;
  ZoneId zone;
  /// Callers' connections.
  Endpoint listen;
  /// `GET /readyz` of the balancer.
  Endpoint readiness;
  /// Datagrams of the other entry VMs.
  Endpoint peers;
  /// Metrics and state for operators.
  Endpoint operatorEndpoint;
  Endpoint store;
  /// Processor time of this VM in cores. The largest VMs are the relays of the others.
  double cpuShare = 1.0;
  /// Time from the signal to stop until the process is killed.
  Duration stopPeriod = std::chrono::seconds(8);
  /// Retries that all entry VMs together may make.
  FleetRetryLimits retries;
  /// Time for which the head of a group with a missing member keeps its work.
  Duration headStall = std::chrono::seconds(5);
  /// Open connections of callers.
  std::size_t connections = 1500;
  /// Log lines a second of answered requests, and of failures and changes of belief.
  double routineLinesPerSecond = 50;
  double notableLinesPerSecond = 100;
  /// Seed of random choices; 0 takes one from the operating system.
  std::int64_t seed = 0;
};

[[nodiscard]] ServerSettings ReadServerSettings(SettingsReader& aReader);

} // namespace toucanstand
