#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "contracts/Contract.h"
#include "identifiers/Identifiers.h"

namespace toucanstand {

/// What one attempt asks of a Router.
struct RouteQuery
{
  PoolId pool;
  WorkClass workClass = WorkClass::Short;
  /// Fingerprint of the prompt prefix, when requests with it benefit from one candidate.
  std::optional<std::uint64_t> prefix;
  /// Ids of candidates that must not be chosen, for example those already tried.
  std::vector<std::string> excluded;
};

/// Why no candidate was chosen.
enum class RouteRefusal
{
  /// No view has named the pool.
  UnknownPool,
  /// No candidate of the pool is usable.
  NoCandidate,
  /// Usable candidates exist, but the query excludes all of them.
  AllExcluded,
  /// This node is isolated and refuses new work.
  Isolated,
};

/// How an attempt on a candidate ended.
enum class RouteOutcome
{
  /// A complete answer.
  Answered,
  /// The candidate rejected the request, for example because it is overloaded.
  Refused,
  /// The connection was not established.
  ConnectFailed,
  /// The connection or the answer broke off.
  Broken,
  /// The progress deadline passed.
  Slow,
  /// The caller gave up; counts against the candidate only if that took unusually long.
  Abandoned,
  /// The connection went silent while the server answered on another one; says nothing
  /// about the candidate.
  DeadConnection,
};

/// Names for metrics, logs and state dumps.
[[nodiscard]] const char* Name(RouteRefusal aRefusal);
[[nodiscard]] const char* Name(RouteOutcome aOutcome);

} // namespace toucanstand
