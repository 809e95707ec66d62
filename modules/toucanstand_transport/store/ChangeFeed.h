#pragma once

#include <optional>
#include <string>
#include <vector>

#include "store/PlatformStore.h"

namespace toucanstand {

/// A key that was written, or deleted when it has no value.
struct StoreChange
{
  std::string key;
  std::optional<std::string> value;
  StoreRevision revision = 0;
};

/// Changes in the order of their revisions.
struct StoreChanges
{
  std::vector<StoreChange> changes;
  /// Where to go on from.
  StoreRevision at = 0;
  /// Time since the store was asked, when the answer does not come from the store itself.
  Duration age{ 0 };
  /// There are further changes, which the next call brings.
  bool hasMore = false;
};

/// A part of the keys with a prefix. Successive pages are not one snapshot.
struct StorePage
{
  std::vector<StoredValue> items;
  bool hasMore = false;
  /// Revision of the store when the page was read.
  StoreRevision at = 0;
  /// Key after which the next page begins, also if its item is unreadable and not among
  /// the items; the key of the last item if empty.
  std::string lastKey = {};
};

/// Ordered changes of the keys with a prefix, for a process that keeps a copy of them.
class ChangeFeed
{
public:
  ChangeFeed() = default;
  ChangeFeed(const ChangeFeed&) = delete;
  ChangeFeed& operator=(const ChangeFeed&) = delete;
  virtual ~ChangeFeed() = default;

  /// Keys with the prefix that follow aAfterKey; from the first one when that is empty.
  virtual Task<Result<StorePage, StoreFailure>> ReadPage(std::string aPrefix,
                                                         std::string aAfterKey) = 0;

  /// Changes after a revision. Waits for the first one for at most aWait; none then.
  virtual Task<Result<StoreChanges, StoreFailure>> ReadChanges(
    std::string aPrefix,
    StoreRevision aAfter,
    std::chrono::milliseconds aWait) = 0;
};

} // namespace toucanstand
