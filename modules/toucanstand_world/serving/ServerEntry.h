#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "groups/ReplicaGroup.h"
#include "identifiers/Identifiers.h"
#include "network/Endpoint.h"
#include "time/BootClock.h"

namespace toucanstand {

/// How far an engine is in the life of its replica group.
enum class MembershipState
{
  Joining,
  /// Loaded and waiting; the head does not serve yet.
  Ready,
  /// The head serves.
  Open,
  /// The head finishes its work and takes no more.
  Closing,
  /// The head lost a member and rejects requests.
  Broken,
};

/// Name of a state for logs and state dumps.
[[nodiscard]] const char* Name(MembershipState aState);

/// An engine's place in a replica group, as it reports it itself.
struct GroupMembership
{
  GroupId group;
  Generation generation = 0;
  /// 0 is the head, which receives the requests.
  std::size_t rank = 0;
  MembershipState state = MembershipState::Joining;

  friend bool operator==(const GroupMembership&, const GroupMembership&) = default;
};

/// Position of an entry among those of one run of a server. Entries that differ in
/// nothing else are equal.
struct EntrySequence
{
  std::int64_t number = 0;

  friend bool operator==(const EntrySequence&, const EntrySequence&) { return true; }
};

/// Time for which a server stays cold, as of the write of its entry. It counts down, so
/// entries that differ in nothing else are equal.
struct StatedColdTime
{
  /// Nothing if the entry does not state it.
  std::optional<Duration> remaining;
  /// The entry states a value that can't be meant, which counts as absent.
  bool isUnreadable = false;

  [[nodiscard]] bool IsCold() const
  {
    return this->remaining && *this->remaining > Duration::zero();
  }
  friend bool operator==(const StatedColdTime&, const StatedColdTime&) { return true; }
};

/// A backend server as it registered itself with the platform.
struct ServerEntry
{
  ServerId id;
  PoolId pool;
  ZoneId zone;
  /// Empty for servers outside any fabric domain.
  DomainId domain;
  Endpoint endpoint;
  /// Requests that the server runs at once.
  std::size_t slots = 1;
  /// It finishes what it has and must get no new requests.
  bool leaving = false;
  /// Start of this run of the server, milliseconds since 1970; 0 when unknown.
  std::int64_t startedAtUnixMs = 0;
  /// Position among the entries that this run of the server wrote; 0 when unknown.
  EntrySequence sequence;
  StatedColdTime coldTime;
  /// Models whose weights lie on the host.
  std::vector<std::string> stagedModels;
  std::optional<GroupMembership> membership;

  friend bool operator==(const ServerEntry&, const ServerEntry&) = default;
};

} // namespace toucanstand
