#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "contracts/Contract.h"
#include "identifiers/Identifiers.h"
#include "serving/EngineCostModel.h"
#include "time/BootClock.h"

namespace toucanstand {

/// What kind of call a route carries.
enum class CallKind
{
  /// One answer; may run any number of times.
  Idempotent,
  /// One answer; must run at most once.
  NonIdempotent,
  /// A stream of numbered events.
  Stream,
};

/// A pool that gets a share of a route's calls.
struct PoolShare
{
  PoolId pool;
  /// Relative to the other shares of the route.
  double weight = 1.0;
};

/// One route of the configuration in force.
struct ServingRoute
{
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string pathPrefix;
  CallKind kind = CallKind::NonIdempotent;
  /// Longest time that a call may be kept waiting for its final answer.
  Duration timeout = std::chrono::seconds(30);
  /// Time to the answer, or to the first event, within which it has its full value.
  Duration targetLatency = std::chrono::seconds(1);
  /// Longest pause between events of a stream that is still on time; zero if unset.
  Duration targetPause{ 0 };
  /// 0 is the most urgent.
  int priority = 0;
  std::vector<PoolShare> pools;
  /// Most backend servers to which one call may be sent.
  std::size_t mostServers = 1;
  /// Needs no client account.
  bool isPublic = false;
  /// A broken stream may be resumed after its last whole event.
  bool isResumable = false;

  /// Whether a call may run again after it may have run.
  [[nodiscard]] Repeatability MayRepeat() const;
};

/// One pool of the configuration in force.
struct ServingPool
{
  PoolId id;
  /// Connections that one server accepts from all clients together.
  std::size_t connectionLimit = 0;
  /// Set for pools of model engines.
  std::optional<EngineCostModel> engine;
  /// Time for which a server is cold after it has started.
  Duration coldStart{ 0 };
  /// Requests per second that a cold server tolerates; 0: servers are never cold.
  double coldRequestsPerSecond = 0;
  /// One of the two has a value that can't be meant, which counts as absent.
  bool areColdTermsUnreadable = false;
};

/// The client account that holds an API key.
struct KeyHolder
{
  AccountId account;
  /// Overrides the priority of the route.
  std::optional<int> priority;
};

/// Bounds on what callers may send.
struct CallerLimits
{
  std::size_t headerBytes = 16U << 10U;
  std::size_t bodyBytes = 4U << 20U;
  Duration headerTimeout = std::chrono::seconds(3);
  Duration idleTimeout = std::chrono::seconds(15);
};

/// One version of the operator's configuration, complete and valid.
class ServingConfiguration
{
public:
  ServingConfiguration() = default;
  ServingConfiguration(std::int64_t aVersion,
                       std::vector<ServingRoute> aRoutes,
                       std::vector<ServingPool> aPools,
                       std::optional<std::unordered_map<std::string, KeyHolder>> aKeys,
                       CallerLimits aLimits);

  [[nodiscard]] std::int64_t Version() const { return this->version; }
  [[nodiscard]] const CallerLimits& Limits() const { return this->limits; }
  [[nodiscard]] const std::vector<ServingPool>& Pools() const { return this->pools; }
  [[nodiscard]] std::size_t RouteCount() const { return this->routeCount; }

  /// The route of the host with the longest prefix that begins the path; null if none.
  [[nodiscard]] const ServingRoute* FindRoute(std::string_view aHost,
                                              std::string_view aPath) const;
  [[nodiscard]] const ServingPool* FindPool(const PoolId& aPool) const;

  /// Longest time that a call to the pool may take; zero if no route leads to it.
  [[nodiscard]] Duration LongestTimeoutOf(const PoolId& aPool) const;

  /// Whether a route sends the pool calls that can't go on at another server once they
  /// run.
  [[nodiscard]] bool HasUnmovableCalls(const PoolId& aPool) const
  {
    return this->poolsWithUnmovableCalls.contains(aPool);
  }

  /// The largest one-way delay between two zones that a pool's terms state.
  [[nodiscard]] Duration LargestZoneDelay() const;
  /// Delays between zones that can't be read.
  [[nodiscard]] std::size_t MalformedZoneDelays() const;

  /// True when calls of routes that are not public need an API key.
  [[nodiscard]] bool NeedsKeys() const { return this->keys.has_value(); }
  [[nodiscard]] const KeyHolder* FindKey(const std::string& aKey) const;

private:
  std::int64_t version = 0;
  /// By host; the longest prefix first.
  std::unordered_map<std::string, std::vector<ServingRoute>> routesByHost;
  std::vector<ServingPool> pools;
  std::unordered_map<PoolId, Duration> longestTimeouts;
  std::unordered_set<PoolId> poolsWithUnmovableCalls;
  std::optional<std::unordered_map<std::string, KeyHolder>> keys;
  CallerLimits limits;
  std::size_t routeCount = 0;
};

} // namespace toucanstand
