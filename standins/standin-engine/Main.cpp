#include <algorithm>
#include <iostream>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "EngineServer.h"
#include "commandline/CommandLine.h"
#include "common/OptionReader.h"
#include "common/StandinControl.h"
#include "logging/Logging.h"

using namespace toucanstand;

namespace {

constexpr std::int64_t kMostEngines = 1000;
constexpr double kHighestSlowFactor = 1e6;
constexpr Duration kLongestStateDelay = std::chrono::minutes(1);

ProgramDescription Description()
{
  return {
    "standin-engine",
    "Model engines with continuous batching whose answers can be checked.",
    "",
    { { "listen", 'L', "ADDRESS:PORT", "first engine; the others use the next ports" },
      { "control", 'C', "ADDRESS:PORT", "also serve /log and /fault here" },
      { "count", 'n', "N", "number of engines (1)" },
      { "name", 0, "PREFIX", "engines are named PREFIX-0, PREFIX-1, ... (engine)" },
      { "slots", 's', "N", "requests that run at once (8)" },
      { "queue", 'q', "N", "requests that wait (64)" },
      { "tokens-per-second", 't', "N", "of a request that runs alone (100)" },
      { "batch-slowdown", 0, "X", "longer step with all slots in use (0.5 is half)" },
      { "prefill-ms", 0, "MS", "before the first token of an uncached prefix (20)" },
      { "prefix-capacity", 0, "N", "cached prompt prefixes (64)" },
      { "report-lag-ms", 0, "MS", "age of the load in /state (200)" },
      { "load-ms", 0, "MS", "between a control order and its effect (500)" },
      { "restart-ms", 0, "MS", "time that a crashed engine stays dead (2000)" },
      { "crash-on", 0, "TEXT", "a prompt with TEXT crashes the engine (crash_on)" },
      { "ignore-fence", 0, "", "take orders with a stale fencing token" },
      { "ignore-disconnect", 0, "", "finish runs whose connection closed" } }
  };
}

struct Options
{
  Endpoint listen;
  Endpoint control;
  std::int64_t count = 1;
  std::string name;
  EngineSettings engine;
  EngineServerOptions server;
};

Options ReadOptions(const CommandLine& aCommandLine, OptionReader& aReader)
{
  Options options;
  options.listen = aReader.Address("listen", "127.0.0.1:0");
  options.control = aReader.Address("control", "127.0.0.1:0");
  options.count = aReader.Whole("count", 1, kMostEngines, 1);
  options.name = aCommandLine.ValueOr("name", "engine");
  auto& engine = options.engine;
  engine.slots = aReader.Whole("slots", 1, 10'000, 8);
  engine.queueLimit = aReader.Whole("queue", 0, 100'000, 64);
  engine.tokensPerSecond = aReader.Number("tokens-per-second", 0.01, 1e5, 100);
  engine.batchSlowdown = aReader.Number("batch-slowdown", 0, 100, 0.5);
  engine.prefill = aReader.Milliseconds("prefill-ms", engine.prefill);
  engine.prefixCapacity = aReader.Whole("prefix-capacity", 1, 100'000, 64);
  engine.reportLag = aReader.Milliseconds("report-lag-ms", engine.reportLag);
  engine.load = aReader.Milliseconds("load-ms", engine.load);
  engine.ignoreFence = aCommandLine.Has("ignore-fence");
  options.server.restart = aReader.Milliseconds("restart-ms", options.server.restart);
  options.server.crashOn = aCommandLine.ValueOr("crash-on", "crash_on");
  options.server.ignoreDisconnect = aCommandLine.Has("ignore-disconnect");
  return options;
}

using Fleet = std::vector<std::unique_ptr<EngineServer>>;

/// Reads a fault of one engine, or of all when the key `engine` is missing.
std::function<void()> ReadFault(Fleet& aFleet, SettingsReader& aReader)
{
  const auto last = static_cast<std::int64_t>(aFleet.size()) - 1;
  const bool one = aReader.Has("engine");
  const auto index = aReader.Whole("engine", 0, last, 0);
  std::vector<std::function<void(EngineServer&)>> changes;
  if (aReader.Has("slow_factor")) {
    const double factor = aReader.Number("slow_factor", 1e-3, kHighestSlowFactor);
    changes.emplace_back(
      [factor](EngineServer& aEngine) { aEngine.SetSlowFactor(factor); });
  }
  const bool refuse = aReader.Flag("refuse", false);
  if (aReader.Has("leaving")) {
    const bool leaving = aReader.Flag("leaving");
    changes.emplace_back(
      [leaving, refuse](EngineServer& aEngine) { aEngine.SetLeaving(leaving, refuse); });
  }
  if (aReader.Flag("silent", false)) {
    changes.emplace_back([](EngineServer& aEngine) { aEngine.SilenceOpen(); });
  }
  if (aReader.Has("state_delay_ms")) {
    const auto delay =
      aReader.Milliseconds("state_delay_ms", Duration::zero(), kLongestStateDelay);
    changes.emplace_back(
      [delay](EngineServer& aEngine) { aEngine.SetStateDelay(delay); });
  }
  if (aReader.Flag("break_open", false)) {
    changes.emplace_back([](EngineServer& aEngine) { aEngine.BreakOpen(); });
  }
  if (aReader.Has("dead")) {
    const bool dead = aReader.Flag("dead");
    changes.emplace_back([dead](EngineServer& aEngine) {
      dead ? aEngine.Die(std::nullopt) : aEngine.Restart();
    });
  }
  return [&aFleet, one, index, changes] {
    for (std::size_t number = 0; number < aFleet.size(); ++number) {
      if (one && number != static_cast<std::size_t>(index)) {
        continue;
      }
      for (const auto& change : changes) {
        change(*aFleet[number]);
      }
    }
  };
}

nlohmann::json DescribeLogs(const Fleet& aFleet)
{
  auto engines = nlohmann::json::array();
  for (const auto& engine : aFleet) {
    engines.push_back(engine->Log());
  }
  return { { "engines", std::move(engines) } };
}

Result<Endpoint, ListenFailure> StartEngine(boost::asio::io_context& aLoop,
                                            MetricsRegistry& aMetrics,
                                            const Options& aOptions,
                                            const HttpServer::Handler& aControl,
                                            Fleet& aFleet)
{
  const auto index = aFleet.size();
  Endpoint endpoint = aOptions.listen;
  if (endpoint.port != 0) {
    endpoint.port = static_cast<std::uint16_t>(endpoint.port + index);
  }
  EngineSettings settings = aOptions.engine;
  settings.server = aOptions.name + "-" + std::to_string(index);
  aFleet.push_back(std::make_unique<EngineServer>(
    aLoop, aMetrics, std::move(settings), aOptions.server, aControl));
  return aFleet.back()->Listen(endpoint);
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
  const Options options = ReadOptions(*commandLine, reader);
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
  Fleet fleet;
  const StandinControl control{ [&fleet] { return DescribeLogs(fleet); },
                                [&fleet](SettingsReader& aReader) {
                                  return ReadFault(fleet, aReader);
                                } };
  const auto serveControl = [&control](HttpExchange& aExchange) {
    return control.Serve(aExchange);
  };
  std::vector<Endpoint> endpoints;
  for (std::int64_t index = 0; index < options.count; ++index) {
    const auto local = StartEngine(loop, metrics, options, serveControl, fleet);
    if (!local) {
      std::cerr << description.name << ": engine " << index << " cannot listen\n";
      return static_cast<int>(ExitCode::Failure);
    }
    endpoints.push_back(*local);
  }
  HttpServer controlServer(loop, HttpServerLimits{}, serveControl, metrics);
  std::ranges::for_each(endpoints, [](const Endpoint& aEndpoint) {
    AnnounceEndpoint("listening", aEndpoint);
  });
  if (!AnnounceControl(controlServer, *commandLine, options.control)) {
    return static_cast<int>(ExitCode::Failure);
  }
  loop.run();
  return static_cast<int>(ExitCode::Success);
}
