#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "store/ChangeFeed.h"

namespace toucanstand {

/// How often a mirror asks.
struct StoreMirrorSettings
{
  std::string prefix;
  /// Least time between two calls: changes that come meanwhile arrive in one answer.
  Duration interval = std::chrono::milliseconds(500);
  /// Longest time that a call waits for a first change.
  std::chrono::milliseconds wait = std::chrono::milliseconds(1000);
  /// Pause after a failed call.
  Duration retryPause = std::chrono::milliseconds(250);
};

/// What a mirror tells its owner.
struct StoreMirrorListener
{
  /// One key changed.
  std::function<void(const StoreChange&)> onChange;
  /// The changes of one answer have been delivered.
  std::function<void()> onAdvanced;
  /// All keys were read anew; keys that are not in the list no longer exist.
  /// @param aPrevious revision that the mirror had reached before, 0 at first
  std::function<void(const std::vector<std::string>& aKeys, StoreRevision aPrevious)>
    onReadAll;
  /// Calls fail, for the reason given.
  std::function<void(StoreFailure)> onLost;
  /// Calls succeed again. @param aOutage time since the last successful call
  std::function<void(Duration aOutage)> onRegained;
  /// The store was restored from an older copy; called before its keys or changes are
  /// delivered.
  std::function<void(StoreHistory aHistory)> onRestored;
};

/// Keeps its owner informed of every key with a prefix, through lost answers, outages and
/// a lost history. One call at a time is in progress.
class StoreMirror
{
public:
  /// @param aFeed must outlive the mirror.
  StoreMirror(boost::asio::io_context& aLoop,
              ChangeFeed& aFeed,
              StoreMirrorSettings aSettings,
              StoreMirrorListener aListener);

  /// Runs until the process ends.
  Task<> Run();

  /// Takes changes over that came unasked, if they follow on what is known.
  /// @param aAfter the changes are complete from this revision on
  void TakeUnasked(StoreRevision aAfter, const StoreChanges& aChanges);

  /// Applies from the next call on.
  void SetPace(Duration aInterval, std::chrono::milliseconds aWait)
  {
    this->settings.interval = aInterval;
    this->settings.wait = aWait;
  }

  /// True once all keys have been read.
  [[nodiscard]] bool IsComplete() const { return this->complete; }

  /// Start of the last call that brought the mirror up to date; unset before the first.
  [[nodiscard]] TimePoint UpToDateAt() const { return this->upToDateAt; }

  /// Revision of the store that the mirror has reached.
  [[nodiscard]] StoreRevision At() const { return this->at; }

private:
  Task<Result<Done, StoreFailure>> ReadOnce(TimePoint aStartedAt);
  Task<Result<Done, StoreFailure>> ReadAll(TimePoint aStartedAt);
  Task<Result<Done, StoreFailure>> ReadChanges(TimePoint aStartedAt);
  Task<> Wait(Duration aDuration);
  /// Changes that came unasked while a call was in progress are not delivered again.
  void Deliver(const StoreChanges& aChanges);
  void NoteFailure(StoreFailure aFailure);
  /// Tells the owner if a read shows that the store was restored.
  void NoteHistory(StoreRevision aAt);
  /// @param aAsOf when the store was asked for the answer
  void NoteAnswer(TimePoint aAsOf);

  boost::asio::steady_timer timer;
  ChangeFeed& feed;
  StoreMirrorSettings settings;
  StoreMirrorListener listener;
  StoreRevision at = 0;
  /// Highest history of which the owner was told, or the first one.
  std::optional<StoreHistory> history;
  bool needsAll = true;
  /// The last answer was the first part of what changed.
  bool hasMore = false;
  bool complete = false;
  bool lost = false;
  TimePoint upToDateAt{};
};

} // namespace toucanstand
