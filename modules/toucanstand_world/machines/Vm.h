#pragma once

#include "identifiers/Identifiers.h"
#include "network/Endpoint.h"

namespace toucanstand {

/// One entry VM.
struct Vm
{
  VmId id;
  ZoneId zone;
  /// Where its toucanstand-node process receives messages.
  Endpoint nodeEndpoint;

  friend bool operator==(const Vm&, const Vm&) = default;
};

} // namespace toucanstand
