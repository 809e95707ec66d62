#include "EntryProcess.h"
#include "commandline/ProgramStart.h"

int main(int aArgumentCount, char** aArguments)
{
  using namespace toucanstand;
  const ProgramDescription description = {
    "toucanstand-entry",
    "Takes callers' HTTP requests to replica groups and plain services.",
    "",
    {},
  };
  EntrySettings settings;
  ExitCode code = ExitCode::Success;
  const auto commandLine = StartProgram(
    aArgumentCount,
    aArguments,
    description,
    [&settings](SettingsReader& aReader) { settings = ReadEntrySettings(aReader); },
    code);
  if (!commandLine) {
    return static_cast<int>(code);
  }
  return static_cast<int>(EntryProcess(settings).Run());
}
