#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace toucanstand {

/// Base64 text with padding (RFC 4648), as the etcd gateway uses for keys and values.
[[nodiscard]] std::string EncodeBase64(std::string_view aBytes);

/// Bytes of a base64 text; nothing when it is malformed.
[[nodiscard]] std::optional<std::string> DecodeBase64(std::string_view aText);

} // namespace toucanstand
