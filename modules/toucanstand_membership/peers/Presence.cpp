#include "peers/Presence.h"

#include <array>
#include <charconv>
#include <cstdio>

namespace toucanstand {

std::string Presence::Text() const
{
  std::array<char, 32> share{};
  std::snprintf(share.data(), share.size(), " %.3f", this->cpuShare);
  return this->endpoint.Text() + share.data();
}

std::optional<Presence> Presence::Parse(std::string_view aText)
{
  const auto space = aText.find(' ');
  if (space == std::string_view::npos) {
    return std::nullopt;
  }
  const auto endpoint = Endpoint::Parse(aText.substr(0, space));
  const auto shareText = aText.substr(space + 1);
  double share = 0;
  const char* const last = shareText.data() + shareText.size();
  const auto [end, error] = std::from_chars(shareText.data(), last, share);
  const bool isValid =
    error == std::errc{} && end == last && share > 0 && share <= kMaxCpuShare;
  if (!endpoint || !endpoint->IsDestination() || !isValid) {
    return std::nullopt;
  }
  return Presence{ *endpoint, share };
}

} // namespace toucanstand
