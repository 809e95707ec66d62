#pragma once

#include <functional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "document/ConfigurationDocument.h"
#include "settings/SettingsError.h"

namespace toucanstand {

/// Edits a configuration in its JSON form. Returns errors if the edit cannot be made. The
/// edited document is validated as a whole afterwards.
using ConfigurationEdit = std::function<std::vector<SettingsError>(nlohmann::json&)>;

/// Returns an edit that sets one default.
///
/// @param aPath for example `/routing/strategy`. An item of a list is selected by
///   its index, name, id or pool: `/contracts/chat/worth`
/// @param aValue JSON text, or plain text for a string
[[nodiscard]] ConfigurationEdit SetDefault(std::string aPath, std::string aValue);

/// Returns an edit that adds an exception, or replaces the one for the same scope.
/// @param aValues JSON text of an object with the values to set
[[nodiscard]] ConfigurationEdit PutException(Scope aScope,
                                             std::string aReason,
                                             std::string aValues);

/// Returns an edit that removes the exception for a scope.
[[nodiscard]] ConfigurationEdit RemoveException(Scope aScope);

/// Returns an edit that replaces the defaults and exceptions by those of a JSON text.
[[nodiscard]] ConfigurationEdit ReplaceConfiguration(std::string aText);

/// Parses `kind/name`. @returns nothing when malformed
[[nodiscard]] std::optional<Scope> ParseScope(const std::string& aText);

} // namespace toucanstand
