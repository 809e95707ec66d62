#pragma once

#include <functional>
#include <optional>

#include "commandline/CommandLine.h"
#include "settings/SettingsReader.h"

namespace toucanstand {

/// Reads the file of --config into settings through the given function, and sets up
/// logging.
///
/// @returns the command line when the program should run; nothing when it should end with
///   aExitCode: usage was wrong, a setting broke a rule (each is printed), or only
///   --check-settings was asked for.
[[nodiscard]] std::optional<CommandLine> StartProgram(
  int aArgumentCount,
  char** aArguments,
  const ProgramDescription& aDescription,
  const std::function<void(SettingsReader&)>& aReadSettings,
  ExitCode& aExitCode);

} // namespace toucanstand
