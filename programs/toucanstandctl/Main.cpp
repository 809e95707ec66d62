#include <iostream>

#include "Commands.h"
#include "logging/Logging.h"

int main(int aArgumentCount, char** aArguments)
{
  using namespace toucanstand;
  const ProgramDescription description = {
    "toucanstandctl",
    "Shows the state of the system and changes its configuration.\n\n" +
      Commands::Usage(),
    "COMMAND",
    { { "node", 'n', "ADDRESS:PORT", "operator endpoint of a toucanstand-node" },
      { "store", 's', "ADDRESS:PORT", "the platform's store" },
      { "author", 'a', "NAME", "author of a change ($USER)" },
      { "reason", 'r', "TEXT", "why the change is made" },
      { "json", 'j', "", "print JSON" },
      { "wait", 'w', "", "wait until the change is accepted" } },
  };
  ExitCode code = ExitCode::Success;
  const auto commandLine =
    ParseCommandLine(aArgumentCount, aArguments, description, code);
  if (!commandLine) {
    return static_cast<int>(code);
  }
  const auto settings = ReadControlSettings(*commandLine);
  if (!settings) {
    return static_cast<int>(ExitCode::Usage);
  }
  if (commandLine->Has("check-settings")) {
    std::cout << "settings are valid\n";
    return static_cast<int>(ExitCode::Success);
  }
  ConfigureLogging("toucanstandctl",
                   commandLine->ValueOr("log-level", "warn"),
                   commandLine->ValueOr("log-format", "text") == "json"
                     ? LogFormat::JsonLines
                     : LogFormat::Text);
  return static_cast<int>(Commands(*settings).Run(commandLine->positional));
}
