#pragma once

#include <cstddef>

#include "groups/ReplicaGroup.h"
#include "identifiers/Identifiers.h"

namespace toucanstand {

/// Requests that one entry VM has in progress on one replica group.
struct GroupLoad
{
  GroupId group;
  /// Requests that have not produced their first event, and their prompt tokens that are
  /// still to be prefilled.
  double prefillRequests = 0;
  double prefillTokens = 0;
  /// Requests that are producing output events.
  double decodeRequests = 0;
};

} // namespace toucanstand
