#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <map>
#include <utility>
#include <vector>

namespace toucanstand {

/// Number of times that each node must send a delta so that it reaches all members of a
/// fleet of n VMs with high probability: about 3 log2 n.
[[nodiscard]] inline std::size_t TransmitLimit(std::size_t aMembers)
{
  return static_cast<std::size_t>(
    std::ceil(3.0 * std::log2(static_cast<double>(aMembers) + 1.0)));
}

/// Queue of items that are piggybacked on messages, each a bounded number of times.
///
/// A newer item with the same key replaces the older one and resets its send count.
template<typename Key, typename Item>
class GossipQueue
{
public:
  /// @param aMaxItems capacity; when it is exceeded, the item with the highest send
  /// count is dropped
  explicit GossipQueue(std::size_t aMaxItems)
    : maxItems(aMaxItems)
  {
  }

  void Put(const Key& aKey, Item aItem)
  {
    this->entries.insert_or_assign(aKey, Entry{ std::move(aItem), 0 });
    if (this->entries.size() > this->maxItems) {
      this->entries.erase(std::ranges::max_element(
        this->entries, {}, [](const auto& aEntry) { return aEntry.second.sendCount; }));
    }
  }

  void Remove(const Key& aKey) { this->entries.erase(aKey); }

  /// Returns up to @p aMaxCount items, those with the lowest send counts first, and
  /// counts one send of each. An item that was sent @p aMaxSends times is removed.
  [[nodiscard]] std::vector<Item> Take(std::size_t aMaxCount, std::size_t aMaxSends)
  {
    std::vector<typename Entries::iterator> order;
    order.reserve(this->entries.size());
    for (auto entry = this->entries.begin(); entry != this->entries.end(); ++entry) {
      order.push_back(entry);
    }
    const std::size_t count = std::min(aMaxCount, order.size());
    std::ranges::partial_sort(
      order, order.begin() + static_cast<long>(count), {}, [](const auto& aEntry) {
        return aEntry->second.sendCount;
      });
    std::vector<Item> items;
    items.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
      const auto entry = order[index];
      items.push_back(entry->second.item);
      if (++entry->second.sendCount >= aMaxSends) {
        this->entries.erase(entry);
      }
    }
    return items;
  }

  [[nodiscard]] std::size_t Size() const { return this->entries.size(); }

private:
  struct Entry
  {
    Item item;
    std::size_t sendCount = 0;
  };
  using Entries = std::map<Key, Entry>;

  std::size_t maxItems;
  Entries entries;
};

} // namespace toucanstand
