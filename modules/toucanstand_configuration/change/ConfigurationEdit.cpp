#include "change/ConfigurationEdit.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>
#include <utility>

#include <nlohmann/json.hpp>

#include "document/ConfigurationText.h"
#include "serialization/BoundedJson.h"

namespace toucanstand {

namespace {

using nlohmann::json;

json ParseValue(const std::string& aText)
{
  auto value = DecodeJson(aText, { kMaximumConfigurationBytes });
  return value ? std::move(*value) : json(aText);
}

std::vector<std::string> SplitPath(const std::string& aPath)
{
  std::vector<std::string> parts;
  std::istringstream in(aPath);
  for (std::string part; std::getline(in, part, '/');) {
    if (!part.empty()) {
      parts.push_back(part);
    }
  }
  return parts;
}

bool HasName(const json& aItem, const std::string& aName)
{
  constexpr std::array kNameKeys = { "name", "id", "pool" };
  // Only the first of these keys that the item has is compared. A contract also has a
  // pool, but is selected only by its name.
  for (const auto* key : kNameKeys) {
    if (aItem.is_object() && aItem.contains(key)) {
      return aItem[key] == aName;
    }
  }
  return false;
}

json* FindItem(json& aList, const std::string& aPart)
{
  std::size_t index = 0;
  const char* const last = aPart.data() + aPart.size();
  const auto [end, error] = std::from_chars(aPart.data(), last, index);
  if (error == std::errc{} && end == last) {
    return index < aList.size() ? &aList[index] : nullptr;
  }
  const auto found = std::ranges::find_if(
    aList, [&aPart](const json& aItem) { return HasName(aItem, aPart); });
  return found == aList.end() ? nullptr : &*found;
}

/// Returns the value at a path and creates missing object members on the way; null when
/// an item of a list is missing or the path goes through a scalar.
json* FindOrCreateValue(json& aRoot, const std::vector<std::string>& aParts)
{
  json* value = &aRoot;
  for (const auto& part : aParts) {
    if (value->is_array()) {
      value = FindItem(*value, part);
    } else if (value->is_object() || value->is_null()) {
      value = &(*value)[part];
    } else {
      value = nullptr;
    }
    if (value == nullptr) {
      return nullptr;
    }
  }
  return value;
}

json ScopeJson(const Scope& aScope)
{
  return { { "kind", Name(aScope.kind) }, { "name", aScope.name } };
}

std::size_t EraseException(json& aDocument, const Scope& aScope)
{
  auto& exceptions = aDocument["exceptions"];
  if (!exceptions.is_array()) {
    exceptions = json::array();
  }
  json remaining = json::array();
  for (const auto& exception : exceptions) {
    if (!exception.is_object() || !exception.contains("scope") ||
        exception["scope"] != ScopeJson(aScope)) {
      remaining.push_back(exception);
    }
  }
  const auto erased = exceptions.size() - remaining.size();
  exceptions = std::move(remaining);
  return erased;
}

} // namespace

ConfigurationEdit SetDefault(std::string aPath, std::string aValue)
{
  return [path = std::move(aPath),
          value = std::move(aValue)](json& aDocument) -> std::vector<SettingsError> {
    const auto parts = SplitPath(path);
    auto* target =
      parts.empty() ? nullptr : FindOrCreateValue(aDocument["defaults"], parts);
    if (target == nullptr) {
      return { { "/defaults" + path, value, SettingsRule::KnownKey, "no such setting" } };
    }
    *target = ParseValue(value);
    return {};
  };
}

ConfigurationEdit PutException(Scope aScope, std::string aReason, std::string aValues)
{
  return [scope = std::move(aScope),
          reason = std::move(aReason),
          values = std::move(aValues)](json& aDocument) -> std::vector<SettingsError> {
    EraseException(aDocument, scope);
    aDocument["exceptions"].push_back({ { "scope", ScopeJson(scope) },
                                        { "reason", reason },
                                        { "set", ParseValue(values) } });
    return {};
  };
}

ConfigurationEdit RemoveException(Scope aScope)
{
  return [scope = std::move(aScope)](json& aDocument) -> std::vector<SettingsError> {
    if (EraseException(aDocument, scope) == 0) {
      return {
        { "/exceptions", Describe(scope), SettingsRule::Consistent, "no such exception" }
      };
    }
    return {};
  };
}

ConfigurationEdit ReplaceConfiguration(std::string aText)
{
  return [text = std::move(aText)](json& aDocument) -> std::vector<SettingsError> {
    auto replacement = DecodeJson(text, { kMaximumConfigurationBytes });
    if (!replacement) {
      return { DecodeError(replacement.LastReason()) };
    }
    if (!replacement->is_object()) {
      return { { "", "", SettingsRule::IsObject, "" } };
    }
    aDocument = std::move(*replacement);
    return {};
  };
}

std::optional<Scope> ParseScope(const std::string& aText)
{
  const auto slash = aText.find('/');
  for (std::size_t index = 0; index < kScopeKindCount; ++index) {
    const auto kind = static_cast<ScopeKind>(index);
    if (slash != std::string::npos && slash + 1 < aText.size() &&
        aText.substr(0, slash) == Name(kind)) {
      return Scope{ kind, aText.substr(slash + 1) };
    }
  }
  return std::nullopt;
}

} // namespace toucanstand
