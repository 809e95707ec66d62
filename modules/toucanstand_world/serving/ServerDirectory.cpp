#include "serving/ServerDirectory.h"

#include <algorithm>
#include <ranges>

#include <nlohmann/json.hpp>

namespace toucanstand {

const ServerEntry* ObservedGroup::Head() const
{
  const auto found = std::ranges::find_if(this->members, [](const ServerEntry* aMember) {
    return aMember->membership->rank == 0;
  });
  return found == this->members.end() ? nullptr : *found;
}

bool ServerDirectory::Put(ServerEntry aEntry)
{
  const bool restored = this->removals.Cancel(aEntry.id);
  this->unregisteredMembers.erase(aEntry.id);
  auto& known = this->servers[aEntry.id];
  // Leaving is final for one run of a server: an older entry may be written late.
  const bool sameRun = known.startedAtUnixMs == aEntry.startedAtUnixMs;
  const bool isOutdated = sameRun && aEntry.startedAtUnixMs != 0 &&
                          aEntry.sequence.number < known.sequence.number;
  if (isOutdated) {
    this->outdatedInStore.insert(aEntry.id);
    return true;
  }
  const bool isRenewed = this->outdatedInStore.erase(aEntry.id) > 0;
  aEntry.leaving =
    aEntry.leaving || (sameRun && known.leaving) || this->SaidThatItLeaves(aEntry);
  if (known == aEntry) {
    // Others have to learn of each cold time, and of its end.
    const bool isNews = known.coldTime.IsCold() || aEntry.coldTime.IsCold();
    known.sequence = aEntry.sequence;
    known.coldTime = aEntry.coldTime;
    return restored || isRenewed || isNews;
  }
  known = std::move(aEntry);
  ++this->revision;
  return true;
}

void ServerDirectory::Remove(const ServerId& aServer, TimePoint aNow)
{
  const auto* known = this->Find(aServer);
  if (known == nullptr || (!known->leaving && this->removals.Defer(aServer, aNow))) {
    return;
  }
  this->removals.Cancel(aServer);
  this->RemoveNow(aServer);
}

bool ServerDirectory::MarkLeaving(const ServerRun& aRun)
{
  auto& leaving = this->leavingRuns[aRun.server];
  if (aRun.startedAtUnixMs < leaving.startedAtUnixMs) {
    return false; // A late answer of an earlier run.
  }
  leaving.startedAtUnixMs = aRun.startedAtUnixMs;
  const auto known = this->servers.find(aRun.server);
  if (known == this->servers.end() || known->second.leaving ||
      !this->SaidThatItLeaves(known->second)) {
    return false;
  }
  known->second.leaving = true;
  ++this->revision;
  return true;
}

ServerRun ServerDirectory::RunOf(const ServerId& aServer) const
{
  const auto* known = this->Find(aServer);
  return { aServer, known == nullptr ? 0 : known->startedAtUnixMs };
}

bool ServerDirectory::SaidThatItLeaves(const ServerEntry& aEntry) const
{
  const auto found = this->leavingRuns.find(aEntry.id);
  return found != this->leavingRuns.end() &&
         found->second.startedAtUnixMs == aEntry.startedAtUnixMs;
}

void ServerDirectory::OnStoreBack(TimePoint aNow)
{
  this->removals.BeginGrace(aNow + kReturnGrace);
}

void ServerDirectory::OnTime(TimePoint aNow)
{
  for (const auto& server : this->removals.TakeDue(aNow)) {
    this->RemoveNow(server);
  }
  this->ForgetUnregisteredMembers();
  for (auto& [server, run] : this->leavingRuns) {
    if (this->Find(server) != nullptr || run.lastRegisteredAt == TimePoint{}) {
      run.lastRegisteredAt = aNow;
    }
  }
  std::erase_if(this->leavingRuns, [&](const auto& aLeaving) {
    const auto& [server, run] = aLeaving;
    if (const auto* entry = this->Find(server)) {
      return entry->startedAtUnixMs > run.startedAtUnixMs;
    }
    // A run without a known start can't be told from the next one.
    return run.startedAtUnixMs == 0 || aNow - run.lastRegisteredAt > kLeavingRetention;
  });
}

void ServerDirectory::RemoveNow(const ServerId& aServer)
{
  this->outdatedInStore.erase(aServer);
  const auto known = this->servers.find(aServer);
  if (known != this->servers.end() && known->second.membership &&
      !known->second.leaving) {
    this->unregisteredMembers[aServer] = std::move(known->second);
  }
  this->servers.erase(aServer);
  ++this->revision;
}

void ServerDirectory::ForgetUnregisteredMembers()
{
  std::erase_if(this->unregisteredMembers, [this](const auto& aMember) {
    const auto& group = aMember.second.membership->group;
    return std::ranges::none_of(
      this->servers | std::views::values, [&group](const ServerEntry& aEntry) {
        return aEntry.membership && aEntry.membership->group == group;
      });
  });
}

const ServerEntry* ServerDirectory::Find(const ServerId& aServer) const
{
  const auto found = this->servers.find(aServer);
  return found == this->servers.end() ? nullptr : &found->second;
}

std::map<GroupId, ObservedGroup> ServerDirectory::GroupsOf(const PoolId& aPool) const
{
  std::map<GroupId, ObservedGroup> groups;
  for (const auto& entry : this->servers | std::views::values) {
    if (entry.pool != aPool || !entry.membership) {
      continue;
    }
    auto& group = groups[entry.membership->group];
    group.id = entry.membership->group;
    group.generation = std::max(group.generation, entry.membership->generation);
    group.members.push_back(&entry);
  }
  for (const auto& entry : this->unregisteredMembers | std::views::values) {
    const auto group = groups.find(entry.membership->group);
    if (group != groups.end() && entry.pool == aPool &&
        entry.membership->generation == group->second.generation) {
      group->second.unregisteredMembers.push_back(&entry);
    }
  }
  for (auto& group : groups | std::views::values) {
    std::ranges::sort(group.members, {}, [](const ServerEntry* aMember) {
      return aMember->membership->rank;
    });
  }
  return groups;
}

nlohmann::json ServerDirectory::Describe() const
{
  nlohmann::json list = nlohmann::json::array();
  for (const auto& entry : this->servers | std::views::values) {
    nlohmann::json item = {
      { "id", entry.id.Value() },     { "pool", entry.pool.Value() },
      { "zone", entry.zone.Value() }, { "domain", entry.domain.Value() },
      { "leaving", entry.leaving },   { "staged", entry.stagedModels }
    };
    if (entry.membership) {
      item["group"] = { { "id", entry.membership->group.Value() },
                        { "generation", entry.membership->generation },
                        { "rank", entry.membership->rank },
                        { "state", Name(entry.membership->state) } };
    }
    list.push_back(std::move(item));
  }
  return list;
}

} // namespace toucanstand
