#include "text/Hexadecimal.h"

#include <array>
#include <charconv>

namespace toucanstand {

namespace {

constexpr int kBase = 16;

} // namespace

std::string FormatHexadecimal(std::uint64_t aNumber)
{
  std::array<char, 16> digits{};
  const auto [end, error] =
    std::to_chars(digits.data(), digits.data() + digits.size(), aNumber, kBase);
  return { digits.data(), end };
}

std::optional<std::uint64_t> ParseHexadecimal(std::string_view aText)
{
  std::uint64_t number = 0;
  const auto [end, error] =
    std::from_chars(aText.data(), aText.data() + aText.size(), number, kBase);
  const bool whole = error == std::errc{} && end == aText.data() + aText.size();
  return whole ? std::optional(number) : std::nullopt;
}

} // namespace toucanstand
