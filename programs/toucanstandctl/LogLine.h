#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "errors/Result.h"

namespace toucanstand {

/// One line of a process's decision log.
struct LogLine
{
  /// By the clock of the VM that wrote it.
  std::int64_t unixMs = 0;
  std::string vm;
  std::string event;
  /// All fields of the line.
  nlohmann::json fields;

  [[nodiscard]] std::string Text(const char* aField) const;
  [[nodiscard]] std::int64_t IntegerOrZero(const char* aField) const;
};

/// Why a line was skipped.
enum class LogLineFailure
{
  /// It holds no JSON object, as other output of a process.
  NotALogLine,
  /// Cut, damaged, or without one of the fields that every line has.
  Damaged,
};

/// Reads a line; text before the object, such as a collector's time, is skipped.
[[nodiscard]] Result<LogLine, LogLineFailure> ReadLogLine(std::string_view aText);

/// Text of a log field for a terminal: control characters are replaced, and what is
/// longer than a line is cut.
[[nodiscard]] std::string Printable(std::string_view aText);

} // namespace toucanstand
