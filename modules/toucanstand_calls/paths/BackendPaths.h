#pragma once

#include <map>
#include <set>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "http/ConnectionPaths.h"
#include "random/Random.h"

namespace toucanstand {

/// Decides how this VM connects to backend servers: directly, or through another entry VM
/// when the network between this VM and the servers is partitioned.
///
/// A server that this VM can't connect to but a peer can is sound; the path to it is not.
/// When that holds for several servers and no direct connection succeeds, this VM is cut
/// off: it connects through peers only, and tries a direct connection from time to time.
class BackendPaths final : public ConnectionPaths
{
public:
  /// Servers reached only through peers that make this VM count as cut off.
  static constexpr std::size_t kServersToCutOff = 2;
  /// Servers that must accept direct connections again before this VM uses them.
  static constexpr std::size_t kServersToReconnect = 2;
  /// Evidence older than this is dropped, and a path that failed is tried again.
  static constexpr Duration kEvidenceLifetime = std::chrono::milliseconds(1500);
  /// A peer that did not help is not asked for this long.
  static constexpr Duration kProxyBackoff = std::chrono::milliseconds(1000);
  /// Interval of direct connections on trial while cut off.
  static constexpr Duration kTrialInterval = std::chrono::milliseconds(250);

  /// A peer that may forward connections.
  struct Proxy
  {
    Endpoint endpoint;
    /// Its share of the connections, relative to other peers.
    double weight = 1;
  };

  explicit BackendPaths(Random aRandom);

  void SetProxies(std::vector<Proxy> aProxies);

  [[nodiscard]] bool MayConnectDirectly(const Endpoint& aDestination,
                                        TimePoint aNow) override;
  void OnDirectConnect(const Endpoint& aDestination,
                       bool aConnected,
                       TimePoint aNow) override;
  [[nodiscard]] std::optional<Endpoint> NextProxy(const std::vector<Endpoint>& aTried,
                                                  TimePoint aStartedAt,
                                                  TimePoint aNow) override;
  void OnProxied(const Endpoint& aDestination,
                 const Endpoint& aProxy,
                 ProxyResult aResult,
                 TimePoint aNow) override;

  /// True while this VM reaches no server directly although peers do.
  [[nodiscard]] bool IsCutOff() const { return this->cutOff; }

  /// Returns whether to try a direct connection now; at most once per kTrialInterval.
  [[nodiscard]] bool TakeTrial(TimePoint aNow);

  /// True once a direct connection succeeded after the time: a failure at that time was
  /// not one of this VM's own network.
  [[nodiscard]] bool HasConnectedSince(TimePoint aTime) const
  {
    return this->connectedAt >= aTime;
  }

  [[nodiscard]] nlohmann::json Describe() const;

private:
  [[nodiscard]] const Proxy* PickWeighted(const std::vector<const Proxy*>& aProxies);

  Random random;
  std::vector<Proxy> proxies;
  /// Peers that did not help, with the time until which they are not asked.
  std::map<Endpoint, TimePoint> uselessProxies;
  /// Peers that connected to a server since this VM was cut off.
  std::set<Endpoint> usefulProxies;
  /// Servers that only a peer could connect to, with the time of the evidence.
  std::map<Endpoint, TimePoint> rescued;
  std::set<Endpoint> reconnected;
  TimePoint connectedAt{};
  TimePoint trialAt{};
  bool cutOff = false;
};

} // namespace toucanstand
