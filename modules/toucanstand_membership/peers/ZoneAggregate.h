#pragma once

#include <cstdint>
#include <vector>

#include "errors/Result.h"
#include "identifiers/Identifiers.h"
#include "peers/PeerReport.h"
#include "serialization/Datagram.h"

namespace toucanstand {

/// The sum of the reports of a zone's VMs, which the relay of the zone sends to the
/// relays of the other zones.
struct ZoneAggregate
{
  ZoneId zone;
  /// The VMs whose reports are in the sum, so that none is counted twice.
  std::vector<VmId> vms;
  /// The sum, with the relay as its sender, and the news that the reports carry.
  PeerReport sum;
};

[[nodiscard]] std::vector<std::uint8_t> EncodeZoneAggregate(
  const ZoneAggregate& aAggregate);

/// Decodes the fields of a datagram of kind DatagramKind::ZoneAggregate.
[[nodiscard]] Result<ZoneAggregate, DatagramFailure> DecodeZoneAggregate(
  const nlohmann::json& aFields);

} // namespace toucanstand
