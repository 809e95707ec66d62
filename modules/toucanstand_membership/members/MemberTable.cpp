#include "members/MemberTable.h"

#include <algorithm>

namespace toucanstand {

const char* Name(MemberState aState)
{
  switch (aState) {
    case MemberState::Alive:
      return "alive";
    case MemberState::Suspect:
      return "suspect";
    default:
      return "dead";
  }
}

MergeOutcome MemberTable::Merge(const MemberDelta& aDelta)
{
  auto* entry = this->Find(aDelta.vm.id);
  if (entry == nullptr) {
    return this->Insert(aDelta);
  }
  auto& known = entry->member;
  if (aDelta.incarnation < known.incarnation) {
    return MergeOutcome::Stale;
  }
  MemberDelta merged = aDelta;
  if (aDelta.incarnation == known.incarnation) {
    merged = known;
    merged.state = std::max(known.state, aDelta.state);
    merged.leaving = known.leaving || aDelta.leaving;
    if (merged == known) {
      return MergeOutcome::Stale;
    }
  }
  const bool wasAlive = known.state != MemberState::Dead;
  const bool isAlive = merged.state != MemberState::Dead;
  this->aliveCount += static_cast<std::size_t>(isAlive);
  this->aliveCount -= static_cast<std::size_t>(wasAlive);
  known = merged;
  return MergeOutcome::Changed;
}

MergeOutcome MemberTable::Insert(const MemberDelta& aDelta)
{
  // An unknown member that is reported dead needs no entry, because nothing on this node
  // refers to it.
  if (aDelta.state == MemberState::Dead) {
    return MergeOutcome::Stale;
  }
  if (this->entries.size() >= kMaximumMembers) {
    return MergeOutcome::Full;
  }
  this->entries.emplace(aDelta.vm.id, Entry{ aDelta, {} });
  ++this->aliveCount;
  return MergeOutcome::Changed;
}

void MemberTable::Remove(const VmId& aVm)
{
  if (this->IsAlive(aVm)) {
    --this->aliveCount;
  }
  this->entries.erase(aVm);
}

MemberTable::Entry* MemberTable::Find(const VmId& aVm)
{
  const auto found = this->entries.find(aVm);
  return found == this->entries.end() ? nullptr : &found->second;
}

const MemberTable::Entry* MemberTable::Find(const VmId& aVm) const
{
  const auto found = this->entries.find(aVm);
  return found == this->entries.end() ? nullptr : &found->second;
}

bool MemberTable::IsAlive(const VmId& aVm) const
{
  const auto* entry = this->Find(aVm);
  return entry != nullptr && entry->member.state != MemberState::Dead;
}

std::vector<VmId> MemberTable::AliveIds() const
{
  std::vector<VmId> ids;
  ids.reserve(this->aliveCount);
  for (const auto& [id, entry] : this->entries) {
    if (entry.member.state != MemberState::Dead) {
      ids.push_back(id);
    }
  }
  return ids;
}

} // namespace toucanstand
