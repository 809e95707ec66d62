#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "identifiers/Identifiers.h"
#include "peers/Presence.h"
#include "serving/DeferredRemovals.h"

namespace toucanstand {

/// The registered entry VMs, and which of them are relays.
///
/// The VMs with the largest CPU shares are relays. They read the store and forward its
/// changes, and aggregate the load reports of all VMs, so that neither the calls to the
/// store nor the datagrams per VM grow with the number of VMs. Each VM computes the
/// relays from the registrations that it knows. While these differ, a VM may query a VM
/// that is not a relay and can't answer; it then reads the store itself.
///
/// Where availability zones are far apart, each zone has a relay of its own. This applies
/// to more than kMaxDirectPeers peers that all state their zones. @see ZoneRelays
class PeerDirectory
{
public:
  /// Minimum number of relays; with two, the failure of one has no effect on the others.
  static constexpr std::size_t kMinRelays = 2;
  /// Number of VMs per additional relay. Each VM sends about two queries per second, so a
  /// relay answers about twice this number per second.
  static constexpr std::size_t kVmsPerRelay = 40;

  /// With more peers, direct reports need more datagrams than reports through relays.
  static constexpr std::size_t kMaxDirectPeers = 16;

  /// Time that VMs have to register again after the store lost their registrations. A VM
  /// that is not missed keeps its share of the limits that all VMs divide among them.
  static constexpr Duration kReturnGrace = std::chrono::milliseconds(2700);

  /// @param aOwnRunId unique id of this run of this process, with its zone
  PeerDirectory(std::string aOwnRunId, Presence aOwnPresence);

  /// Adds the registration of a VM. Of two registrations with the same endpoint, the one
  /// with the higher store revision is kept: the other one is of a process that was
  /// killed and remains until its lease expires.
  void Put(const std::string& aRunId, const Presence& aPresence, std::int64_t aRevision);
  /// Removes a registration; after OnStoreBack(), only if it does not come back in time.
  void Remove(const std::string& aRunId, TimePoint aNow);

  /// The store answers again after it lost registrations of VMs that live.
  void OnStoreBack(TimePoint aNow) { this->removals.BeginGrace(aNow + kReturnGrace); }

  /// Applies removals whose grace period has ended.
  void OnTime(TimePoint aNow);

  /// The other entry VMs, by run id.
  [[nodiscard]] const std::map<std::string, Presence>& Peers() const
  {
    return this->peers;
  }

  /// Whether the configuration states that zones are far apart.
  void SetZonesAreFarApart(bool aAreFarApart);

  /// True while the store has the registration of this run of this VM.
  [[nodiscard]] bool IsRegistered() const { return this->isRegistered; }

  [[nodiscard]] bool IsRelay();

  /// Whether each zone has a relay of its own.
  [[nodiscard]] bool AreRelaysByZone();
  /// The relay of this VM's zone, if relays are chosen by zone and it is another VM.
  [[nodiscard]] std::optional<Endpoint> RelayOfOwnZone();

  [[nodiscard]] const ZoneId& OwnZone() const { return this->ownZone; }
  /// The zone that a registered VM states; empty if it states none.
  [[nodiscard]] ZoneId ZoneOf(const Endpoint& aEndpoint) const;
  /// Part of the peers that are in other zones.
  [[nodiscard]] double ShareOfOtherZones() const;

  /// The other relays, in the order in which this VM queries them. The order differs
  /// between VMs, so that their queries are distributed over the relays. The relay of its
  /// own zone is the first one.
  [[nodiscard]] const std::vector<Endpoint>& Relays();

private:
  /// Computes the relays if a registration has changed since the last call. Not done in
  /// Put(), because many VMs may register at the same time.
  void UpdateRelays();

  /// The run ids of the relays without regard to zones.
  [[nodiscard]] std::vector<std::string> LargestVms() const;
  /// The run ids of the relays by zone; empty if they are not chosen by zone.
  [[nodiscard]] std::map<ZoneId, std::string> RelaysByZone() const;

  void RemoveNow(const std::string& aRunId);

  struct Registration
  {
    std::string runId;
    std::int64_t revision = 0;
  };

  std::string ownRunId;
  ZoneId ownZone;
  Presence ownPresence;
  std::map<std::string, Presence> peers;
  /// The registration with the highest revision, by endpoint.
  std::map<Endpoint, Registration> registrations;
  DeferredRemovals<std::string> removals;
  std::vector<Endpoint> relays;
  bool isRegistered = false;
  bool isRelay = true;
  bool relaysOutdated = true;
  bool zonesAreFarApart = false;
  bool areRelaysByZone = false;
  std::optional<Endpoint> relayOfOwnZone;
};

} // namespace toucanstand
