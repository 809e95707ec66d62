#include "crashes/HomeServers.h"

#include <algorithm>
#include <utility>

#include "hashing/Fingerprint.h"

namespace toucanstand {

std::vector<ServerId> HomeServers(std::uint64_t aHomeKey,
                                  const std::vector<ServerId>& aServers,
                                  std::size_t aCount)
{
  // Each weight is computed once, because sorting compares a server several times.
  using Weighted = std::pair<std::uint64_t, const ServerId*>;
  std::vector<Weighted> weightedServers;
  weightedServers.reserve(aServers.size());
  for (const auto& server : aServers) {
    weightedServers.emplace_back(Hash64(server.Value(), aHomeKey), &server);
  }
  const auto heavier = [](const Weighted& aLeft, const Weighted& aRight) {
    return aLeft.first != aRight.first ? aLeft.first > aRight.first
                                       : *aRight.second < *aLeft.second;
  };
  const auto count = std::min(aCount, weightedServers.size());
  std::ranges::partial_sort(weightedServers,
                            weightedServers.begin() + static_cast<std::ptrdiff_t>(count),
                            heavier);
  std::vector<ServerId> homes;
  for (std::size_t index = 0; index < count; ++index) {
    homes.push_back(*weightedServers[index].second);
  }
  return homes;
}

VmId ArbiterVm(const std::vector<VmId>& aLiveVms)
{
  const auto weight = [](const VmId& aVm) {
    return std::pair(RendezvousWeight("suspect-arbiter", aVm.Value()), aVm);
  };
  const auto heaviest = std::ranges::max_element(aLiveVms, {}, weight);
  return heaviest == aLiveVms.end() ? VmId{} : *heaviest;
}

} // namespace toucanstand
