#include "permission/ServingPermission.h"

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace toucanstand {

namespace {

using ServerIndex = std::unordered_map<ServerId, const BackendServer*>;

ServerIndex IndexOf(const PlatformList& aList)
{
  ServerIndex index;
  for (const auto& server : aList.servers) {
    index.emplace(server.id, &server);
  }
  return index;
}

const BackendServer* Find(const ServerIndex& aIndex, const ServerId& aServer)
{
  const auto found = aIndex.find(aServer);
  return found == aIndex.end() ? nullptr : found->second;
}

/// Returns the server's observation if it is recent and the server is reachable and not
/// leaving; null otherwise.
const Observation* UsableObservation(const std::map<ServerId, Observation>& aObservations,
                                     const ServerIndex& aIndex,
                                     const ServerId& aServer,
                                     Duration aValidity,
                                     TimePoint aNow)
{
  const auto found = aObservations.find(aServer);
  if (found == aObservations.end() || !found->second.reachable || found->second.leaving ||
      aNow - found->second.observedAt >= aValidity) {
    return nullptr;
  }
  const auto* server = Find(aIndex, aServer);
  return server != nullptr && server->leaving ? nullptr : &found->second;
}

Candidate CandidateOf(const BackendServer& aServer, const Observation& aObservation)
{
  Candidate candidate;
  candidate.pool = aServer.pool;
  candidate.zone = aServer.zone;
  candidate.server = aServer.id;
  candidate.endpoint = aServer.endpoint;
  candidate.load = aObservation.load;
  return candidate;
}

std::optional<Candidate> EvaluateGroup(
  const ReplicaGroup& aGroup,
  const std::map<ServerId, Observation>& aObservations,
  const ServerIndex& aIndex,
  TimePoint aNow)
{
  // Starts at the current time, so that an observation time ahead of the clock does not
  // extend the permission.
  TimePoint oldest = aNow;
  for (const auto& member : aGroup.members) {
    const auto* observation =
      UsableObservation(aObservations, aIndex, member, kPermissionValidity, aNow);
    if (observation == nullptr || observation->group != aGroup.id ||
        observation->generation != aGroup.generation) {
      return std::nullopt;
    }
    oldest = std::min(oldest, observation->observedAt);
  }
  const auto* first =
    aGroup.members.empty() ? nullptr : Find(aIndex, aGroup.members.front());
  if (first == nullptr) {
    return std::nullopt;
  }
  Candidate candidate = CandidateOf(*first, aObservations.at(first->id));
  candidate.id = aGroup.id.Value();
  candidate.pool = aGroup.pool;
  candidate.generation = aGroup.generation;
  candidate.members = aGroup.members;
  candidate.usableUntil = oldest + kPermissionValidity;
  return candidate;
}

} // namespace

std::vector<Candidate> PermittedCandidates(
  const std::vector<ReplicaGroup>& aGroups,
  const std::map<ServerId, Observation>& aObservations,
  const PlatformList& aList,
  TimePoint aNow)
{
  const auto index = IndexOf(aList);
  std::vector<Candidate> candidates;
  // The list of groups may contain the same group twice.
  std::unordered_set<GroupId> seen;
  for (const auto& group : aGroups) {
    auto candidate = EvaluateGroup(group, aObservations, index, aNow);
    if (candidate && seen.insert(group.id).second) {
      candidates.push_back(std::move(*candidate));
    }
  }
  for (const auto& server : aList.servers) {
    if (server.kind != ServerKind::Service) {
      continue;
    }
    const auto* observation =
      UsableObservation(aObservations, index, server.id, kServiceRetention, aNow);
    if (observation == nullptr) {
      continue;
    }
    Candidate candidate = CandidateOf(server, *observation);
    candidate.id = server.id.Value();
    candidate.members = { server.id };
    candidate.usableUntil = std::min(observation->observedAt, aNow) + kServiceRetention;
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

std::vector<ReplicaGroup> DeriveGroups(
  const std::vector<ReplicaGroup>& aLastKnown,
  const std::map<ServerId, Observation>& aObservations,
  const PlatformList& aList)
{
  const auto index = IndexOf(aList);
  std::map<std::pair<GroupId, Generation>, std::vector<ServerId>> reported;
  for (const auto& [server, observation] : aObservations) {
    if (observation.reachable && !observation.group.IsEmpty()) {
      reported[{ observation.group, observation.generation }].push_back(server);
    }
  }
  std::vector<ReplicaGroup> groups = aLastKnown;
  for (auto& group : groups) {
    const auto size = group.members.size();
    for (auto found = reported.upper_bound({ group.id, group.generation });
         found != reported.end() && found->first.first == group.id;
         ++found) {
      const auto inGroup = [&index, &group](const ServerId& aServer) {
        const auto* server = Find(index, aServer);
        return server != nullptr && server->domain == group.domain &&
               server->pool == group.pool;
      };
      if (found->second.size() == size && std::ranges::all_of(found->second, inGroup)) {
        group.generation = found->first.second;
        group.members = found->second;
      }
    }
  }
  return groups;
}

} // namespace toucanstand
