#include "settings/SettingsError.h"

#include <array>

namespace toucanstand {

const char* Name(SettingsRule aRule)
{
  constexpr std::array kNames = {
    "the file must be readable",
    "the text must be valid JSON",
    "must be an object",
    "unknown key",
    "required",
    "must be a string",
    "must be a number",
    "must be true or false",
    "must be a list",
    "must be in range",
    "must be one of",
    "must be consistent",
  };
  return kNames.at(static_cast<std::size_t>(aRule));
}

std::string Describe(const SettingsError& aError)
{
  std::string line = aError.path.empty() ? "/" : aError.path;
  line += ": ";
  line += Name(aError.rule);
  if (!aError.expectation.empty()) {
    line += " (" + aError.expectation + ")";
  }
  if (!aError.value.empty()) {
    line += ", got " + aError.value;
  }
  return line;
}

} // namespace toucanstand
