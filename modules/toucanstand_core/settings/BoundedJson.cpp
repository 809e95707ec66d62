#include "settings/BoundedJson.h"

#include <string>

#include <nlohmann/json.hpp>

namespace toucanstand {

Result<nlohmann::json, SettingsError> ParseBoundedJson(std::string_view aText,
                                                       std::size_t aMaximumBytes)
{
  if (aText.size() > aMaximumBytes) {
    return SettingsError{ "",
                          std::to_string(aText.size()) + " bytes",
                          SettingsRule::InRange,
                          "at most " + std::to_string(aMaximumBytes) + " bytes" };
  }
  // nlohmann writes nested values recursively, so a megabyte of opening brackets that
  // ends up in an error message would exhaust the stack.
  bool tooDeep = false;
  const auto limitDepth =
    [&tooDeep](int aDepth, nlohmann::json::parse_event_t, nlohmann::json&) {
      tooDeep = tooDeep || aDepth > kMaximumJsonDepth;
      return !tooDeep;
    };
  auto document = nlohmann::json::parse(aText, limitDepth, false);
  if (tooDeep) {
    return SettingsError{ "", "", SettingsRule::ValidJson, "nested too deeply" };
  }
  if (document.is_discarded()) {
    return SettingsError{ "", "", SettingsRule::ValidJson, "" };
  }
  return document;
}

} // namespace toucanstand
