#pragma once

#include <string>

namespace toucanstand {

/// The rule that a setting broke.
enum class SettingsRule
{
  ReadableFile,
  ValidJson,
  IsObject,
  KnownKey,
  Required,
  IsText,
  IsNumber,
  IsFlag,
  IsList,
  InRange,
  OneOf,
  Consistent,
};

/// One broken rule: where, which value, which rule.
struct SettingsError
{
  /// Path of the setting, for example `/listen/port`.
  std::string path;
  /// The offending value as JSON text; empty when there is none.
  std::string value;
  SettingsRule rule = SettingsRule::Required;
  /// What the rule expects, for example `1 to 65535`.
  std::string expectation;
};

/// Name of a rule for messages.
[[nodiscard]] const char* Name(SettingsRule aRule);

/// One line for an operator: path, value and rule.
[[nodiscard]] std::string Describe(const SettingsError& aError);

} // namespace toucanstand
