#include "peers/PeerDirectory.h"

#include <algorithm>
#include <functional>
#include <ranges>
#include <tuple>
#include <utility>

#include "hashing/Fingerprint.h"

namespace toucanstand {

PeerDirectory::PeerDirectory(std::string aOwnRun, Presence aOwnPresence)
  : ownRun(std::move(aOwnRun))
  , ownPresence(std::move(aOwnPresence))
{
}

void PeerDirectory::Put(const std::string& aRun,
                        const Presence& aPresence,
                        std::int64_t aRevision)
{
  // Another run on the own endpoint is an earlier one of this VM.
  if (aRun == this->ownRun || aPresence.endpoint == this->ownPresence.endpoint) {
    return;
  }
  auto& registration = this->latest[aPresence.endpoint];
  if (registration.run != aRun && registration.revision > aRevision) {
    return;
  }
  this->others.erase(registration.run);
  registration = { aRun, aRevision };
  this->others[aRun] = aPresence;
  this->relaysAreOld = true;
}

void PeerDirectory::Remove(const std::string& aRun)
{
  const auto found = this->others.find(aRun);
  if (found == this->others.end()) {
    return;
  }
  this->latest.erase(found->second.endpoint);
  this->others.erase(found);
  this->relaysAreOld = true;
}

bool PeerDirectory::IsRelay()
{
  this->ChooseRelays();
  return this->isRelay;
}

const std::vector<Endpoint>& PeerDirectory::Relays()
{
  this->ChooseRelays();
  return this->relays;
}

void PeerDirectory::ChooseRelays()
{
  if (!std::exchange(this->relaysAreOld, false)) {
    return;
  }
  // Of equal shares the lowest hashes: a VM that comes or goes changes few relays.
  std::vector<std::tuple<double, std::uint64_t, std::string>> order;
  const auto add = [&order](const std::string& aRun, double aShare) {
    order.emplace_back(-aShare, Hash64(aRun), aRun);
  };
  add(this->ownRun, this->ownPresence.cpuShare);
  for (const auto& [run, presence] : this->others) {
    add(run, presence.cpuShare);
  }
  const auto count = std::min(order.size(), kLeastRelays + order.size() / kVmsPerRelay);
  std::ranges::partial_sort(order, order.begin() + static_cast<long>(count));
  order.resize(count);

  std::vector<std::pair<std::uint64_t, Endpoint>> preferred;
  this->isRelay = false;
  for (const auto& run : order | std::views::elements<2>) {
    if (run == this->ownRun) {
      this->isRelay = true;
    } else {
      preferred.emplace_back(RendezvousWeight(this->ownRun, run),
                             this->others.at(run).endpoint);
    }
  }
  std::ranges::sort(preferred, std::greater{}, &decltype(preferred)::value_type::first);
  this->relays.clear();
  std::ranges::copy(preferred | std::views::values, std::back_inserter(this->relays));
}

} // namespace toucanstand
