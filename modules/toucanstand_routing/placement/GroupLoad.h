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
  double reading = 0;
  double readingTokens = 0;
  /// Requests whose events are arriving.
  double writing = 0;
};

} // namespace toucanstand
