#pragma once

#include <string>
#include <vector>

#include "random/Random.h"

namespace toucanstand {

/// Applies one to three random mutations to a valid input, as faulty peers and malicious
/// callers may send it: truncation, changed, inserted, repeated or deleted bytes, deep
/// nesting and huge numbers.
inline std::string Mutate(std::string aText, Random& aRandom)
{
  static const std::vector<std::string> kMalformedFragments = {
    "null",
    "-1",
    "1e400",
    "18446744073709551616",
    "9223372036854775807",
    "-9223372036854775808",
    "{}",
    "[]",
    "\"\"",
    "\xff\xfe",
    std::string(1, '\0'),
    std::string(200, '['),
    std::string(5000, 'x'),
    "\r\n",
    "\r\nContent-Length: 99999999999999999999\r\n",
    "\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff1\r\n",
  };
  const auto position = [&] { return aRandom.Below(aText.size() + 1); };
  for (auto count = 1 + aRandom.Below(3); count > 0; --count) {
    const auto at = position();
    const auto length = aRandom.Below(20);
    switch (aRandom.Below(6)) {
      case 0:
        aText.resize(at);
        break;
      case 1:
        if (at < aText.size()) {
          aText[at] = static_cast<char>(aRandom.Below(256));
        }
        break;
      case 2:
        aText.insert(at, kMalformedFragments[aRandom.Below(kMalformedFragments.size())]);
        break;
      case 3:
        aText.insert(at, aText.substr(at, length));
        break;
      case 4: {
        // Replaces a number; changes of random bytes rarely produce an extreme number.
        const auto digit = aText.find_first_of("0123456789", at);
        if (digit != std::string::npos) {
          const auto end = aText.find_first_not_of("0123456789.", digit);
          const auto size = end == std::string::npos ? end : end - digit;
          aText.replace(digit, size, kMalformedFragments[aRandom.Below(6)]);
        }
        break;
      }
      default:
        aText.erase(at, length);
    }
  }
  return aText;
}

} // namespace toucanstand
