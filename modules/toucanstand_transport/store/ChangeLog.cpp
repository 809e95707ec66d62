#include "store/ChangeLog.h"

#include <algorithm>

namespace toucanstand {

void ChangeLog::Restart(StoreRevision aAt)
{
  this->entries.clear();
  this->floor = aAt;
}

void ChangeLog::Note(const StoreChange& aChange, TimePoint aNow)
{
  while (!this->entries.empty() && aNow - this->entries.front().notedAt > kLife) {
    this->floor = std::max(*this->floor, this->entries.front().change.revision);
    this->entries.pop_front();
  }
  if (this->floor) {
    this->entries.push_back({ aChange, aNow });
  }
}

std::optional<std::vector<StoreChange>> ChangeLog::After(StoreRevision aAfter) const
{
  if (!this->floor || aAfter < *this->floor) {
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
