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

/// Longest text of a configuration; the store accepts no larger values (R43).
inline constexpr std::size_t kMaximumConfigurationBytes = 1000 * 1000;
/// Most exceptions; the list is meant to be short enough to read (R11).
inline constexpr std::size_t kMaximumExceptions = 256;
/// Longest reason, author or nonce.
inline constexpr std::size_t kMaximumTextFieldBytes = 1024;

/// Reads and validates the JSON text of a configuration as a whole.
///
/// @returns the document, or every broken rule with its path and value
[[nodiscard]] Result<ConfigurationDocument, std::vector<SettingsError>>
ParseConfiguration(std::string_view aText);

/// The error of a text that is not JSON within the bounds.
[[nodiscard]] SettingsError DecodeError(DecodeFailure aFailure);

/// Scopes in which an exception lets nodes serve while isolated. Acceptance does not
/// cover them: they may work on an older revision.
[[nodiscard]] std::vector<Scope> ScopesServingIsolated(
  const ConfigurationDocument& aDocument);

} // namespace toucanstand
