#include "store/Base64.h"

#include <algorithm>
#include <cctype>

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>

namespace toucanstand {

std::string EncodeBase64(std::string_view aBytes)
{
  using namespace boost::archive::iterators;
  using Encoder =
    base64_from_binary<transform_width<std::string_view::const_iterator, 6, 8>>;
  std::string text(Encoder(aBytes.begin()), Encoder(aBytes.end()));
  text.append((3 - aBytes.size() % 3) % 3, '=');
  return text;
}

std::optional<std::string> DecodeBase64(std::string_view aText)
{
  using namespace boost::archive::iterators;
  using Decoder =
    transform_width<binary_from_base64<std::string_view::const_iterator>, 8, 6>;
  const std::size_t padding =
    aText.ends_with("==") ? 2 : static_cast<std::size_t>(aText.ends_with('='));
  const auto digits = aText.substr(0, aText.size() - padding);
  const auto isDigit = [](unsigned char aCharacter) {
    return std::isalnum(aCharacter) != 0 || aCharacter == '+' || aCharacter == '/';
  };
  if (aText.size() % 4 != 0 || !std::ranges::all_of(digits, isDigit)) {
    return std::nullopt;
  }
  // The decoder reads whole groups, so the padding becomes zero bits that are cut off.
  std::string padded(digits);
  padded.append(padding, 'A');
  const std::string_view view(padded);
  std::string bytes(Decoder(view.begin()), Decoder(view.end()));
  bytes.resize(digits.size() * 3 / 4);
  return bytes;
}

} // namespace toucanstand
