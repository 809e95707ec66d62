#pragma once

#include <cstddef>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "errors/Result.h"
#include "settings/SettingsError.h"

namespace toucanstand {

/// Deepest nesting that ParseBoundedJson() accepts.
inline constexpr int kMaximumJsonDepth = 32;

/// Parses JSON text of untrusted origin.
///
/// Text longer than @p aMaximumBytes breaks InRange; malformed or too deeply nested text
/// breaks ValidJson.
[[nodiscard]] Result<nlohmann::json, SettingsError> ParseBoundedJson(
  std::string_view aText,
  std::size_t aMaximumBytes);

} // namespace toucanstand
