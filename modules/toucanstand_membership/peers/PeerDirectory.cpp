#include "peers/PeerDirectory.h"

#include <algorithm>
#include <functional>
#include <ranges>
#include <utility>

#include "hashing/Fingerprint.h"

namespace toucanstand {

PeerDirectory::PeerDirectory(std::string aOwnRun)
  : ownRun(std::move(aOwnRun))
{
}

void PeerDirectory::Put(const std::string& aRun, const Endpoint& aEndpoint)
{
  if (aRun != this->ownRun) {
    this->others[aRun] = aEndpoint;
    this->relaysAreOld = true;
  }
}

void PeerDirectory::Remove(const std::string& aRun)
{
  this->others.erase(aRun);
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
  // The lowest hashes: a VM that comes or goes changes few of them.
  std::vector<std::pair<std::uint64_t, std::string>> order;
  order.emplace_back(Hash64(this->ownRun), this->ownRun);
  for (const auto& run : this->others | std::views::keys) {
    order.emplace_back(Hash64(run), run);
  }
  const auto count = std::min(order.size(), kLeastRelays + order.size() / kVmsPerRelay);
  std::ranges::partial_sort(order, order.begin() + static_cast<long>(count));
  order.resize(count);

  std::vector<std::pair<std::uint64_t, Endpoint>> preferred;
  this->isRelay = false;
  for (const auto& run : order | std::views::values) {
    if (run == this->ownRun) {
      this->isRelay = true;
    } else {
      preferred.emplace_back(RendezvousWeight(this->ownRun, run), this->others.at(run));
    }
  }
  std::ranges::sort(preferred, std::greater{}, &decltype(preferred)::value_type::first);
  this->relays.clear();
  std::ranges::copy(preferred | std::views::values, std::back_inserter(this->relays));
}

} // namespace toucanstand
