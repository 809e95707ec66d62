#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace toucanstand {

/// IP address and port. Names are not resolved: addresses come from settings.
struct Endpoint
{
  std::string address;
  std::uint16_t port = 0;

  /// `address:port`.
  [[nodiscard]] std::string Text() const;

  /// Reads `address:port` with a numeric IPv4 address; nothing when malformed.
  [[nodiscard]] static std::optional<Endpoint> Parse(std::string_view aText);

  /// True when a server can be reached at it: it has a port, and its address is that of
  /// one machine.
  [[nodiscard]] bool IsDestination() const;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

} // namespace toucanstand
