#include <iostream>

#include <boost/asio/io_context.hpp>

#include "StoreServer.h"
#include "commandline/CommandLine.h"
#include "common/OptionReader.h"
#include "logging/Logging.h"

using namespace toucanstand;

namespace {

constexpr std::int64_t kDefaultHistory = 20'000;

ProgramDescription Description()
{
  return { "standin-store",
           "Key-value store with a subset of etcd's JSON gateway, in memory.",
           "",
           { { "listen", 'L', "ADDRESS:PORT", "address to serve on" },
             { "history", 0, "N", "changes kept for watches from the past (20000)" } } };
}

} // namespace

int main(int aArgumentCount, char** aArguments)
{
  ExitOnTermination();
  const auto description = Description();
  ExitCode exitCode{};
  const auto commandLine =
    ParseCommandLine(aArgumentCount, aArguments, description, exitCode);
  if (!commandLine) {
    return static_cast<int>(exitCode);
  }
  OptionReader reader(*commandLine, description.name);
  const auto listen = reader.Address("listen", "127.0.0.1:0");
  const auto history = reader.Whole("history", 1, 10'000'000, kDefaultHistory);
  if (reader.Failed()) {
    return static_cast<int>(ExitCode::Usage);
  }
  if (commandLine->Has("check-settings")) {
    return static_cast<int>(ExitCode::Success);
  }
  ConfigureLogging(
    description.name, commandLine->ValueOr("log-level", "info"), LogFormat::Text);

  boost::asio::io_context loop(1);
  MetricsRegistry metrics;
  StoreServer server(loop, metrics, static_cast<std::size_t>(history));
  const auto local = server.Listen(listen);
  if (!local) {
    std::cerr << description.name << ": cannot listen on " << listen.Text() << '\n';
    return static_cast<int>(ExitCode::Failure);
  }
  AnnounceEndpoint("listening", *local);
  loop.run();
  return static_cast<int>(ExitCode::Success);
}
