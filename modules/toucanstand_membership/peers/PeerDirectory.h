#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "peers/Presence.h"

namespace toucanstand {

/// The entry VMs that live, and which of them are relays.
///
/// The VMs with most processor time are relays. They read the store and tell the others
/// what changed, and add up the load of all, so that neither the calls to the store nor
/// the datagrams of one VM grow with the number of VMs. Each VM computes the relays from
/// the same list; while the lists differ, some VM asks one that does not know and goes to
/// the store itself.
class PeerDirectory
{
public:
  /// At least this many, so that the loss of one is not noticed.
  static constexpr std::size_t kMinRelays = 2;
  /// One relay for so many VMs: it answers twice as many queries a second.
  static constexpr std::size_t kVmsPerRelay = 40;

  /// @param aOwnRunId names this run of this process among all
  PeerDirectory(std::string aOwnRunId, Presence aOwnPresence);

  /// A registration of a VM. Of two with the same endpoint the one with the higher
  /// revision is of the run that lives: a process that was killed leaves its own behind.
  void Put(const std::string& aRunId, const Presence& aPresence, std::int64_t aRevision);
  void Remove(const std::string& aRunId);

  /// The others by run.
  [[nodiscard]] const std::map<std::string, Presence>& Peers() const
  {
    return this->peers;
  }

  [[nodiscard]] bool IsRelay();

  /// The other relays, in this VM's order of preference, which spreads VMs over relays.
  [[nodiscard]] const std::vector<Endpoint>& Relays();

private:
  /// Only after a change, since many VMs may come at once.
  void UpdateRelays();

  struct Registration
  {
    std::string runId;
    std::int64_t revision = 0;
  };

  std::string ownRunId;
  Presence ownPresence;
  std::map<std::string, Presence> peers;
  /// The latest registration of each endpoint.
  std::map<Endpoint, Registration> registrations;
  std::vector<Endpoint> relays;
  bool isRelay = true;
  bool relaysOutdated = true;
};

} // namespace toucanstand
