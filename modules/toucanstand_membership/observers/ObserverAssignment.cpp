#include "observers/ObserverAssignment.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "hashing/Fingerprint.h"

namespace toucanstand {

ObserverAssignment::ObserverAssignment(std::vector<VmId> aAliveVms)
  : aliveVms(std::move(aAliveVms))
{
}

std::vector<VmId> ObserverAssignment::ObserversOf(std::string_view aTarget) const
{
  std::vector<std::pair<std::uint64_t, VmId>> weights;
  weights.reserve(this->aliveVms.size());
  for (const auto& vm : this->aliveVms) {
    weights.emplace_back(RendezvousWeight(aTarget, vm.Value()), vm);
  }
  const auto count = std::min(kObserversPerTarget, weights.size());
  std::ranges::partial_sort(
    weights, weights.begin() + static_cast<long>(count), std::ranges::greater{});
  std::vector<VmId> observers;
  for (std::size_t index = 0; index < count; ++index) {
    observers.push_back(weights[index].second);
  }
  return observers;
}

bool ObserverAssignment::Observes(const VmId& aVm, std::string_view aTarget) const
{
  const auto observers = this->ObserversOf(aTarget);
  return std::ranges::find(observers, aVm) != observers.end();
}

} // namespace toucanstand
