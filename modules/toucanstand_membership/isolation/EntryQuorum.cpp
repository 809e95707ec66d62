#include "isolation/EntryQuorum.h"

namespace toucanstand {

EntryQuorum::EntryQuorum(const std::vector<VmId>& aSettingsList,
                         const std::vector<VmId>& aPlatformList)
{
  const std::set<VmId> settings(aSettingsList.begin(), aSettingsList.end());
  const std::set<VmId> platform(aPlatformList.begin(), aPlatformList.end());
  this->vms = settings.size() > platform.size() ? settings : platform;
}

} // namespace toucanstand
