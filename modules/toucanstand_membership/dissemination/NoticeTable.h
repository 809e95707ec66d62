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

/// Most notices that are kept; further ones are ignored and counted.
inline constexpr std::size_t kMaximumActiveNotices = 4096;

/// Notices that hold now, and the queue that spreads them.
class NoticeTable
{
public:
  /// Records a notice. @returns true when it is new here or holds notably longer.
  bool Record(const Notice& aNotice, TimePoint aNow);

  /// Up to @p aMaxCount notices to send, each @p aMaxSends times overall.
  [[nodiscard]] std::vector<Notice> Take(std::size_t aMaxCount,
                                         std::size_t aMaxSends,
                                         TimePoint aNow);

  /// Notices of one kind that hold now, with the time that remains.
  [[nodiscard]] std::vector<Notice> Active(NoticeKind aKind, TimePoint aNow) const;

  /// Drops what has expired.
  void RemoveExpired(TimePoint aNow);

  [[nodiscard]] std::size_t IgnoredCount() const { return this->ignored; }

private:
  using Key = std::pair<NoticeKind, std::string>;

  std::map<Key, TimePoint> expiries;
  GossipQueue<Key, Key> queue{ kMaximumActiveNotices };
  std::size_t ignored = 0;
};

} // namespace toucanstand
