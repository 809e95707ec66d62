#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "control/GroupController.h"
#include "identifiers/Identifiers.h"
#include "network/Endpoint.h"
#include "settings/SettingsReader.h"

namespace toucanstand {

/// Settings of one toucanstand-groups process.
struct GroupsSettings
{
  VmId id;
  /// Where operators connect.
  Endpoint operatorEndpoint;
  Endpoint store;
  /// Fabric domains to act for; empty means all of the platform's list.
  std::vector<DomainId> domains;
  /// Settings of each domain's controller; the domain is filled in.
  GroupControllerSettings controller;
  /// Model that the engines of a pool load.
  std::map<PoolId, std::string> models;
  /// Life of a controller's lease without renewal.
  std::chrono::seconds leaseDuration{ 3 };
  /// Between two polls of an engine's state, and for one of them.
  Duration pollInterval = std::chrono::milliseconds(500);
  Duration pollTimeout = std::chrono::milliseconds(400);
  /// For one exchange of a control order.
  Duration orderTimeout = std::chrono::seconds(2);
  /// Longest time for the calls in flight when the process stops.
  Duration drainPeriod = std::chrono::seconds(5);
  /// Seed of random choices; 0 takes one from the system.
  std::int64_t seed = 0;
};

/// Reads the settings; broken rules are in the reader's list.
GroupsSettings ReadGroupsSettings(SettingsReader& aReader);

} // namespace toucanstand
