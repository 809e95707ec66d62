#pragma once

#include <optional>
#include <vector>

#include "machines/Vm.h"
#include "members/MembershipSettings.h"
#include "network/Endpoint.h"
#include "settings/SettingsReader.h"

namespace toucanstand {

/// Settings of toucanstand-node.
struct NodeSettings
{
  /// Id, availability zone and message endpoint of this VM.
  Vm self;
  Endpoint operatorEndpoint;
  /// Where messages arrive, when other VMs reach `node` through a forwarder.
  std::optional<Endpoint> listen;
  /// Entry VMs to contact at start; also counted in majorities. @see EntryQuorum
  std::vector<Vm> seeds;
  Endpoint store;
  Duration storeTimeout = std::chrono::seconds(2);
  /// Longest random pause before a watch of the store is armed again.
  Duration watchPause = std::chrono::seconds(2);
  MembershipSettings membership;
  /// Time between two polls of a backend server.
  Duration observeInterval = std::chrono::milliseconds(500);
  Duration observeTimeout = std::chrono::milliseconds(400);
  /// Time between two snapshots for a subscriber when nothing changes.
  Duration snapshotInterval = std::chrono::milliseconds(200);
  Duration drainPeriod = std::chrono::seconds(2);
  /// Seed of the random numbers; 0 takes one from the operating system.
  std::int64_t seed = 0;
};

/// Reads the settings; broken rules are collected by the reader.
[[nodiscard]] NodeSettings ReadNodeSettings(SettingsReader& aReader);

} // namespace toucanstand
