#include "paths/BackendPaths.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <ranges>

#include <nlohmann/json.hpp>

namespace toucanstand {

BackendPaths::BackendPaths(Random aRandom)
  : random(aRandom)
{
}

void BackendPaths::SetProxies(std::vector<Proxy> aProxies)
{
  this->proxies = std::move(aProxies);
}

bool BackendPaths::MayConnectDirectly(const Endpoint& aDestination, TimePoint aNow)
{
  if (this->cutOff) {
    return this->proxies.empty();
  }
  const auto found = this->rescued.find(aDestination);
  return found == this->rescued.end() || aNow - found->second > kEvidenceLifetime;
}

void BackendPaths::OnDirectConnect(const Endpoint& aDestination,
                                   bool aConnected,
                                   TimePoint aNow)
{
  if (!aConnected) {
    this->reconnected.clear();
    return;
  }
  this->connectedAt = aNow;
  this->rescued.erase(aDestination);
  if (!this->cutOff) {
    return;
  }
  this->reconnected.insert(aDestination);
  if (this->reconnected.size() >= kServersToReconnect) {
    this->cutOff = false;
    this->rescued.clear();
    this->usefulProxies.clear();
  }
}

std::optional<Endpoint> BackendPaths::NextProxy(const std::vector<Endpoint>& aTried,
                                                TimePoint aStartedAt,
                                                TimePoint aNow)
{
  // This VM reached other servers meanwhile, so this one does not answer anybody.
  if (!this->cutOff && this->connectedAt > aStartedAt) {
    return std::nullopt;
  }
  std::erase_if(this->uselessProxies,
                [aNow](const auto& aUseless) { return aNow >= aUseless.second; });
  std::vector<const Proxy*> candidates;
  for (const auto& proxy : this->proxies) {
    const bool isCandidate = !this->uselessProxies.contains(proxy.endpoint) &&
                             std::ranges::find(aTried, proxy.endpoint) == aTried.end();
    if (isCandidate) {
      candidates.push_back(&proxy);
    }
  }
  std::vector<const Proxy*> useful;
  std::ranges::copy_if(
    candidates, std::back_inserter(useful), [this](const Proxy* aProxy) {
      return this->usefulProxies.contains(aProxy->endpoint);
    });
  const auto* proxy = this->PickWeighted(useful.empty() ? candidates : useful);
  return proxy == nullptr ? std::nullopt : std::optional(proxy->endpoint);
}

const BackendPaths::Proxy* BackendPaths::PickWeighted(
  const std::vector<const Proxy*>& aProxies)
{
  const double total = std::accumulate(
    aProxies.begin(), aProxies.end(), 0.0, [](double aSum, const Proxy* aProxy) {
      return aSum + aProxy->weight;
    });
  double remaining = this->random.Fraction() * total;
  for (const auto* proxy : aProxies) {
    remaining -= proxy->weight;
    if (remaining < 0) {
      return proxy;
    }
  }
  return aProxies.empty() ? nullptr : aProxies.back();
}

void BackendPaths::OnProxied(const Endpoint& aDestination,
                             const Endpoint& aProxy,
                             ProxyResult aResult,
                             TimePoint aNow)
{
  if (aResult == ProxyResult::DestinationRefused) {
    return;
  }
  if (aResult != ProxyResult::Connected) {
    this->usefulProxies.erase(aProxy);
    this->uselessProxies[aProxy] = aNow + kProxyBackoff;
    return;
  }
  this->usefulProxies.insert(aProxy);
  std::erase_if(this->rescued, [aNow](const auto& aRescued) {
    return aNow - aRescued.second > kEvidenceLifetime;
  });
  this->rescued.try_emplace(aDestination, aNow);
  const auto oldest = std::ranges::min(this->rescued | std::views::values);
  if (!this->cutOff && this->rescued.size() >= kServersToCutOff &&
      !this->HasConnectedSince(oldest)) {
    this->cutOff = true;
    this->reconnected.clear();
  }
}

bool BackendPaths::TakeTrial(TimePoint aNow)
{
  const bool isDue = this->cutOff && aNow - this->trialAt >= kTrialInterval;
  this->trialAt = isDue ? aNow : this->trialAt;
  return isDue;
}

nlohmann::json BackendPaths::Describe() const
{
  return { { "cut_off", this->cutOff },
           { "servers_through_peers", this->rescued.size() },
           { "peers", this->proxies.size() },
           { "useful_peers", this->usefulProxies.size() } };
}

} // namespace toucanstand
