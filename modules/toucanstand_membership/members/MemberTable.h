#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "members/Member.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Maximum number of members in the table; deltas about further ones are ignored.
inline constexpr std::size_t kMaximumMembers = 4096;

/// Result of MemberTable::Merge().
enum class MergeOutcome
{
  /// The delta contains nothing newer than the table; no change.
  Stale,
  /// The member was added or updated.
  Changed,
  /// The member is unknown and the table already has kMaximumMembers entries.
  Full,
};

/// Known members except the local one. Merges deltas about them by the rules of SWIM.
class MemberTable
{
public:
  struct Entry
  {
    MemberDelta member;
    /// When a suspected member is declared dead, or when a dead member is removed; not
    /// used for a member that is alive.
    TimePoint deadline{};
  };

  /// Applies a delta. A higher incarnation replaces the entry; an equal one can only
  /// change it from alive to suspect or dead, or set leaving.
  MergeOutcome Merge(const MemberDelta& aDelta);

  void Remove(const VmId& aVm);
  [[nodiscard]] Entry* Find(const VmId& aVm);
  [[nodiscard]] const Entry* Find(const VmId& aVm) const;
  /// Whether the member is known and not dead.
  [[nodiscard]] bool IsAlive(const VmId& aVm) const;
  /// Members that are not dead, including suspects.
  [[nodiscard]] std::size_t AliveCount() const { return this->aliveCount; }
  [[nodiscard]] std::vector<VmId> AliveIds() const;
  [[nodiscard]] std::map<VmId, Entry>& Entries() { return this->entries; }
  [[nodiscard]] const std::map<VmId, Entry>& Entries() const { return this->entries; }

private:
  MergeOutcome Insert(const MemberDelta& aDelta);

  std::map<VmId, Entry> entries;
  std::size_t aliveCount = 0;
};

} // namespace toucanstand
