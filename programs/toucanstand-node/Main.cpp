#include "NodeProcess.h"
#include "commandline/ProgramStart.h"

int main(int aArgumentCount, char** aArguments)
{
  using namespace toucanstand;
  const ProgramDescription description = {
    "toucanstand-node",
    "Membership, configuration and observation of backend servers on an entry VM.",
    "",
    {},
  };
  NodeSettings settings;
  ExitCode code = ExitCode::Success;
  const auto commandLine = StartProgram(
    aArgumentCount,
    aArguments,
    description,
    [&settings](SettingsReader& aReader) { settings = ReadNodeSettings(aReader); },
    code);
  if (!commandLine) {
    return static_cast<int>(code);
  }
  return static_cast<int>(NodeProcess(settings).Run());
}
