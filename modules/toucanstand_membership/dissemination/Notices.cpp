#include "dissemination/Notices.h"

namespace toucanstand {

namespace {

// Each hop adds its latency to the end that a receiver computes. Without a tolerance two
// nodes would extend one notice for each other without end.
constexpr Duration kExtensionTolerance = std::chrono::seconds(10);

} // namespace

bool Notices::Learn(const Notice& aNotice, TimePoint aNow)
{
  if (aNotice.remaining <= Duration::zero()) {
    return false;
  }
  const Key key(aNotice.kind, aNotice.key);
  const auto end = aNow + aNotice.remaining;
  const auto known = this->until.find(key);
  if (known != this->until.end() && known->second > aNow &&
      end <= known->second + kExtensionTolerance) {
    return false;
  }
  if (known == this->until.end() && this->until.size() >= kMaximumKnownNotices) {
    ++this->ignored;
    return false;
  }
  this->until.insert_or_assign(key, end);
  this->queue.Put(key, key);
  return true;
}

std::vector<Notice> Notices::Take(std::size_t aMaximum,
                                  std::size_t aSends,
                                  TimePoint aNow)
{
  std::vector<Notice> notices;
  for (const auto& key : this->queue.Take(aMaximum, aSends)) {
    const auto held = this->until.find(key);
    if (held != this->until.end() && held->second > aNow) {
      notices.push_back({ key.first, key.second, held->second - aNow });
    }
  }
  return notices;
}

std::vector<Notice> Notices::Held(NoticeKind aKind, TimePoint aNow) const
{
  std::vector<Notice> notices;
  for (const auto& [key, end] : this->until) {
    if (key.first == aKind && end > aNow) {
      notices.push_back({ key.first, key.second, end - aNow });
    }
  }
  return notices;
}

void Notices::Expire(TimePoint aNow)
{
  std::erase_if(this->until, [aNow](const auto& aHeld) { return aHeld.second <= aNow; });
}

} // namespace toucanstand
