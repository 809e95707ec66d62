#pragma once

#include <string_view>

namespace toucanstand {

/// True for a path with an optional query, or for `*`. A proxy's absolute form names
/// another host than the Host field might.
[[nodiscard]] bool IsOriginForm(std::string_view aTarget);

/// True when a segment of the path is `.` or `..`, also behind percent-encoding, encoded
/// slashes or backslashes. Such a path may name another resource at the server that
/// resolves it than at the one that chose its contract.
[[nodiscard]] bool HasDotSegments(std::string_view aTarget);

} // namespace toucanstand
