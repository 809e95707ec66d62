#include "commandline/ProgramStart.h"

#include <iostream>

#include <nlohmann/json.hpp>

#include "logging/Logging.h"

namespace toucanstand {

std::optional<CommandLine> StartProgram(
  int aArgumentCount,
  char** aArguments,
  const ProgramDescription& aDescription,
  const std::function<void(SettingsReader&)>& aReadSettings,
  ExitCode& aExitCode)
{
  auto commandLine =
    ParseCommandLine(aArgumentCount, aArguments, aDescription, aExitCode);
  if (!commandLine) {
    return std::nullopt;
  }
  aExitCode = ExitCode::Usage;
  if (!commandLine->Has("config")) {
    std::cerr << aDescription.name << ": --config=FILE is required\n";
    return std::nullopt;
  }
  const auto document = ReadJsonFile(commandLine->ValueOr("config", ""));
  if (!document) {
    std::cerr << aDescription.name << ": " << Describe(document.LastReason()) << '\n';
    return std::nullopt;
  }
  SettingsReader reader(*document);
  aReadSettings(reader);
  reader.Finish();
  for (const auto& error : reader.Errors()) {
    std::cerr << aDescription.name << ": " << Describe(error) << '\n';
  }
  if (!reader.Errors().empty()) {
    return std::nullopt;
  }
  aExitCode = ExitCode::Success;
  if (commandLine->Has("check-settings")) {
    std::cout << "settings are valid\n";
    return std::nullopt;
  }
  ConfigureLogging(aDescription.name,
                   commandLine->ValueOr("log-level", "info"),
                   commandLine->ValueOr("log-format", "text") == "json"
                     ? LogFormat::JsonLines
                     : LogFormat::Text);
  return commandLine;
}

} // namespace toucanstand
