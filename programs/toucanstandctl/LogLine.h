#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "errors/Result.h"

namespace toucanstand {

/// One line of the decision log of a process.
struct LogLine
{
  /// Milliseconds since the Unix epoch, by the clock of the VM that wrote the line.
  std::int64_t unixMs = 0;
  std::string vm;
  std::string event;
  /// All fields of the line.
  nlohmann::json fields;

  /// Returns the field as printable text, or "?" if it is missing.
  [[nodiscard]] std::string Text(const char* aField) const;
  /// Returns the field as an integer, or 0 if it is missing or not a number.
  [[nodiscard]] std::int64_t IntegerOrZero(const char* aField) const;
};

/// Reason why a line was skipped.
enum class LogLineFailure
{
  /// The line contains no JSON object; it is other output of a process.
  NotALogLine,
  /// The JSON object is truncated or invalid, or a field that every line has is missing.
  Damaged,
};

/// Parses a log line. Text before the JSON object, such as a timestamp that a log
/// collector adds, is skipped.
[[nodiscard]] Result<LogLine, LogLineFailure> ReadLogLine(std::string_view aText);

/// Makes the text of a log field safe for a terminal: replaces control and non-ASCII
/// characters and truncates long text.
[[nodiscard]] std::string Printable(std::string_view aText);

} // namespace toucanstand
