#include "store/ChangeLog.h"

#include <algorithm>

namespace toucanstand {

void ChangeLog::Restart(StoreRevision aAt)
{
  this->entries.clear();
  this->gaps.clear();
  this->floor = aAt;
}

void ChangeLog::Note(const StoreChange& aChange, TimePoint aNow)
{
  while (!this->entries.empty() && aNow - this->entries.front().notedAt > kLife) {
    this->floor = std::max(*this->floor, this->entries.front().change.revision);
    this->entries.pop_front();
  }
  std::erase_if(this->gaps, [this](const Gap& aGap) { return aGap.to <= this->floor; });
  if (this->floor) {
    this->entries.push_back({ aChange, aNow });
  }
}

void ChangeLog::NoteFullRead(StoreRevision aFrom, StoreRevision aTo)
{
  this->gaps.push_back({ aFrom, aTo });
}

std::optional<std::vector<StoreChange>> ChangeLog::After(StoreRevision aAfter) const
{
  const bool isInGap = std::ranges::any_of(this->gaps, [aAfter](const Gap& aGap) {
    return aAfter > aGap.from && aAfter < aGap.to;
  });
  if (!this->floor || aAfter < *this->floor || isInGap) {
    return std::nullopt;
  }
  std::vector<StoreChange> changes;
  for (const auto& entry : this->entries) {
    if (entry.change.revision > aAfter) {
      changes.push_back(entry.change);
    }
  }
  return changes;
}

StoreRevision ChangeLog::LastRevision() const
{
  return this->entries.empty() ? 0 : this->entries.back().change.revision;
}

} // namespace toucanstand
