#include "GroupsProcess.h"
#include "commandline/ProgramStart.h"

int main(int aArgumentCount, char** aArguments)
{
  using namespace toucanstand;
  const ProgramDescription description = {
    "toucanstand-groups",
    "Forms the replica groups of fabric domains and orders engines into them.",
    "",
    {},
  };
  GroupsSettings settings;
  ExitCode code = ExitCode::Success;
  const auto commandLine = StartProgram(
    aArgumentCount,
    aArguments,
    description,
    [&settings](SettingsReader& aReader) { settings = ReadGroupsSettings(aReader); },
    code);
  if (!commandLine) {
    return static_cast<int>(code);
  }
  return static_cast<int>(GroupsProcess(settings).Run());
}
