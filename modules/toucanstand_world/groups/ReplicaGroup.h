#pragma once

#include <cstdint>
#include <vector>

#include "identifiers/Identifiers.h"

namespace toucanstand {

/// Counts the formations of a group; an engine reports which one it belongs to.
using Generation = std::uint64_t;

/// One replica of a model, spread over several backend servers of one fabric domain.
struct ReplicaGroup
{
  GroupId id;
  Generation generation = 0;
  PoolId pool;
  DomainId domain;
  /// The first member receives the requests.
  std::vector<ServerId> members;

  friend bool operator==(const ReplicaGroup&, const ReplicaGroup&) = default;
};

} // namespace toucanstand
