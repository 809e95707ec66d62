#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "identifiers/Identifiers.h"

namespace toucanstand {

/// Chooses one relay for each zone: its VM with the largest processor share.
class ZoneRelays
{
public:
  /// A relay has at least this part of the largest processor share of all VMs. The relay
  /// of a zone serves all of its VMs beside its own callers, which is too much for a VM
  /// of 0.12 of a core where others have 0.5.
  static constexpr double kMinPartOfLargestShare = 0.5;
  /// With a single relay, its failure would cut every VM off from the others' load.
  static constexpr std::size_t kMinRelays = 2;
  /// VMs of a zone that one relay serves. It sends each of them about 1.7 KB twenty times
  /// a second, so 40 take 11 of the 20 Mbit/s of a small VM's link.
  static constexpr std::size_t kMaxVmsPerZone = 40;

  struct Vm
  {
    std::string runId;
    double cpuShare = 0;
    /// Empty if the VM does not state its zone.
    ZoneId zone;
  };

  /// The run ids of the relays by zone; nothing if relays can't be chosen by zone. A zone
  /// without a VM that qualifies has none.
  [[nodiscard]] static std::optional<std::map<ZoneId, std::string>> Choose(
    const std::vector<Vm>& aVms);
};

} // namespace toucanstand
