#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "serving/DeferredRemovals.h"
#include "serving/ServerEntry.h"
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

  /// Adds or replaces an entry, unless it is older than the known one of the same run:
  /// the store may have been restored from a copy.
  /// @returns false when the store had the entry as it is and it was not being removed
  bool Put(ServerEntry aEntry);
  void Remove(const ServerId& aServer, TimePoint aNow);

  /// The store answers again after an outage.
  void OnStoreBack(TimePoint aNow);

  /// Applies removals whose grace period has ended.
  void OnTime(TimePoint aNow);

  [[nodiscard]] const ServerEntry* Find(const ServerId& aServer) const;
  [[nodiscard]] const std::map<ServerId, ServerEntry>& Servers() const
  {
    return this->servers;
  }

  /// Groups of a pool, by id.
  [[nodiscard]] std::map<GroupId, ObservedGroup> GroupsOf(const PoolId& aPool) const;

  /// Changes whenever a server's entry changes in any field.
  [[nodiscard]] std::uint64_t Revision() const { return this->revision; }

  [[nodiscard]] nlohmann::json Describe() const;

private:
  void RemoveNow(const ServerId& aServer);

  std::map<ServerId, ServerEntry> servers;
  DeferredRemovals<ServerId> removals;
  /// Servers whose entry in the store is older than the known one.
  std::set<ServerId> outdatedInStore;
  std::uint64_t revision = 0;
};

} // namespace toucanstand
