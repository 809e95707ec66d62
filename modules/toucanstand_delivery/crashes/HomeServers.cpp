#include "crashes/HomeServers.h"

#include <algorithm>
#include <string>
#include <utility>

#include "hashing/Fingerprint.h"

namespace toucanstand {

std::vector<ServerId> HomeServers(std::uint64_t aFingerprint,
                                  std::vector<ServerId> aServers,
                                  std::size_t aCount)
{
  const std::string key = std::to_string(aFingerprint);
  const auto heavier = [&key](const ServerId& aLeft, const ServerId& aRight) {
    return std::pair(RendezvousWeight(key, aLeft.Value()), aLeft) >
           std::pair(RendezvousWeight(key, aRight.Value()), aRight);
  };
  const auto count =
    static_cast<std::ptrdiff_t>(std::min<std::size_t>(aCount, aServers.size()));
  std::ranges::partial_sort(aServers, aServers.begin() + count, heavier);
  aServers.resize(static_cast<std::size_t>(count));
  return aServers;
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
