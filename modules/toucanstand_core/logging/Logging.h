#pragma once

#include <string>

namespace toucanstand {

/// How log lines are written.
enum class LogFormat
{
  Text,
  JsonLines,
};

/// Sets up spdlog's default logger to write to standard error.
///
/// @param aProgram name in each line
/// @param aLevel one of trace, debug, info, warn, error, off
void ConfigureLogging(const std::string& aProgram,
                      const std::string& aLevel,
                      LogFormat aFormat);

} // namespace toucanstand
