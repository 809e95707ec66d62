#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "members/Member.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Most members that are kept; deltas about further ones are ignored and counted.
inline constexpr std::size_t kMaximumMembers = 4096;

/// Effect of a delta on the table.
enum class MergeOutcome
{
  /// Older than or equal to what is known.
  Stale,
  Changed,
  /// The table holds kMaximumMembers.
  Full,
};

/// Known members except the local one, and the rule by which deltas override each other.
class MemberTable
{
public:
  struct Entry
  {
    MemberDelta member;
    /// End of the suspicion, or of the time for which a dead member is remembered.
    TimePoint deadline{};
  };

  /// Applies a delta: a higher incarnation replaces, an equal one can only worsen.
  MergeOutcome Merge(const MemberDelta& aDelta);

  void Remove(const VmId& aVm);
  [[nodiscard]] Entry* Find(const VmId& aVm);
  [[nodiscard]] const Entry* Find(const VmId& aVm) const;
  /// True when the member is known and not dead.
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
