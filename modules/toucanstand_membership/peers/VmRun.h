#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "identifiers/Identifiers.h"

namespace toucanstand {

/// The id of one run of an entry VM's process, `ID.NUMBER@ZONE`, which tells the other
/// VMs its zone. Builds before that wrote `ID.NUMBER`; to them a run id is opaque.
///
/// @param aZone left out if it is empty or longer than kMaxRunZoneBytes
[[nodiscard]] std::string MakeRunId(const VmId& aVm,
                                    std::uint64_t aRunNumber,
                                    const ZoneId& aZone);

/// The leader's key holds a run id, and readers bound its length.
constexpr std::size_t kMaxRunZoneBytes = 128;

/// The zone that a run id states; empty if it states none.
[[nodiscard]] ZoneId ZoneOfRun(std::string_view aRunId);

} // namespace toucanstand
