#include "store/StoreMirror.h"

#include <algorithm>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace toucanstand {

StoreMirror::StoreMirror(boost::asio::io_context& aLoop,
                         ChangeFeed& aFeed,
                         StoreMirrorSettings aSettings,
                         StoreMirrorListener aListener)
  : timer(aLoop)
  , feed(aFeed)
  , settings(std::move(aSettings))
  , listener(std::move(aListener))
{
}

Task<> StoreMirror::Run()
{
  while (true) {
    const auto startedAt = BootClock::now();
    const auto result = co_await this->ReadOnce(startedAt);
    if (!result) {
      this->NoteFailure(result.LastReason());
    }
    const Duration pause = result
                             ? this->settings.interval - (BootClock::now() - startedAt)
                             : this->settings.retryPause;
    if (!result || !this->hasMore) {
      co_await this->Wait(pause);
    }
  }
}

void StoreMirror::TakeUnasked(StoreRevision aAfter, const StoreChanges& aChanges)
{
  if (!this->needsAll && aAfter <= this->at) {
    this->Deliver(aChanges);
  }
}

void StoreMirror::Deliver(const StoreChanges& aChanges)
{
  this->NoteHistory(aChanges.at);
  for (const auto& change : aChanges.changes) {
    if (change.revision > this->at) {
      this->listener.onChange(change);
    }
  }
  this->at = std::max(this->at, aChanges.at);
  this->listener.onAdvanced();
}

Task<Result<Done, StoreFailure>> StoreMirror::ReadOnce(TimePoint aStartedAt)
{
  if (this->needsAll) {
    co_return co_await this->ReadAll(aStartedAt);
  }
  co_return co_await this->ReadChanges(aStartedAt);
}

Task<Result<Done, StoreFailure>> StoreMirror::ReadAll(TimePoint aStartedAt)
{
  std::vector<std::string> keys;
  StoreRevision firstAt = 0;
  std::string after;
  bool more = true;
  while (more) {
    auto page = co_await this->feed.ReadPage(this->settings.prefix, after);
    if (!page) {
      co_return page.LastReason();
    }
    this->NoteAnswer(aStartedAt);
    this->NoteHistory(page->at);
    if (IsFromLaterHistory(page->at, firstAt)) {
      co_return StoreFailure::HistoryLost;
    }
    // Changes after the first page are read again by ReadChanges(), because the pages
    // are not one snapshot.
    firstAt = firstAt == 0 ? page->at : firstAt;
    for (auto& item : page->items) {
      keys.push_back(item.key);
      this->listener.onChange({ item.key, std::move(item.value), item.modRevision });
    }
    std::string lastKey = std::move(page->lastKey);
    if (lastKey.empty() && !page->items.empty()) {
      lastKey = keys.back();
    }
    // A page that brings no later key would be read again and again.
    more = page->hasMore && lastKey > after;
    after = std::max(after, lastKey);
  }
  const auto previous = std::exchange(this->at, firstAt);
  this->needsAll = false;
  this->complete = true;
  this->listener.onReadAll(keys, previous);
  co_return Done{};
}

Task<Result<Done, StoreFailure>> StoreMirror::ReadChanges(TimePoint aStartedAt)
{
  auto changes =
    co_await this->feed.ReadChanges(this->settings.prefix, this->at, this->settings.wait);
  if (!changes) {
    this->needsAll = changes.LastReason() == StoreFailure::HistoryLost;
    co_return changes.LastReason();
  }
  this->hasMore = changes->hasMore;
  if (!this->hasMore) {
    // The owner hears of the end of an outage before it hears what the outage removed.
    this->NoteAnswer(aStartedAt - changes->age);
  }
  this->Deliver(*changes);
  co_return Done{};
}

Task<> StoreMirror::Wait(Duration aDuration)
{
  if (aDuration <= Duration::zero()) {
    co_return;
  }
  this->timer.expires_after(aDuration);
  co_await this->timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

void StoreMirror::NoteHistory(StoreRevision aAt)
{
  const auto current = HistoryOf(aAt);
  const bool isRestored = this->history && current > *this->history;
  this->history = std::max(current, this->history.value_or(current));
  if (isRestored) {
    this->listener.onRestored(current);
  }
}

void StoreMirror::NoteFailure(StoreFailure aFailure)
{
  // A lost history is the answer of a store that works.
  if (this->lost || aFailure == StoreFailure::HistoryLost) {
    return;
  }
  this->lost = true;
  this->listener.onLost(aFailure);
}

void StoreMirror::NoteAnswer(TimePoint aAsOf)
{
  const auto previous = this->upToDateAt;
  this->upToDateAt = std::max(previous, aAsOf);
  if (std::exchange(this->lost, false) && previous != TimePoint{}) {
    this->listener.onRegained(this->upToDateAt - previous);
  }
}

} // namespace toucanstand
