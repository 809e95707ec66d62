#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace toucanstand {

/// Lower-case hexadecimal digits without leading zeros.
[[nodiscard]] std::string FormatHexadecimal(std::uint64_t aNumber);

/// Reads hexadecimal digits of either case; nothing if there is any other character, or
/// more than 64 bits.
[[nodiscard]] std::optional<std::uint64_t> ParseHexadecimal(std::string_view aText);

} // namespace toucanstand
