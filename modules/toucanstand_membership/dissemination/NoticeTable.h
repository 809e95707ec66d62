#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "dissemination/GossipQueue.h"
#include "messages/MembershipMessage.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Maximum number of notices in the table; further ones are ignored and counted.
inline constexpr std::size_t kMaximumActiveNotices = 4096;

/// Notices that have not expired, and the queue from which they are sent to other nodes.
class NoticeTable
{
public:
  /// Adds a notice or extends its lifetime, and queues it for sending.
  /// @returns false when it has expired, ends at most 10 s later than the known one, or
  /// when the table is full
  bool Record(const Notice& aNotice, TimePoint aNow);

  /// Returns up to @p aMaxCount notices to send; each is returned @p aMaxSends times.
  [[nodiscard]] std::vector<Notice> Take(std::size_t aMaxCount,
                                         std::size_t aMaxSends,
                                         TimePoint aNow);

  /// Notices of one kind that have not expired, with their remaining lifetimes.
  [[nodiscard]] std::vector<Notice> Active(NoticeKind aKind, TimePoint aNow) const;

  /// Removes the notices whose lifetime has ended.
  void RemoveExpired(TimePoint aNow);

  /// Number of notices that were ignored because the table was full.
  [[nodiscard]] std::size_t IgnoredCount() const { return this->ignored; }

private:
  using Key = std::pair<NoticeKind, std::string>;

  std::map<Key, TimePoint> expiries;
  GossipQueue<Key, Key> queue{ kMaximumActiveNotices };
  std::size_t ignored = 0;
};

} // namespace toucanstand
