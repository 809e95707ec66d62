#include "dissemination/NoticeTable.h"

namespace toucanstand {

namespace {

// Each hop adds its latency to the end that a receiver computes. Without a tolerance two
// nodes would extend one notice for each other without end.
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
    const auto held = this->expiries.find(key);
    if (held != this->expiries.end() && held->second > aNow) {
      notices.push_back({ key.first, key.second, held->second - aNow });
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
                [aNow](const auto& aHeld) { return aHeld.second <= aNow; });
}

} // namespace toucanstand
