#pragma once

#include <optional>
#include <vector>

#include "network/Endpoint.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Result of asking a proxy for a connection to a destination.
enum class ProxyResult
{
  Connected,
  /// The proxy itself could not connect to the destination.
  DestinationRefused,
  DestinationTimedOut,
  /// The proxy did not answer, has no capacity, or reaches no destination.
  Unavailable,
};

/// Decides whether an HttpClient connects directly or through a proxy, and learns from
/// the results.
class ConnectionPaths
{
public:
  ConnectionPaths() = default;
  ConnectionPaths(const ConnectionPaths&) = delete;
  ConnectionPaths& operator=(const ConnectionPaths&) = delete;
  virtual ~ConnectionPaths() = default;

  /// False while direct connections to the destination are known to fail.
  [[nodiscard]] virtual bool MayConnectDirectly(const Endpoint& aDestination,
                                                TimePoint aNow) = 0;

  virtual void OnDirectConnect(const Endpoint& aDestination,
                               bool aConnected,
                               TimePoint aNow) = 0;

  /// Returns the proxy to try next; nothing if none is left, or if the failure of a
  /// direct connection that began at aStartedAt is the destination's own.
  [[nodiscard]] virtual std::optional<Endpoint> NextProxy(
    const std::vector<Endpoint>& aTried,
    TimePoint aStartedAt,
    TimePoint aNow) = 0;

  virtual void OnProxied(const Endpoint& aDestination,
                         const Endpoint& aProxy,
                         ProxyResult aResult,
                         TimePoint aNow) = 0;
};

} // namespace toucanstand
