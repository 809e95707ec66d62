#pragma once

#include <cstddef>
#include <set>
#include <vector>

#include "identifiers/Identifiers.h"

namespace toucanstand {

/// The entry VMs of which a majority is required: the longer of the list in the settings
/// and the platform's list, or the platform's list when they are equally long.
class EntryQuorum
{
public:
  EntryQuorum() = default;
  EntryQuorum(const std::vector<VmId>& aSettingsList,
              const std::vector<VmId>& aPlatformList);

  [[nodiscard]] const std::set<VmId>& Vms() const { return this->vms; }
  [[nodiscard]] bool Contains(const VmId& aVm) const { return this->vms.contains(aVm); }
  /// Minimum number of VMs such that any two sets of this size have a VM in common.
  [[nodiscard]] std::size_t Majority() const { return this->vms.size() / 2 + 1; }

private:
  std::set<VmId> vms;
};

} // namespace toucanstand
