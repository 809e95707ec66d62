#pragma once

#include <map>
#include <vector>

#include "groups/ReplicaGroup.h"
#include "machines/PlatformList.h"
#include "observation/Observation.h"
#include "observation/WorldView.h"
#include "time/BootClock.h"

namespace toucanstand {

/// How long a report of a member lets its group serve.
constexpr Duration kPermissionValidity = std::chrono::seconds(2);

/// How long a plain service is used after it was last seen. Longer than for groups: a
/// service has no members that could be missing, so old knowledge does no harm.
constexpr Duration kServiceRetention = std::chrono::seconds(30);

/// The destinations that may take requests now.
///
/// A group is among them only while every member is reachable, is not leaving and has
/// reported exactly this group and generation less than kPermissionValidity ago. An
/// observation holds one group, so no server can be in two candidates. Members that only
/// the platform's list lacks do not matter, because the list lags; the first member must
/// be listed for its endpoint.
[[nodiscard]] std::vector<Candidate> PermittedCandidates(
  const std::vector<ReplicaGroup>& aGroups,
  const std::map<ServerId, Observation>& aObservations,
  const PlatformList& aList,
  TimePoint aNow);

/// Groups to evaluate while the store can't be read.
///
/// Starts from the last known groups. Where servers of one domain report a newer
/// generation of a known group, as many as the group has members, these servers are the
/// group: a generation belongs to one list of members, in ascending order.
[[nodiscard]] std::vector<ReplicaGroup> DeriveGroups(
  const std::vector<ReplicaGroup>& aLastKnown,
  const std::map<ServerId, Observation>& aObservations,
  const PlatformList& aList);

} // namespace toucanstand
