#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "identifiers/Identifiers.h"

namespace toucanstand {

/// Number of entry VMs that observe each group or server.
inline constexpr std::size_t kObserversPerTarget = 2;

/// Chooses the observers of a group or server by rendezvous hashing over the live
/// members, so that a member that joins or fails changes only its own assignments.
class ObserverAssignment
{
public:
  /// @param aAliveVms live entry VMs, including the local one
  explicit ObserverAssignment(std::vector<VmId> aAliveVms);

  /// The observers of a target, highest weight first; fewer than kObserversPerTarget when
  /// fewer members are alive.
  [[nodiscard]] std::vector<VmId> ObserversOf(std::string_view aTarget) const;

  /// Whether @p aVm observes the target.
  [[nodiscard]] bool Observes(const VmId& aVm, std::string_view aTarget) const;

private:
  std::vector<VmId> aliveVms;
};

} // namespace toucanstand
