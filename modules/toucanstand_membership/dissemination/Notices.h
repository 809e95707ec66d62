#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "dissemination/Dissemination.h"
#include "messages/MembershipMessage.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Most notices that are kept; further ones are ignored and counted.
inline constexpr std::size_t kMaximumKnownNotices = 4096;

/// Notices that hold now, and the queue that spreads them.
class Notices
{
public:
  /// Records a notice. @returns true when it is new here or holds notably longer.
  bool Learn(const Notice& aNotice, TimePoint aNow);

  /// Up to @p aMaximum notices to send, each @p aSends times overall.
  [[nodiscard]] std::vector<Notice> Take(std::size_t aMaximum,
                                         std::size_t aSends,
                                         TimePoint aNow);

  /// Notices of one kind that hold now, with the time that remains.
  [[nodiscard]] std::vector<Notice> Held(NoticeKind aKind, TimePoint aNow) const;

  /// Drops what has expired.
  void Expire(TimePoint aNow);

  [[nodiscard]] std::size_t Ignored() const { return this->ignored; }

private:
  using Key = std::pair<NoticeKind, std::string>;

  std::map<Key, TimePoint> until;
  Dissemination<Key, Key> queue{ kMaximumKnownNotices };
  std::size_t ignored = 0;
};

} // namespace toucanstand
