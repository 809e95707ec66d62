#pragma once

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
  static constexpr std::size_t kLeastRelays = 2;
  /// One relay for so many VMs: it answers twice as many queries a second.
  static constexpr std::size_t kVmsPerRelay = 40;

  /// @param aOwnRun names this run of this process among all
  PeerDirectory(std::string aOwnRun, double aOwnShare);

  void Put(const std::string& aRun, const Presence& aPresence);
  void Remove(const std::string& aRun);

  /// The others by run.
  [[nodiscard]] const std::map<std::string, Presence>& Others() const
  {
    return this->others;
  }

  [[nodiscard]] bool IsRelay();

  /// The other relays, in this VM's order of preference, which spreads VMs over relays.
  [[nodiscard]] const std::vector<Endpoint>& Relays();

private:
  /// Only after a change, since many VMs may come at once.
  void ChooseRelays();

  std::string ownRun;
  double ownShare;
  std::map<std::string, Presence> others;
  std::vector<Endpoint> relays;
  bool isRelay = true;
  bool relaysAreOld = true;
};

} // namespace toucanstand
