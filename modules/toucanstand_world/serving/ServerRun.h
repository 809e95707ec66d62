#pragma once

#include <cstdint>

#include "identifiers/Identifiers.h"

namespace toucanstand {

/// One run of a backend server's process. What a server says of itself holds for the run
/// that said it.
struct ServerRun
{
  ServerId server;
  /// As in its registration; 0 when unknown.
  std::int64_t startedAtUnixMs = 0;

  friend bool operator==(const ServerRun&, const ServerRun&) = default;
};

} // namespace toucanstand
