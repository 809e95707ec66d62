#include "LedgerProcess.h"
#include "commandline/ProgramStart.h"

int main(int aArgumentCount, char** aArguments)
{
  using namespace toucanstand;
  const ProgramDescription description = {
    "toucanstand-ledger",
    "Keeps claims for calls that must not be repeated.",
    "",
    {},
  };
  LedgerSettings settings;
  ExitCode code = ExitCode::Success;
  const auto commandLine = StartProgram(
    aArgumentCount,
    aArguments,
    description,
    [&settings](SettingsReader& aReader) { settings = ReadLedgerSettings(aReader); },
    code);
  if (!commandLine) {
    return static_cast<int>(code);
  }
  return static_cast<int>(LedgerProcess(settings).Run());
}
