#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "groups/ReplicaGroup.h"
#include "machines/BackendServer.h"
#include "machines/Vm.h"
#include "observation/Observation.h"

namespace toucanstand {

/// A destination for requests: a replica group that may serve, or one plain server.
struct Candidate
{
  /// Id of the group, or of the server when it serves alone.
  std::string id;
  PoolId pool;
  ZoneId zone;
  /// Where requests go: the first member of a group, or the server.
  ServerId server;
  Endpoint endpoint;
  Generation generation = 0;
  /// All members; the server itself when it serves alone.
  std::vector<ServerId> members;
  LoadReport load;
  /// Until when it may be used without renewal.
  TimePoint usableUntil{};
};

/// A request fingerprint that no server may run until the given time.
struct QuarantineEntry
{
  std::uint64_t fingerprint = 0;
  TimePoint until{};
};

/// Snapshot that toucanstand-node hands to the other processes of its VM.
struct WorldView
{
  TimePoint receivedAt{};
  /// False while the node is isolated: new work is refused.
  bool mayServe = false;
  std::int64_t configurationRevision = 0;
  std::vector<Candidate> candidates;
  std::vector<QuarantineEntry> quarantine;
  /// Entry VMs known to be alive, this one included; used to share fleet-wide limits.
  std::vector<Vm> liveEntryVms;
};

} // namespace toucanstand
