#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace toucanstand {

/// Standard base64 with padding.
[[nodiscard]] std::string EncodeBase64(std::string_view aBytes);

/// Nothing when the text is not standard base64 with padding.
[[nodiscard]] std::optional<std::string> DecodeBase64(std::string_view aText);

} // namespace toucanstand
