#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "serving/DeferredRemovals.h"
#include "serving/ServerEntry.h"
#include "serving/ServerRun.h"
#include "time/BootClock.h"

namespace toucanstand {

/// A replica group as the entries of its members show it.
struct ObservedGroup
{
  GroupId id;
  Generation generation = 0;
  /// By rank. Members whose entries are missing are left out. The pointers are valid
  /// until the directory changes.
  std::vector<const ServerEntry*> members;
  /// Members without an entry that have not said that they leave, as last registered: an
  /// engine that is partitioned from the store still serves. Valid as long as `members`.
  std::vector<const ServerEntry*> unregisteredMembers;

  /// The member with rank 0; null when its entry is missing.
  [[nodiscard]] const ServerEntry* Head() const;
};

/// The backend servers that are registered with the platform.
///
/// While the platform's store is away, registrations lapse although their servers live.
/// Removals that become visible when the store is back are therefore applied only after
/// a grace period, unless the server had announced that it leaves.
class ServerDirectory
{
public:
  /// Servers that live and reach the store register again within about two seconds of
  /// its return; the rest covers the delay of the change feed.
  static constexpr Duration kReturnGrace = std::chrono::milliseconds(2700);
  /// Time for which it is remembered that a server without a registration leaves. A
  /// registration that lapsed, or that a restored store has lost, is back within a few
  /// seconds; the rest covers an outage of the store.
  static constexpr Duration kLeavingRetention = std::chrono::minutes(10);

  /// Adds or replaces an entry, unless it is older than the known one of the same run:
  /// the store may have been restored from a copy.
  /// @returns false when the store had the entry as it is, without a cold time, and it
  /// was not being removed
  bool Put(ServerEntry aEntry);
  void Remove(const ServerId& aServer, TimePoint aNow);

  /// Applies that a run of a server says itself that it leaves: its entry counts as
  /// leaving, whatever the store says of that run.
  /// @returns true if its entry did not say so
  bool MarkLeaving(const ServerRun& aRun);

  /// The present run of a server; one with an unknown start if it has no entry.
  [[nodiscard]] ServerRun RunOf(const ServerId& aServer) const;

  /// The store answers again after an outage.
  void OnStoreBack(TimePoint aNow);

  /// Applies removals whose grace period has ended, and forgets runs that are gone.
  void OnTime(TimePoint aNow);

  [[nodiscard]] const ServerEntry* Find(const ServerId& aServer) const;
  [[nodiscard]] const std::map<ServerId, ServerEntry>& Servers() const
  {
    return this->servers;
  }

  /// Groups of a pool, by id.
  [[nodiscard]] std::map<GroupId, ObservedGroup> GroupsOf(const PoolId& aPool) const;

  /// Changes whenever a server's entry changes in any field, its cold time excepted.
  [[nodiscard]] std::uint64_t Revision() const { return this->revision; }

  [[nodiscard]] nlohmann::json Describe() const;

private:
  /// A run that said itself that it leaves.
  struct LeavingRun
  {
    std::int64_t startedAtUnixMs = 0;
    /// When it last had an entry.
    TimePoint lastRegisteredAt{};
  };

  void RemoveNow(const ServerId& aServer);
  void ForgetUnregisteredMembers();
  [[nodiscard]] bool SaidThatItLeaves(const ServerEntry& aEntry) const;

  std::map<ServerId, ServerEntry> servers;
  /// Last entries of members of groups that have other members with an entry.
  std::map<ServerId, ServerEntry> unregisteredMembers;
  DeferredRemovals<ServerId> removals;
  /// Servers whose entry in the store is older than the known one.
  std::set<ServerId> outdatedInStore;
  std::map<ServerId, LeavingRun> leavingRuns;
  std::uint64_t revision = 0;
};

} // namespace toucanstand
