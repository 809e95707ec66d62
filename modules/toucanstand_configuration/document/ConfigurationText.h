#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "document/ConfigurationDocument.h"
#include "errors/Result.h"
#include "serialization/BoundedJson.h"
#include "settings/SettingsError.h"

namespace toucanstand {

/// Maximum length of the JSON text; the store accepts no larger values.
inline constexpr std::size_t kMaximumConfigurationBytes = 1000 * 1000;
/// Maximum number of exceptions, so that an operator can read the whole list.
inline constexpr std::size_t kMaximumExceptions = 256;
/// Maximum length in bytes of a text field, such as a reason, author or nonce.
inline constexpr std::size_t kMaximumTextFieldBytes = 1024;

/// Parses and validates the JSON text of a configuration.
///
/// @returns the document, or all violated rules with path and value
[[nodiscard]] Result<ConfigurationDocument, std::vector<SettingsError>>
ParseConfiguration(std::string_view aText);

/// The error for a text that is too large or not valid JSON.
[[nodiscard]] SettingsError DecodeError(DecodeFailure aFailure);

/// Scopes in which an exception lets nodes serve while isolated. Nodes in these scopes
/// may still use an older revision after a revision is accepted.
[[nodiscard]] std::vector<Scope> ScopesServingIsolated(
  const ConfigurationDocument& aDocument);

} // namespace toucanstand
