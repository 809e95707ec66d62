#include "peers/PeerDirectory.h"

#include <algorithm>
#include <functional>
#include <ranges>
#include <tuple>
#include <utility>

#include "hashing/Fingerprint.h"

namespace toucanstand {

PeerDirectory::PeerDirectory(std::string aOwnRunId, Presence aOwnPresence)
  : ownRunId(std::move(aOwnRunId))
  , ownPresence(std::move(aOwnPresence))
{
}

void PeerDirectory::Put(const std::string& aRunId,
                        const Presence& aPresence,
                        std::int64_t aRevision)
{
  this->isRegistered = this->isRegistered || aRunId == this->ownRunId;
  // A different run id with the endpoint of this VM is of an earlier run of its process.
  if (aRunId == this->ownRunId || aPresence.endpoint == this->ownPresence.endpoint) {
    return;
  }
  this->removals.Cancel(aRunId);
  auto& registration = this->registrations[aPresence.endpoint];
  if (registration.runId != aRunId && registration.revision > aRevision) {
    return;
  }
  this->peers.erase(registration.runId);
  registration = { aRunId, aRevision };
  this->peers[aRunId] = aPresence;
  this->relaysOutdated = true;
}

void PeerDirectory::Remove(const std::string& aRunId, TimePoint aNow)
{
  this->isRegistered = this->isRegistered && aRunId != this->ownRunId;
  if (!this->removals.Defer(aRunId, aNow)) {
    this->removals.Cancel(aRunId);
    this->RemoveNow(aRunId);
  }
}

void PeerDirectory::OnTime(TimePoint aNow)
{
  for (const auto& runId : this->removals.TakeDue(aNow)) {
    this->RemoveNow(runId);
  }
}

void PeerDirectory::RemoveNow(const std::string& aRunId)
{
  const auto found = this->peers.find(aRunId);
  if (found == this->peers.end()) {
    return;
  }
  this->registrations.erase(found->second.endpoint);
  this->peers.erase(found);
  this->relaysOutdated = true;
}

bool PeerDirectory::IsRelay()
{
  this->UpdateRelays();
  return this->isRelay;
}

const std::vector<Endpoint>& PeerDirectory::Relays()
{
  this->UpdateRelays();
  return this->relays;
}

void PeerDirectory::UpdateRelays()
{
  if (!std::exchange(this->relaysOutdated, false)) {
    return;
  }
  // VMs with equal CPU shares are ordered by hash, so that a VM that joins or leaves
  // changes few relays.
  std::vector<std::tuple<double, std::uint64_t, std::string>> ranking;
  const auto addVm = [&ranking](const std::string& aRunId, double aCpuShare) {
    ranking.emplace_back(-aCpuShare, Hash64(aRunId), aRunId);
  };
  addVm(this->ownRunId, this->ownPresence.cpuShare);
  for (const auto& [runId, presence] : this->peers) {
    addVm(runId, presence.cpuShare);
  }
  const auto count = std::min(ranking.size(), kMinRelays + ranking.size() / kVmsPerRelay);
  std::ranges::partial_sort(ranking, ranking.begin() + static_cast<long>(count));
  ranking.resize(count);

  std::vector<std::pair<std::uint64_t, Endpoint>> weightedRelays;
  this->isRelay = false;
  for (const auto& runId : ranking | std::views::elements<2>) {
    if (runId == this->ownRunId) {
      this->isRelay = true;
    } else {
      weightedRelays.emplace_back(RendezvousWeight(this->ownRunId, runId),
                                  this->peers.at(runId).endpoint);
    }
  }
  std::ranges::sort(
    weightedRelays, std::greater{}, &decltype(weightedRelays)::value_type::first);
  this->relays.clear();
  std::ranges::copy(weightedRelays | std::views::values,
                    std::back_inserter(this->relays));
}

} // namespace toucanstand
