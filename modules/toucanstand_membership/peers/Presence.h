#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "network/Endpoint.h"

namespace toucanstand {

/// Value that an entry VM registers in the store for the other entry VMs.
struct Presence
{
  /// No VM has more cores; larger values are malformed.
  static constexpr double kMaxCpuShare = 4096;

  /// Address for datagrams between entry VMs.
  Endpoint endpoint;
  /// CPU share of the VM in cores.
  double cpuShare = 1.0;

  /// Formats the value as `address:port share`.
  [[nodiscard]] std::string Text() const;

  /// Parses the format of Text(); returns nothing when it is malformed.
  [[nodiscard]] static std::optional<Presence> Parse(std::string_view aText);
};

} // namespace toucanstand
