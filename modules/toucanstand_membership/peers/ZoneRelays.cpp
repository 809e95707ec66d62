#include "peers/ZoneRelays.h"

#include <algorithm>
#include <tuple>

#include "hashing/Fingerprint.h"

namespace toucanstand {

std::optional<std::map<ZoneId, std::string>> ZoneRelays::Choose(
  const std::vector<Vm>& aVms)
{
  const auto statesNoZone = [](const Vm& aVm) { return aVm.zone.IsEmpty(); };
  if (aVms.empty() || std::ranges::any_of(aVms, statesNoZone)) {
    return std::nullopt;
  }
  const double largest = std::ranges::max(aVms, {}, &Vm::cpuShare).cpuShare;
  // VMs with equal shares are ordered by hash, as without zones.
  const auto rank = [](const Vm& aVm) {
    return std::tuple(-aVm.cpuShare, Hash64(aVm.runId), aVm.runId);
  };
  std::map<ZoneId, std::size_t> counts;
  std::map<ZoneId, const Vm*> best;
  for (const auto& vm : aVms) {
    if (++counts[vm.zone] > kMaxVmsPerZone) {
      return std::nullopt;
    }
    const bool qualifies = vm.cpuShare >= largest * kMinPartOfLargestShare;
    if (qualifies) {
      auto& relay = best[vm.zone];
      relay = relay == nullptr || rank(vm) < rank(*relay) ? &vm : relay;
    }
  }
  if (best.size() < kMinRelays) {
    return std::nullopt;
  }
  std::map<ZoneId, std::string> relays;
  for (const auto& [zone, vm] : best) {
    relays[zone] = vm->runId;
  }
  return relays;
}

} // namespace toucanstand
