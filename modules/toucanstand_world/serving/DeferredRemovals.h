#pragma once

#include <map>
#include <vector>

#include "time/BootClock.h"

namespace toucanstand {

/// Entries that the store no longer has, kept until a grace period ends: after an outage
/// or a restoration, the store lacks entries of processes that live, and these write them
/// again.
template<typename Id>
class DeferredRemovals
{
public:
  /// Removals are deferred until the time.
  void BeginGrace(TimePoint aUntil) { this->graceUntil = aUntil; }

  /// @returns false if the entry is to be removed at once
  [[nodiscard]] bool Defer(const Id& aId, TimePoint aNow)
  {
    if (aNow >= this->graceUntil) {
      return false;
    }
    this->pending.try_emplace(aId, this->graceUntil);
    return true;
  }

  /// Forgets the removal of an entry that came back or was removed otherwise. @returns
  /// false if there was none
  bool Cancel(const Id& aId) { return this->pending.erase(aId) > 0; }

  /// Returns the entries whose grace period has ended.
  [[nodiscard]] std::vector<Id> TakeDue(TimePoint aNow)
  {
    std::vector<Id> due;
    std::erase_if(this->pending, [&](const auto& aPending) {
      if (aNow >= aPending.second) {
        due.push_back(aPending.first);
        return true;
      }
      return false;
    });
    return due;
  }

private:
  std::map<Id, TimePoint> pending;
  TimePoint graceUntil{};
};

} // namespace toucanstand
