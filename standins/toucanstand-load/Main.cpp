#include <exception>
#include <fstream>
#include <iostream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "LoadRunner.h"
#include "commandline/ProgramStart.h"
#include "common/OptionReader.h"

using namespace toucanstand;

namespace {

ProgramDescription Description()
{
  return {
    "toucanstand-load",
    "Open-loop load generator. Checks every answer; exit status 1 if any was wrong.",
    "",
    { { "target", 't', "ADDRESS:PORT", "entry endpoint; may be repeated" },
      { "seed", 's', "N", "instead of the schedule's seed" },
      { "json", 'j', "FILE", "also write the result to FILE" } }
  };
}

bool ReadOverrides(const CommandLine& aCommandLine, LoadPlan& aPlan)
{
  OptionReader reader(aCommandLine, Description().name);
  const auto seed = static_cast<std::int64_t>(aPlan.seed);
  aPlan.seed = static_cast<std::uint64_t>(reader.Whole("seed", 0, INT64_MAX, seed));
  const auto targets = aCommandLine.AllValues("target");
  if (!targets.empty()) {
    aPlan.targets.clear();
  }
  for (const auto& text : targets) {
    if (const auto target = Endpoint::Parse(text)) {
      aPlan.targets.push_back(*target);
    } else {
      reader.Reject("target", "must be ADDRESS:PORT, got " + text);
    }
  }
  if (aPlan.targets.empty()) {
    reader.Reject("target", "or a list `targets` in the schedule is required");
  }
  return !reader.Failed();
}

bool WriteResult(const std::string& aPath, const LoadResult& aResult)
{
  std::ofstream file(aPath);
  file << aResult.Describe().dump(2) << '\n';
  file.flush();
  if (!file) {
    std::cerr << "cannot write " << aPath << '\n';
  }
  return static_cast<bool>(file);
}

} // namespace

int main(int aArgumentCount, char** aArguments)
{
  LoadPlan plan;
  ExitCode exitCode{};
  const auto commandLine = StartProgram(
    aArgumentCount,
    aArguments,
    Description(),
    [&plan](SettingsReader& aReader) { plan = ReadLoadPlan(aReader); },
    exitCode);
  if (!commandLine) {
    return static_cast<int>(exitCode);
  }
  if (!ReadOverrides(*commandLine, plan)) {
    return static_cast<int>(ExitCode::Usage);
  }

  boost::asio::io_context loop(1);
  MetricsRegistry metrics;
  LoadRunner runner(loop, metrics, plan);
  boost::asio::co_spawn(loop, runner.Run(), [&loop](std::exception_ptr aError) {
    loop.stop();
    if (aError) {
      std::rethrow_exception(aError);
    }
  });
  loop.run();

  std::cout << runner.Result().Table();
  bool success = !runner.Result().AnyWrong();
  if (commandLine->Has("json")) {
    success = WriteResult(commandLine->ValueOr("json", ""), runner.Result()) && success;
  }
  return static_cast<int>(success ? ExitCode::Success : ExitCode::Failure);
}
