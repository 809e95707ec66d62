#include "serving/ServingConfiguration.h"

#include <algorithm>
#include <functional>
#include <numeric>

#include "text/AsciiCase.h"

namespace toucanstand {

Repeatability ServingRoute::MayRepeat() const
{
  const bool repeatable = this->kind == CallKind::Idempotent ||
                          (this->kind == CallKind::Stream && this->isResumable);
  return repeatable ? Repeatability::Idempotent : Repeatability::OnlyOnce;
}

ServingConfiguration::ServingConfiguration(
  std::int64_t aVersion,
  std::vector<ServingRoute> aRoutes,
  std::vector<ServingPool> aPools,
  std::optional<std::unordered_map<std::string, KeyHolder>> aKeys,
  CallerLimits aLimits)
  : version(aVersion)
  , pools(std::move(aPools))
  , keys(std::move(aKeys))
  , limits(aLimits)
  , routeCount(aRoutes.size())
{
  for (auto& route : aRoutes) {
    for (const auto& share : route.pools) {
      auto& longest = this->longestTimeouts[share.pool];
      longest = std::max(longest, route.timeout);
      if (route.kind != CallKind::Stream || !route.isResumable) {
        this->poolsWithUnmovableCalls.insert(share.pool);
      }
    }
    this->routesByHost[LowerCase(route.host)].push_back(std::move(route));
  }
  for (auto& [host, routes] : this->routesByHost) {
    std::ranges::stable_sort(routes, std::greater{}, [](const ServingRoute& aRoute) {
      return aRoute.pathPrefix.size();
    });
  }
}

const ServingRoute* ServingConfiguration::FindRoute(std::string_view aHost,
                                                    std::string_view aPath) const
{
  const auto routes = this->routesByHost.find(LowerCase(aHost));
  if (routes == this->routesByHost.end()) {
    return nullptr;
  }
  const auto found =
    std::ranges::find_if(routes->second, [aPath](const ServingRoute& aRoute) {
      return aPath.starts_with(aRoute.pathPrefix);
    });
  return found == routes->second.end() ? nullptr : &*found;
}

const ServingPool* ServingConfiguration::FindPool(const PoolId& aPool) const
{
  const auto found = std::ranges::find(this->pools, aPool, &ServingPool::id);
  return found == this->pools.end() ? nullptr : &*found;
}

Duration ServingConfiguration::LongestTimeoutOf(const PoolId& aPool) const
{
  const auto found = this->longestTimeouts.find(aPool);
  return found == this->longestTimeouts.end() ? Duration::zero() : found->second;
}

Duration ServingConfiguration::LargestZoneDelay() const
{
  return std::accumulate(
    this->pools.begin(),
    this->pools.end(),
    Duration::zero(),
    [](Duration aLargest, const ServingPool& aPool) {
      return aPool.engine ? std::max(aLargest, aPool.engine->zoneDistances.Largest())
                          : aLargest;
    });
}

std::size_t ServingConfiguration::MalformedZoneDelays() const
{
  return std::accumulate(this->pools.begin(),
                         this->pools.end(),
                         std::size_t{ 0 },
                         [](std::size_t aCount, const ServingPool& aPool) {
                           return aPool.engine
                                    ? aCount +
                                        aPool.engine->zoneDistances.MalformedCount()
                                    : aCount;
                         });
}

const KeyHolder* ServingConfiguration::FindKey(const std::string& aKey) const
{
  if (!this->keys) {
    return nullptr;
  }
  const auto found = this->keys->find(aKey);
  return found == this->keys->end() ? nullptr : &found->second;
}

} // namespace toucanstand
