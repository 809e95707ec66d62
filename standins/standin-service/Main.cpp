#include <algorithm>
#include <iostream>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "ServiceServer.h"
#include "commandline/CommandLine.h"
#include "common/OptionReader.h"
#include "common/StandinControl.h"
#include "logging/Logging.h"

using namespace toucanstand;

namespace {

constexpr std::int64_t kMostInstances = 1000;
constexpr double kHighestSlowFactor = 1e6;

ProgramDescription Description()
{
  return {
    "standin-service",
    "Plain service instances that record every run and whose answers can be checked.",
    "",
    { { "listen", 'L', "ADDRESS:PORT", "first instance; the others use the next ports" },
      { "control", 'C', "ADDRESS:PORT", "also serve /log and /fault here" },
      { "count", 'n', "N", "number of instances (1)" },
      { "name", 0, "PREFIX", "instances are named PREFIX-0, PREFIX-1, ... (service)" },
      { "slots", 's', "N", "requests that run at once (8)" },
      { "queue", 'q', "N", "requests that wait (256)" },
      { "latency-ms", 't', "MS", "from the start of a request to its answer (5)" },
      { "report-lag-ms", 0, "MS", "age of the load in /state (0)" } }
  };
}

struct Options
{
  Endpoint listen;
  Endpoint control;
  std::int64_t count = 1;
  std::string name;
  ServiceSettings service;
};

Options ReadOptions(const CommandLine& aCommandLine, OptionReader& aReader)
{
  Options options;
  options.listen = aReader.Address("listen", "127.0.0.1:0");
  options.control = aReader.Address("control", "127.0.0.1:0");
  options.count = aReader.Whole("count", 1, kMostInstances, 1);
  options.name = aCommandLine.ValueOr("name", "service");
  auto& service = options.service;
  service.slots = aReader.Whole("slots", 1, 10'000, 8);
  service.queueLimit = aReader.Whole("queue", 0, 100'000, 256);
  service.latency = aReader.Milliseconds("latency-ms", service.latency);
  service.reportLag = aReader.Milliseconds("report-lag-ms", service.reportLag);
  return options;
}

using Instances = std::vector<std::unique_ptr<ServiceServer>>;

/// Reads a fault of one instance, or of all when the key `instance` is missing.
std::function<void()> ReadFault(Instances& aInstances, SettingsReader& aReader)
{
  const auto last = static_cast<std::int64_t>(aInstances.size()) - 1;
  const bool one = aReader.Has("instance");
  const auto index = aReader.Whole("instance", 0, last, 0);
  std::vector<std::function<void(ServiceServer&)>> changes;
  if (aReader.Has("slow_factor")) {
    const double factor = aReader.Number("slow_factor", 1e-3, kHighestSlowFactor);
    changes.emplace_back(
      [factor](ServiceServer& aServer) { aServer.Faults().slowFactor = factor; });
  }
  if (aReader.Has("close_after_effect")) {
    const auto count = aReader.Whole("close_after_effect", 0, INT64_MAX);
    changes.emplace_back([count](ServiceServer& aServer) {
      aServer.Faults().closeAfterEffect = static_cast<std::uint64_t>(count);
    });
  }
  for (const auto& [key, flag] : { std::pair{ "refuse", &ServiceFaults::refuse },
                                   std::pair{ "leaving", &ServiceFaults::leaving } }) {
    if (aReader.Has(key)) {
      const bool value = aReader.Flag(key);
      changes.emplace_back(
        [flag, value](ServiceServer& aServer) { aServer.Faults().*flag = value; });
    }
  }
  if (aReader.Flag("silent", false)) {
    changes.emplace_back([](ServiceServer& aServer) { aServer.SilenceOpen(); });
  }
  if (aReader.Has("dead")) {
    const bool dead = aReader.Flag("dead");
    changes.emplace_back(
      [dead](ServiceServer& aServer) { dead ? aServer.Die() : aServer.Restart(); });
  }
  return [&aInstances, one, index, changes] {
    for (std::size_t number = 0; number < aInstances.size(); ++number) {
      if (one && number != static_cast<std::size_t>(index)) {
        continue;
      }
      for (const auto& change : changes) {
        change(*aInstances[number]);
      }
    }
  };
}

nlohmann::json DescribeLogs(const Instances& aInstances)
{
  auto logs = nlohmann::json::array();
  for (const auto& instance : aInstances) {
    logs.push_back(instance->Log());
  }
  return { { "instances", std::move(logs) } };
}

Result<Endpoint, ListenFailure> StartInstance(boost::asio::io_context& aLoop,
                                              MetricsRegistry& aMetrics,
                                              const Options& aOptions,
                                              const HttpServer::Handler& aControl,
                                              Instances& aInstances)
{
  const auto index = aInstances.size();
  Endpoint endpoint = aOptions.listen;
  if (endpoint.port != 0) {
    endpoint.port = static_cast<std::uint16_t>(endpoint.port + index);
  }
  ServiceSettings settings = aOptions.service;
  settings.server = aOptions.name + "-" + std::to_string(index);
  aInstances.push_back(
    std::make_unique<ServiceServer>(aLoop, aMetrics, std::move(settings), aControl));
  return aInstances.back()->Listen(endpoint);
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
  Instances instances;
  const StandinControl control{ [&instances] { return DescribeLogs(instances); },
                                [&instances](SettingsReader& aReader) {
                                  return ReadFault(instances, aReader);
                                } };
  const auto serveControl = [&control](HttpExchange& aExchange) {
    return control.Serve(aExchange);
  };
  std::vector<Endpoint> endpoints;
  for (std::int64_t index = 0; index < options.count; ++index) {
    const auto local = StartInstance(loop, metrics, options, serveControl, instances);
    if (!local) {
      std::cerr << description.name << ": instance " << index << " cannot listen\n";
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
