#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "identifiers/Identifiers.h"

namespace toucanstand {

/// Nodes that observe each group or server.
inline constexpr std::size_t kObserversPerTarget = 2;

/// Chooses the observers of a group or server by rendezvous hashing over the live
/// members, so that a change of one member moves only that member's share.
class ObserverAssignment
{
public:
  /// @param aAliveVms live entry VMs, the local one included
  explicit ObserverAssignment(std::vector<VmId> aAliveVms);

  /// The observers of a target, heaviest first; fewer when fewer members are alive.
  [[nodiscard]] std::vector<VmId> ObserversOf(std::string_view aTarget) const;

  /// Whether @p aVm observes the target.
  [[nodiscard]] bool Observes(const VmId& aVm, std::string_view aTarget) const;

private:
  std::vector<VmId> aliveVms;
};

} // namespace toucanstand
