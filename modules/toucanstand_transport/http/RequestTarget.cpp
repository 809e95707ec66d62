#include "http/RequestTarget.h"

#include <algorithm>
#include <charconv>
#include <string>

namespace toucanstand {

namespace {

/// The path with its percent-encoding resolved, without the query.
std::string DecodedPath(std::string_view aTarget)
{
  constexpr std::size_t kEscapeLength = 3;
  constexpr int kHexadecimal = 16;
  const auto path = aTarget.substr(0, aTarget.find_first_of("?#"));
  std::string decoded;
  for (std::size_t index = 0; index < path.size(); ++index) {
    unsigned code = 0;
    const bool whole = path[index] == '%' && index + kEscapeLength <= path.size();
    const char* const first = path.data() + index + 1;
    const bool isEscape =
      whole && std::from_chars(first, first + 2, code, kHexadecimal).ptr == first + 2;
    decoded += isEscape ? static_cast<char>(code) : path[index];
    index += isEscape ? kEscapeLength - 1 : 0;
  }
  return decoded;
}

} // namespace

bool IsOriginForm(std::string_view aTarget)
{
  return aTarget.starts_with('/') || aTarget == "*";
}

bool HasDotSegments(std::string_view aTarget)
{
  std::string path = DecodedPath(aTarget);
  // Servers that accept a backslash for a slash resolve segments behind it as well.
  std::ranges::replace(path, '\\', '/');
  path += '/';
  return path.find("/./") != std::string::npos || path.find("/../") != std::string::npos;
}

} // namespace toucanstand
