#include "text/AsciiCase.h"

#include <algorithm>
#include <iterator>

namespace toucanstand {

namespace {

char LowerCharacter(char aCharacter)
{
  constexpr char kDistance = 'a' - 'A';
  const bool isUpper = aCharacter >= 'A' && aCharacter <= 'Z';
  return isUpper ? static_cast<char>(aCharacter + kDistance) : aCharacter;
}

} // namespace

std::string LowerCase(std::string_view aText)
{
  std::string lower;
  lower.reserve(aText.size());
  std::ranges::transform(aText, std::back_inserter(lower), LowerCharacter);
  return lower;
}

bool EqualIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return std::ranges::equal(aLeft, aRight, {}, LowerCharacter, LowerCharacter);
}

} // namespace toucanstand
