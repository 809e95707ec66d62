#include "peers/PeerDirectory.h"

#include <algorithm>
#include <functional>
#include <ranges>
#include <tuple>
#include <utility>

#include "hashing/Fingerprint.h"
#include "peers/VmRun.h"
#include "peers/ZoneRelays.h"

namespace toucanstand {

PeerDirectory::PeerDirectory(std::string aOwnRunId, Presence aOwnPresence)
  : ownRunId(std::move(aOwnRunId))
  , ownZone(ZoneOfRun(this->ownRunId))
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

void PeerDirectory::SetZonesAreFarApart(bool aAreFarApart)
{
  this->relaysOutdated = this->relaysOutdated || this->zonesAreFarApart != aAreFarApart;
  this->zonesAreFarApart = aAreFarApart;
}

bool PeerDirectory::IsRelay()
{
  this->UpdateRelays();
  return this->isRelay;
}

bool PeerDirectory::AreRelaysByZone()
{
  this->UpdateRelays();
  return this->areRelaysByZone;
}

std::optional<Endpoint> PeerDirectory::RelayOfOwnZone()
{
  this->UpdateRelays();
  return this->relayOfOwnZone;
}

const std::vector<Endpoint>& PeerDirectory::Relays()
{
  this->UpdateRelays();
  return this->relays;
}

ZoneId PeerDirectory::ZoneOf(const Endpoint& aEndpoint) const
{
  const auto found = this->registrations.find(aEndpoint);
  return found == this->registrations.end() ? ZoneId() : ZoneOfRun(found->second.runId);
}

double PeerDirectory::ShareOfOtherZones() const
{
  const auto others = std::ranges::count_if(
    this->peers | std::views::keys,
    [this](const std::string& aRunId) { return ZoneOfRun(aRunId) != this->ownZone; });
  return this->peers.empty()
           ? 0
           : static_cast<double>(others) / static_cast<double>(this->peers.size());
}

std::vector<std::string> PeerDirectory::LargestVms() const
{
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
  std::vector<std::string> largest;
  std::ranges::copy(ranking | std::views::elements<2>, std::back_inserter(largest));
  return largest;
}

std::map<ZoneId, std::string> PeerDirectory::RelaysByZone() const
{
  if (!this->zonesAreFarApart || this->peers.size() <= kMaxDirectPeers) {
    return {};
  }
  std::vector<ZoneRelays::Vm> vms{
    { this->ownRunId, this->ownPresence.cpuShare, this->ownZone }
  };
  for (const auto& [runId, presence] : this->peers) {
    vms.push_back({ runId, presence.cpuShare, ZoneOfRun(runId) });
  }
  return ZoneRelays::Choose(vms).value_or(std::map<ZoneId, std::string>());
}

void PeerDirectory::UpdateRelays()
{
  if (!std::exchange(this->relaysOutdated, false)) {
    return;
  }
  const auto byZone = this->RelaysByZone();
  this->areRelaysByZone = !byZone.empty();
  std::vector<std::string> runIds;
  std::ranges::copy(byZone | std::views::values, std::back_inserter(runIds));
  if (runIds.empty()) {
    runIds = this->LargestVms();
  }
  const auto ownRelay = byZone.find(this->ownZone);

  std::vector<std::pair<std::uint64_t, Endpoint>> weightedRelays;
  this->isRelay = false;
  this->relayOfOwnZone.reset();
  for (const auto& runId : runIds) {
    if (runId == this->ownRunId) {
      this->isRelay = true;
      continue;
    }
    const auto& endpoint = this->peers.at(runId).endpoint;
    const bool isOfOwnZone = ownRelay != byZone.end() && ownRelay->second == runId;
    if (isOfOwnZone) {
      this->relayOfOwnZone = endpoint;
    } else {
      weightedRelays.emplace_back(RendezvousWeight(this->ownRunId, runId), endpoint);
    }
  }
  std::ranges::sort(
    weightedRelays, std::greater{}, &decltype(weightedRelays)::value_type::first);
  this->relays.clear();
  if (this->relayOfOwnZone) {
    this->relays.push_back(*this->relayOfOwnZone);
  }
  std::ranges::copy(weightedRelays | std::views::values,
                    std::back_inserter(this->relays));
}

} // namespace toucanstand
