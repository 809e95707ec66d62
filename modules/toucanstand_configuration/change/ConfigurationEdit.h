#pragma once

#include <functional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "document/ConfigurationDocument.h"
#include "settings/SettingsError.h"

namespace toucanstand {

/// Changes a configuration in its JSON form. Returns what is wrong with the change;
/// empty when it was made. The result is validated afterwards as a whole.
using ConfigurationEdit = std::function<std::vector<SettingsError>(nlohmann::json&)>;

/// Sets one default.
///
/// @param aPath like `/routing/strategy`; an item of a list is named by its index or by
///   its name, id or pool: `/contracts/chat/worth`
/// @param aValue JSON text, or plain text for a string
[[nodiscard]] ConfigurationEdit SetDefault(std::string aPath, std::string aValue);

/// Adds an exception, or replaces the one for the same scope.
/// @param aValues JSON text of the object of values to set
[[nodiscard]] ConfigurationEdit PutException(Scope aScope,
                                             std::string aReason,
                                             std::string aValues);

/// Removes the exception for a scope.
[[nodiscard]] ConfigurationEdit RemoveException(Scope aScope);

/// Replaces defaults and exceptions by those of a JSON text.
[[nodiscard]] ConfigurationEdit ReplaceConfiguration(std::string aText);

/// Reads `kind/name`. @returns nothing when malformed
[[nodiscard]] std::optional<Scope> ParseScope(const std::string& aText);

} // namespace toucanstand
