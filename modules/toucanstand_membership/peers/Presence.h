#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "network/Endpoint.h"

namespace toucanstand {

/// What an entry VM registers of itself for the others.
struct Presence
{
  /// For datagrams.
  Endpoint endpoint;
  /// Processor time in cores.
  double cpuShare = 1.0;

  /// `address:port share`.
  [[nodiscard]] std::string Text() const;

  /// Reads Text(); nothing when malformed.
  [[nodiscard]] static std::optional<Presence> Parse(std::string_view aText);
};

} // namespace toucanstand
