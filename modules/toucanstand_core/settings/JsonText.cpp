#include "settings/JsonText.h"

#include <nlohmann/json.hpp>

#include "serialization/BoundedJson.h"

namespace toucanstand {

Result<nlohmann::json, SettingsError> ParseBoundedJson(std::string_view aText,
                                                       std::size_t aMaximumBytes)
{
  auto document =
    DecodeJson(aText, { aMaximumBytes, static_cast<std::size_t>(kMaximumJsonDepth) });
  if (document) {
    return std::move(*document);
  }
  if (document.LastReason() == DecodeFailure::TooLarge) {
    return SettingsError{
      "", "", SettingsRule::InRange, "at most " + std::to_string(aMaximumBytes) + " bytes"
    };
  }
  return SettingsError{ "", "", SettingsRule::ValidJson, "" };
}

} // namespace toucanstand
