#include <catch2/catch.hpp>

#include "paths/BackendPaths.h"

using namespace toucanstand;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{ 1h };

Endpoint Server(int aNumber)
{
  return { "10.0.1." + std::to_string(aNumber), 80 };
}

Endpoint Peer(int aNumber)
{
  return { "10.0.2." + std::to_string(aNumber), 7340 };
}

void SetPeers(BackendPaths& aPaths, int aPeers)
{
  std::vector<BackendPaths::Proxy> proxies;
  for (int number = 1; number <= aPeers; ++number) {
    proxies.push_back({ Peer(number), 0.25 });
  }
  aPaths.SetProxies(std::move(proxies));
}

/// A direct connection fails and a peer connects.
void Rescue(BackendPaths& aPaths, int aServer, TimePoint aNow)
{
  aPaths.OnDirectConnect(Server(aServer), false, aNow);
  aPaths.OnProxied(Server(aServer), Peer(1), ProxyResult::Connected, aNow);
}

} // namespace

TEST_CASE("A VM is cut off when peers reach several servers that it does not", "[paths]")
{
  BackendPaths paths(Random(3));
  SetPeers(paths, 3);
  paths.OnDirectConnect(Server(9), true, kStart);
  Rescue(paths, 1, kStart + 200ms);
  CHECK_FALSE(paths.IsCutOff());
  CHECK_FALSE(paths.MayConnectDirectly(Server(1), kStart + 300ms));
  CHECK(paths.MayConnectDirectly(Server(2), kStart + 300ms));
  Rescue(paths, 2, kStart + 400ms);
  CHECK(paths.IsCutOff());
  CHECK_FALSE(paths.MayConnectDirectly(Server(3), kStart + 400ms));
  CHECK_FALSE(paths.HasConnectedSince(kStart + 1ms));
}

TEST_CASE("A sound server that is silent for a moment is no cut", "[paths]")
{
  BackendPaths paths(Random(3));
  SetPeers(paths, 3);
  // Others answered while the connection to this one was awaited.
  paths.OnDirectConnect(Server(2), true, kStart + 100ms);
  paths.OnDirectConnect(Server(1), false, kStart + 200ms);
  CHECK_FALSE(paths.NextProxy({}, kStart, kStart + 200ms).has_value());
  // Peers do not reach it either.
  CHECK(paths.NextProxy({}, kStart + 150ms, kStart + 350ms).has_value());
  paths.OnProxied(Server(1), Peer(1), ProxyResult::DestinationTimedOut, kStart + 600ms);
  paths.OnProxied(Server(1), Peer(2), ProxyResult::DestinationRefused, kStart + 600ms);
  CHECK_FALSE(paths.IsCutOff());
  CHECK(paths.MayConnectDirectly(Server(1), kStart + 600ms));
}

TEST_CASE("A VM that lost the paths to some servers reaches the others directly",
          "[paths]")
{
  BackendPaths paths(Random(3));
  SetPeers(paths, 3);
  Rescue(paths, 1, kStart);
  paths.OnDirectConnect(Server(3), true, kStart + 50ms);
  Rescue(paths, 2, kStart + 100ms);
  CHECK_FALSE(paths.IsCutOff());
  CHECK_FALSE(paths.MayConnectDirectly(Server(1), kStart + 200ms));
  CHECK(paths.MayConnectDirectly(Server(3), kStart + 200ms));
  CHECK(paths.MayConnectDirectly(Server(1),
                                 kStart + BackendPaths::kEvidenceLifetime + 100ms));
}

TEST_CASE("A cut ends only when several servers accept direct connections again",
          "[paths]")
{
  // Guards against a path that comes and goes.
  BackendPaths paths(Random(3));
  SetPeers(paths, 3);
  Rescue(paths, 1, kStart);
  Rescue(paths, 2, kStart);
  REQUIRE(paths.IsCutOff());
  CHECK(paths.TakeTrial(kStart + 300ms));
  CHECK_FALSE(paths.TakeTrial(kStart + 400ms));
  paths.OnDirectConnect(Server(1), true, kStart + 300ms);
  paths.OnDirectConnect(Server(2), false, kStart + 600ms);
  paths.OnDirectConnect(Server(3), true, kStart + 900ms);
  CHECK(paths.IsCutOff());
  paths.OnDirectConnect(Server(4), true, kStart + 1200ms);
  CHECK_FALSE(paths.IsCutOff());
  CHECK(paths.MayConnectDirectly(Server(1), kStart + 1200ms));
  CHECK_FALSE(paths.TakeTrial(kStart + 2s));
}

TEST_CASE("Peers that do not help are left out for a while", "[paths]")
{
  BackendPaths paths(Random(3));
  SetPeers(paths, 2);
  Rescue(paths, 1, kStart);
  paths.OnProxied(Server(1), Peer(2), ProxyResult::Unavailable, kStart);
  for (int draw = 0; draw < 20; ++draw) {
    CHECK(paths.NextProxy({}, kStart, kStart + 10ms) == Peer(1));
  }
  CHECK_FALSE(paths.NextProxy({ Peer(1) }, kStart, kStart + 10ms).has_value());
  paths.OnProxied(Server(1), Peer(1), ProxyResult::Unavailable, kStart + 20ms);
  CHECK_FALSE(paths.NextProxy({}, kStart, kStart + 30ms).has_value());
  const auto later = kStart + BackendPaths::kProxyBackoff + 20ms;
  CHECK(paths.NextProxy({}, kStart, later).has_value());
}

TEST_CASE("A VM without peers keeps trying direct connections", "[paths]")
{
  BackendPaths paths(Random(3));
  SetPeers(paths, 1);
  Rescue(paths, 1, kStart);
  Rescue(paths, 2, kStart);
  REQUIRE(paths.IsCutOff());
  paths.SetProxies({});
  CHECK(paths.MayConnectDirectly(Server(1), kStart));
  CHECK_FALSE(paths.NextProxy({}, kStart, kStart).has_value());
}
