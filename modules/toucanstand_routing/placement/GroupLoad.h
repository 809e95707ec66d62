#pragma once

#include <cstddef>

#include "groups/ReplicaGroup.h"
#include "identifiers/Identifiers.h"

namespace toucanstand {

/// Requests of one entry VM that are in progress on one replica group.
struct GroupLoad
{
  GroupId group;
  /// Requests without a first event yet, and the tokens of their prompts.
  double prefillRequests = 0;
  double prefillTokens = 0;
  /// Requests whose events are arriving.
  double decodeRequests = 0;
};

} // namespace toucanstand
