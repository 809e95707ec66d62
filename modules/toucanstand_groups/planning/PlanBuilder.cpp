#include "planning/PlanBuilder.h"

#include <algorithm>
#include <map>
#include <unordered_set>
#include <utility>

namespace toucanstand {

PlanBuilder::PlanBuilder(const PlanningInput& aInput)
  : input(aInput)
{
  this->plan.record = aInput.record;
  for (const auto& server : aInput.servers) {
    this->servers.emplace(server.id, &server);
  }
  this->MarkSurplus();
  for (auto& entry : this->plan.record.groups) {
    this->UpdateState(entry);
  }
  std::erase_if(this->plan.record.groups, [this](const GroupEntry& aEntry) {
    return this->surplus.at(aEntry.group.id) && !this->IsBusy(aEntry);
  });
}

std::vector<PlanBuilder::BrokenGroup> PlanBuilder::BrokenGroups(
  const PoolTarget& aPool) const
{
  std::vector<BrokenGroup> brokenGroups;
  for (const auto& entry : this->plan.record.groups) {
    if (entry.group.pool != aPool.pool || !this->IsBroken(entry)) {
      continue;
    }
    BrokenGroup group{ entry.group.id, {} };
    std::ranges::copy_if(
      entry.group.members,
      std::back_inserter(group.survivors),
      [this](const ServerId& aServer) { return this->IsUsable(aServer); });
    brokenGroups.push_back(std::move(group));
  }
  return brokenGroups;
}

std::vector<ServerId> PlanBuilder::Spares(const PoolTarget& aPool) const
{
  std::unordered_set<ServerId> taken;
  for (const auto& entry : this->plan.record.groups) {
    taken.insert(entry.group.members.begin(), entry.group.members.end());
  }
  std::vector<ServerId> spares;
  for (const auto& server : this->input.servers) {
    if (server.pool == aPool.pool && this->IsUsable(server.id) &&
        !taken.contains(server.id)) {
      spares.push_back(server.id);
    }
  }
  return spares;
}

std::size_t PlanBuilder::MissingGroups(const PoolTarget& aPool) const
{
  const auto present = static_cast<std::size_t>(
    std::ranges::count_if(this->plan.record.groups, [&aPool](const auto& aEntry) {
      return aEntry.group.pool == aPool.pool;
    }));
  return aPool.wantedGroups > present ? aPool.wantedGroups - present : 0;
}

bool PlanBuilder::HoldsWeights(const ServerId& aServer) const
{
  const auto* server = this->Find(aServer);
  return server != nullptr && server->holdsWeights;
}

bool PlanBuilder::IsLoading() const
{
  return std::ranges::any_of(this->plan.record.groups, [this](const GroupEntry& aEntry) {
    return aEntry.state == GroupState::Forming && !this->IsBroken(aEntry) &&
           !std::ranges::all_of(aEntry.group.members, [this](const ServerId& aServer) {
             return this->HoldsWeights(aServer);
           });
  });
}

void PlanBuilder::Reform(const GroupId& aGroup,
                         const PoolTarget& aPool,
                         std::vector<ServerId> aMembers)
{
  auto& entry = this->GetEntry(aGroup);
  ++entry.group.generation;
  this->AssignMembers(entry, aPool, std::move(aMembers));
}

void PlanBuilder::Create(const PoolTarget& aPool, std::vector<ServerId> aMembers)
{
  auto& record = this->plan.record;
  GroupEntry entry;
  entry.group.id =
    GroupId(record.domain.Value() + "-" + std::to_string(record.nextGroup++));
  entry.group.generation = 1;
  entry.group.pool = aPool.pool;
  entry.group.domain = record.domain;
  entry.size = aPool.groupSize;
  this->AssignMembers(entry, aPool, std::move(aMembers));
  record.groups.push_back(std::move(entry));
}

void PlanBuilder::Dissolve(const GroupId& aGroup)
{
  std::erase_if(this->plan.record.groups, [&aGroup](const GroupEntry& aEntry) {
    return aEntry.group.id == aGroup;
  });
}

Plan PlanBuilder::Build() const
{
  Plan finished = this->plan;
  // An order keeps its fencing token only if its group still has the same generation.
  // Orders of new or re-formed groups get 0, which stands for the revision of the next
  // write.
  std::unordered_map<ServerId, std::int64_t> fences;
  for (const auto& order : this->input.record.orders) {
    fences.emplace(order.server, order.fence);
  }
  std::unordered_map<GroupId, Generation> generations;
  for (const auto& entry : this->input.record.groups) {
    generations.emplace(entry.group.id, entry.group.generation);
  }
  finished.record.orders.clear();
  for (const auto& entry : finished.record.groups) {
    if (entry.state != GroupState::Forming) {
      continue;
    }
    const auto before = generations.find(entry.group.id);
    const bool isSame =
      before != generations.end() && before->second == entry.group.generation;
    for (const auto& member : entry.group.members) {
      const auto fence = fences.find(member);
      finished.record.orders.push_back(
        { member, isSame && fence != fences.end() ? fence->second : 0 });
    }
  }
  return finished;
}

const PlannedServer* PlanBuilder::Find(const ServerId& aServer) const
{
  const auto found = this->servers.find(aServer);
  return found == this->servers.end() ? nullptr : found->second;
}

bool PlanBuilder::IsUsable(const ServerId& aServer) const
{
  const auto* server = this->Find(aServer);
  return server != nullptr && server->reachable && !server->leaving && server->accepting;
}

bool PlanBuilder::ReportsGroup(const ServerId& aServer, const ReplicaGroup& aGroup) const
{
  const auto* server = this->Find(aServer);
  return server != nullptr && server->group == aGroup.id &&
         server->generation == aGroup.generation;
}

bool PlanBuilder::IsBusy(const GroupEntry& aEntry) const
{
  // A group with a lost or restarted member can't finish its work, so it does not count
  // as busy.
  const auto isPresent = [this, &aEntry](const ServerId& aServer) {
    const auto* server = this->Find(aServer);
    return server != nullptr && server->reachable &&
           this->ReportsGroup(aServer, aEntry.group);
  };
  const auto isBusy = [this](const ServerId& aServer) {
    return this->Find(aServer)->busy;
  };
  return aEntry.state != GroupState::Forming &&
         std::ranges::all_of(aEntry.group.members, isPresent) &&
         std::ranges::any_of(aEntry.group.members, isBusy);
}

bool PlanBuilder::IsBroken(const GroupEntry& aEntry) const
{
  if (this->surplus.contains(aEntry.group.id) && this->surplus.at(aEntry.group.id)) {
    return false;
  }
  const auto isAvailable = [this, &aEntry](const ServerId& aServer) {
    return this->IsUsable(aServer) && (aEntry.state == GroupState::Forming ||
                                       this->ReportsGroup(aServer, aEntry.group));
  };
  return !std::ranges::all_of(aEntry.group.members, isAvailable) && !this->IsBusy(aEntry);
}

GroupEntry& PlanBuilder::GetEntry(const GroupId& aGroup)
{
  return *std::ranges::find(
    this->plan.record.groups, aGroup, [](const auto& aEntry) { return aEntry.group.id; });
}

void PlanBuilder::MarkSurplus()
{
  std::map<PoolId, std::vector<const GroupEntry*>> byPool;
  for (const auto& entry : this->plan.record.groups) {
    this->surplus[entry.group.id] = true;
    byPool[entry.group.pool].push_back(&entry);
  }
  for (const auto& pool : this->input.pools) {
    auto& groups = byPool[pool.pool];
    std::erase_if(groups,
                  [&pool](const auto* aEntry) { return aEntry->size != pool.groupSize; });
    // Groups with an unusable member become surplus before groups that can serve.
    std::ranges::stable_partition(groups, [this](const GroupEntry* aEntry) {
      return std::ranges::all_of(aEntry->group.members, [this](const ServerId& aServer) {
        return this->IsUsable(aServer);
      });
    });
    groups.resize(std::min(groups.size(), pool.wantedGroups));
    for (const auto* entry : groups) {
      this->surplus[entry->group.id] = false;
    }
  }
}

void PlanBuilder::UpdateState(GroupEntry& aEntry)
{
  const auto& members = aEntry.group.members;
  const bool isComplete = std::ranges::all_of(members, [&](const ServerId& aServer) {
    return this->IsUsable(aServer) && this->ReportsGroup(aServer, aEntry.group);
  });
  if (aEntry.state == GroupState::Forming) {
    aEntry.state = isComplete ? GroupState::Serving : GroupState::Forming;
    return;
  }
  const bool mustDrain =
    this->surplus.at(aEntry.group.id) ||
    std::ranges::any_of(members, [this](const ServerId& aServer) {
      const auto* server = this->Find(aServer);
      return server != nullptr && server->reachable && server->leaving;
    });
  aEntry.state = mustDrain ? GroupState::Draining : GroupState::Serving;
}

void PlanBuilder::AssignMembers(GroupEntry& aEntry,
                                const PoolTarget& aPool,
                                std::vector<ServerId> aMembers)
{
  for (const auto& member : aMembers) {
    this->plan.weightBytes += this->HoldsWeights(member) ? 0 : aPool.weightBytes;
  }
  std::ranges::sort(aMembers);
  aEntry.group.members = std::move(aMembers);
  aEntry.state = GroupState::Forming;
}

} // namespace toucanstand
