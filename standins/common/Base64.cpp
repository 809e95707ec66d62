#include "common/Base64.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/dataflow_exception.hpp>
#include <boost/archive/iterators/transform_width.hpp>

namespace toucanstand {

namespace {

namespace iterators = boost::archive::iterators;
using Encoder =
  iterators::base64_from_binary<iterators::transform_width<const char*, 6, 8>>;
using Decoder =
  iterators::transform_width<iterators::binary_from_base64<const char*>, 8, 6>;

constexpr std::size_t kBlockBytes = 3;
constexpr std::size_t kBlockCharacters = 4;

} // namespace

std::string EncodeBase64(std::string_view aBytes)
{
  std::string text(Encoder(aBytes.data()), Encoder(aBytes.data() + aBytes.size()));
  while (text.size() % kBlockCharacters != 0) {
    text += '=';
  }
  return text;
}

std::optional<std::string> DecodeBase64(std::string_view aText)
{
  if (aText.size() % kBlockCharacters != 0) {
    return std::nullopt;
  }
  auto digits = std::string(aText);
  std::size_t padding = 0;
  while (padding < 2 && !digits.empty() && digits.back() == '=') {
    digits.pop_back();
    ++padding;
  }
  // The iterators take '=' for a digit of zero bits.
  if (digits.find('=') != std::string::npos) {
    return std::nullopt;
  }
  // The iterators read whole blocks: 'A' is the digit of zero bits.
  digits.append(padding, 'A');
  try {
    std::string bytes;
    bytes.reserve(digits.size() / kBlockCharacters * kBlockBytes);
    Decoder next(digits.data());
    for (std::size_t left = digits.size() / kBlockCharacters * kBlockBytes; left > 0;
         --left, ++next) {
      bytes += static_cast<char>(*next);
    }
    bytes.resize(bytes.size() - padding);
    return bytes;
  } catch (const iterators::dataflow_exception&) {
    return std::nullopt;
  }
}

} // namespace toucanstand
