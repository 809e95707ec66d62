#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "contracts/Contract.h"
#include "identifiers/Identifiers.h"

namespace toucanstand {

/// Requirements of one attempt on the candidate to be chosen.
struct RouteQuery
{
  PoolId pool;
  WorkClass workClass = WorkClass::Short;
  /// Fingerprint of the prompt prefix; set when requests with the same prefix benefit
  /// from the same candidate.
  std::optional<std::uint64_t> prefix;
  /// Ids of candidates that must not be chosen, such as those already tried.
  std::vector<std::string> excluded;
};

/// Why no candidate was chosen.
enum class RouteRefusal
{
  /// No view has contained the pool.
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
  /// The connection or the answer was interrupted.
  Broken,
  /// The attempt made no progress before its deadline.
  Slow,
  /// The caller gave up; the wait counts as a latency of the candidate only if it exceeds
  /// the pool's median.
  Abandoned,
  /// The connection went silent while the server answered on another one; does not count
  /// against the candidate.
  DeadConnection,
};

/// Names for metrics, logs and state dumps.
[[nodiscard]] const char* Name(RouteRefusal aRefusal);
[[nodiscard]] const char* Name(RouteOutcome aOutcome);

} // namespace toucanstand
