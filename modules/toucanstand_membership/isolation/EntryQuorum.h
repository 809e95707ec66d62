#pragma once

#include <cstddef>
#include <set>
#include <vector>

#include "identifiers/Identifiers.h"

namespace toucanstand {

/// The entry VMs over which majorities are counted: the larger of the list in the
/// settings and the platform's list; the platform's when they are equally long.
class EntryQuorum
{
public:
  EntryQuorum() = default;
  EntryQuorum(const std::vector<VmId>& aSettingsList,
              const std::vector<VmId>& aPlatformList);

  [[nodiscard]] const std::set<VmId>& Vms() const { return this->vms; }
  [[nodiscard]] bool Contains(const VmId& aVm) const { return this->vms.contains(aVm); }
  /// Smallest number of VMs such that any two sets of this size share one.
  [[nodiscard]] std::size_t Majority() const { return this->vms.size() / 2 + 1; }

private:
  std::set<VmId> vms;
};

} // namespace toucanstand
