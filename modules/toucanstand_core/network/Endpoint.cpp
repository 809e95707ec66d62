#include "network/Endpoint.h"

#include <charconv>

#include <arpa/inet.h>

namespace toucanstand {

std::string Endpoint::Text() const
{
  return this->address + ":" + std::to_string(this->port);
}

std::optional<Endpoint> Endpoint::Parse(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  Endpoint endpoint;
  endpoint.address = std::string(aText.substr(0, colon));
  in_addr parsed{};
  // inet_pton() reads up to the first NUL byte.
  if (endpoint.address.find('\0') != std::string::npos ||
      inet_pton(AF_INET, endpoint.address.c_str(), &parsed) != 1) {
    return std::nullopt;
  }
  const auto digits = aText.substr(colon + 1);
  const char* const last = digits.data() + digits.size();
  const auto [end, error] = std::from_chars(digits.data(), last, endpoint.port);
  if (error != std::errc{} || end != last || digits.empty()) {
    return std::nullopt;
  }
  return endpoint;
}

bool Endpoint::IsDestination() const
{
  constexpr std::uint32_t kFirstMulticast = 0xE0000000U;
  in_addr parsed{};
  const bool isAddress = inet_pton(AF_INET, this->address.c_str(), &parsed) == 1;
  const auto number = ntohl(parsed.s_addr);
  // 0.0.0.0 reaches this machine; from the first multicast address on, none is a
  // machine's.
  return isAddress && this->port != 0 && number != 0 && number < kFirstMulticast;
}

} // namespace toucanstand
