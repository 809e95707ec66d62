#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "errors/Result.h"
#include "machines/BackendServer.h"
#include "machines/Vm.h"
#include "settings/SettingsError.h"

namespace toucanstand {

/// The platform's list of entry VMs and backend servers. It lags behind the truth.
struct PlatformList
{
  /// Revision of the store's value that it was read from; higher is newer.
  std::int64_t revision = 0;
  std::vector<Vm> entryVms;
  std::vector<BackendServer> servers;
};

/// Reads the JSON text of the list:
/// `{"entry_vms":[{"id","zone","node"}],"servers":[{"id","pool","zone","domain",
/// "address","kind","fencing","leaving"}]}`.
[[nodiscard]] Result<PlatformList, SettingsError> ParsePlatformList(
  const std::string& aText,
  std::int64_t aRevision);

/// The JSON text that ParsePlatformList() reads.
[[nodiscard]] std::string FormatPlatformList(const PlatformList& aList);

} // namespace toucanstand
