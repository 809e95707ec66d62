#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "store/ChangeFeed.h"

namespace toucanstand {

/// The changes of the last seconds, for other processes that ask what they missed.
class ChangeLog
{
public:
  /// Others ask twice a second; one that was silent for longer reads the store.
  static constexpr Duration kLife = std::chrono::seconds(15);

  /// The copy was read whole: what happened before the revision is not known.
  void Restart(StoreRevision aAt);

  /// A change of the copy, in the order of the revisions.
  void Note(const StoreChange& aChange, TimePoint aNow);

  /// The copy went from one revision to another by a read of all keys: changes that were
  /// undone in between are not in the log.
  void NoteFullRead(StoreRevision aFrom, StoreRevision aTo);

  /// Changes after a revision; nothing when the log does not reach back that far.
  [[nodiscard]] std::optional<std::vector<StoreChange>> After(StoreRevision aAfter) const;

  /// Revision of the last change in the log; 0 when there is none.
  [[nodiscard]] StoreRevision LastRevision() const;

private:
  struct Entry
  {
    StoreChange change;
    TimePoint notedAt{};
  };

  /// Revisions between which all keys were read; both ends are outside.
  struct Gap
  {
    StoreRevision from = 0;
    StoreRevision to = 0;
  };

  std::deque<Entry> entries;
  std::vector<Gap> gaps;
  /// Changes up to this revision are not in the log; unset before the first whole read.
  std::optional<StoreRevision> floor;
};

} // namespace toucanstand
