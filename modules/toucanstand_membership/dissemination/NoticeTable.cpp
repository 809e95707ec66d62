#include "dissemination/NoticeTable.h"

namespace toucanstand {

namespace {

// A receiver computes the expiry from the remaining lifetime in the message, so that each
// hop delays the expiry by the network latency. Without a tolerance two nodes would keep
// extending a notice by sending it to each other, and it would never expire.
constexpr Duration kExtensionTolerance = std::chrono::seconds(10);

} // namespace

bool NoticeTable::Record(const Notice& aNotice, TimePoint aNow)
{
  if (aNotice.remaining <= Duration::zero()) {
    return false;
  }
  const Key key(aNotice.kind, aNotice.key);
  const auto end = aNow + aNotice.remaining;
  const auto known = this->expiries.find(key);
  if (known != this->expiries.end() && known->second > aNow &&
      end <= known->second + kExtensionTolerance) {
    return false;
  }
  if (known == this->expiries.end() && this->expiries.size() >= kMaximumActiveNotices) {
    ++this->ignored;
    return false;
  }
  this->expiries.insert_or_assign(key, end);
  this->queue.Put(key, key);
  return true;
}

std::vector<Notice> NoticeTable::Take(std::size_t aMaxCount,
                                      std::size_t aMaxSends,
                                      TimePoint aNow)
{
  std::vector<Notice> notices;
  for (const auto& key : this->queue.Take(aMaxCount, aMaxSends)) {
    const auto notice = this->expiries.find(key);
    if (notice != this->expiries.end() && notice->second > aNow) {
      notices.push_back({ key.first, key.second, notice->second - aNow });
    }
  }
  return notices;
}

std::vector<Notice> NoticeTable::Active(NoticeKind aKind, TimePoint aNow) const
{
  std::vector<Notice> notices;
  for (const auto& [key, end] : this->expiries) {
    if (key.first == aKind && end > aNow) {
      notices.push_back({ key.first, key.second, end - aNow });
    }
  }
  return notices;
}

void NoticeTable::RemoveExpired(TimePoint aNow)
{
  std::erase_if(this->expiries,
                [aNow](const auto& aEntry) { return aEntry.second <= aNow; });
}

} // namespace toucanstand
