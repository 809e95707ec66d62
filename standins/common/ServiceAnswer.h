#pragma once

#include <string>
#include <string_view>

namespace toucanstand {

/// Answer of standin-service to a request, a pure function of path and body, so that a
/// caller can check it.
[[nodiscard]] std::string ServiceAnswer(std::string_view aPath, std::string_view aBody);

} // namespace toucanstand
