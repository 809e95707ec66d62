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
  /// Listens for callers.
  Endpoint listen;
  /// Serves `GET /readyz` for the load balancer.
  Endpoint readiness;
  /// Receives datagrams of the other entry VMs and their HTTP requests for store changes.
  Endpoint peers;
  /// Serves metrics and the state dump to operators.
  Endpoint operatorEndpoint;
  Endpoint store;
  /// CPU time available to this VM, in cores. The VMs with the most become relays.
  double cpuShare = 1.0;
  /// Memory available to this VM, in bytes.
  std::size_t memoryBytes = 160U << 20U;
  /// Time from the stop signal until the process is killed.
  Duration stopPeriod = std::chrono::seconds(8);
  /// Limits on the retries of all entry VMs together.
  FleetRetryLimits retries;
  /// Time for which the head server of a group keeps its requests open after the group
  /// has lost a member.
  Duration headStall = std::chrono::seconds(5);
  /// In any second, a cold server gets at most its rate times this, and `coldSlack`.
  double coldOvershoot = 1;
  double coldSlack = 0;
  /// Maximum number of open caller connections.
  std::size_t connections = 1500;
  /// Maximum log lines per second: routine lines for answered requests, notable lines for
  /// failures and state changes.
  double routineLinesPerSecond = 50;
  double notableLinesPerSecond = 100;
  /// Random seed; 0 takes one from the operating system.
  std::int64_t seed = 0;
};

[[nodiscard]] ServerSettings ReadServerSettings(SettingsReader& aReader);

} // namespace toucanstand
