#pragma once

#include <map>
#include <vector>

#include "groups/ReplicaGroup.h"
#include "machines/PlatformList.h"
#include "observation/Observation.h"
#include "observation/WorldView.h"
#include "time/BootClock.h"

namespace toucanstand {

/// How long the report of a member permits its group to serve.
constexpr Duration kPermissionValidity = std::chrono::seconds(2);

/// How long a plain service may take requests after it was last observed. Longer than for
/// groups: a service has no members that could be missing, so an outdated observation is
/// harmless.
constexpr Duration kServiceRetention = std::chrono::seconds(30);

/// Returns the destinations that may take requests now.
///
/// A group is included only while every member is reachable, is not leaving and has
/// reported exactly this group and generation less than kPermissionValidity ago. An
/// observation holds one group, so no server can be in two candidates. Members other than
/// the first may be missing from the platform's list, which lags behind; the first must
/// be listed, because its endpoint is taken from the list.
[[nodiscard]] std::vector<Candidate> PermittedCandidates(
  const std::vector<ReplicaGroup>& aGroups,
  const std::map<ServerId, Observation>& aObservations,
  const PlatformList& aList,
  TimePoint aNow);

/// Reconstructs the current groups from observations while the store can't be read.
///
/// Starts from the last known groups. If servers of the same domain and pool report a
/// newer generation of a known group, and exactly as many as the group has members, they
/// become its members. This is safe because a generation always has the same list of
/// members, in ascending order.
[[nodiscard]] std::vector<ReplicaGroup> DeriveGroups(
  const std::vector<ReplicaGroup>& aLastKnown,
  const std::map<ServerId, Observation>& aObservations,
  const PlatformList& aList);

} // namespace toucanstand
