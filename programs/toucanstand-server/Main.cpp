#include "ServerProcess.h"
#include "commandline/ProgramStart.h"

int main(int aArgumentCount, char** aArguments)
{
  using namespace toucanstand;
  const ProgramDescription description = {
    "toucanstand-server",
    "Serves callers on the users' platform: routing, admission, replica groups and "
    "configuration in one process on each entry VM.",
    "",
    {},
  };
  ServerSettings settings;
  ExitCode code = ExitCode::Success;
  const auto commandLine = StartProgram(
    aArgumentCount,
    aArguments,
    description,
    [&settings](SettingsReader& aReader) { settings = ReadServerSettings(aReader); },
    code);
  if (!commandLine) {
    return static_cast<int>(code);
  }
  ServerProcess process(settings, commandLine->ValueOr("config", ""));
  return static_cast<int>(process.Run());
}
