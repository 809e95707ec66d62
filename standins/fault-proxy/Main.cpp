#include <algorithm>
#include <iostream>
#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/system/system_error.hpp>
#include <nlohmann/json.hpp>

#include "TcpProxy.h"
#include "commandline/CommandLine.h"
#include "common/OptionReader.h"
#include "common/StandinControl.h"
#include "logging/Logging.h"

using namespace toucanstand;

namespace {

constexpr Duration kLongestDelay = std::chrono::hours(1);

ProgramDescription Description()
{
  return { "fault-proxy",
           "TCP proxy with fault injection and any number of mappings.",
           "",
           { { "listen", 'L', "ADDRESS:PORT", "address of the first mapping" },
             { "to", 't', "ADDRESS:PORT", "target of the first mapping" },
             { "map", 'm', "LISTEN=TARGET", "a further mapping; may be repeated" },
             { "control", 'C', "ADDRESS:PORT", "serve /log and /fault here" } } };
}

struct Mapping
{
  Endpoint listen;
  Endpoint target;
};

std::optional<Mapping> ParseMapping(const std::string& aText)
{
  const auto separator = aText.find('=');
  if (separator == std::string::npos) {
    return std::nullopt;
  }
  const auto listen = Endpoint::Parse(aText.substr(0, separator));
  const auto target = Endpoint::Parse(aText.substr(separator + 1));
  return listen && target ? std::optional(Mapping{ *listen, *target }) : std::nullopt;
}

std::vector<Mapping> ReadMappings(const CommandLine& aCommandLine, OptionReader& aReader)
{
  std::vector<Mapping> mappings;
  if (aCommandLine.Has("to")) {
    mappings.push_back(
      { aReader.Address("listen", "127.0.0.1:0"), aReader.Address("to", "") });
  }
  for (const auto& text : aCommandLine.AllValues("map")) {
    if (const auto mapping = ParseMapping(text)) {
      mappings.push_back(*mapping);
    } else {
      aReader.Reject("map", "must be LISTEN=TARGET, got " + text);
    }
  }
  if (mappings.empty()) {
    aReader.Reject("map", "or --to is required");
  }
  return mappings;
}

using Proxies = std::vector<std::unique_ptr<TcpProxy>>;

/// Reads a fault of one mapping, or of all when the key `mapping` is missing. Keys that
/// are missing keep their values, and `pass` first ends all faults.
std::function<void()> ReadFault(Proxies& aProxies, SettingsReader& aReader)
{
  const auto last = static_cast<std::int64_t>(aProxies.size()) - 1;
  const bool one = aReader.Has("mapping");
  const auto index = aReader.Whole("mapping", 0, last, 0);
  const bool pass = aReader.Flag("pass", false);
  const bool blackhole = aReader.Flag("blackhole_open", false);
  std::vector<std::function<void(ProxyFaults&)>> changes;
  for (const auto& [key, flag] :
       { std::pair{ "cut_to_target", &ProxyFaults::cutToTarget },
         std::pair{ "cut_to_client", &ProxyFaults::cutToClient },
         std::pair{ "refuse", &ProxyFaults::refuse } }) {
    if (aReader.Has(key)) {
      const bool value = aReader.Flag(key);
      changes.emplace_back(
        [flag, value](ProxyFaults& aFaults) { aFaults.*flag = value; });
    }
  }
  if (aReader.Has("delay_ms")) {
    const auto delay = aReader.Milliseconds("delay_ms", Duration::zero(), kLongestDelay);
    changes.emplace_back([delay](ProxyFaults& aFaults) { aFaults.delay = delay; });
  }
  return [&aProxies, one, index, pass, blackhole, changes] {
    for (std::size_t number = 0; number < aProxies.size(); ++number) {
      if (one && number != static_cast<std::size_t>(index)) {
        continue;
      }
      auto& proxy = *aProxies[number];
      ProxyFaults faults = pass ? ProxyFaults{} : proxy.Faults();
      std::ranges::for_each(changes, [&faults](const auto& aChange) { aChange(faults); });
      proxy.SetFaults(faults);
      if (blackhole) {
        proxy.BlackholeOpen();
      }
    }
  };
}

nlohmann::json DescribeProxies(const Proxies& aProxies)
{
  auto mappings = nlohmann::json::array();
  for (const auto& proxy : aProxies) {
    mappings.push_back(proxy->Describe());
  }
  return { { "mappings", std::move(mappings) } };
}

bool StartProxies(boost::asio::io_context& aLoop,
                  const std::vector<Mapping>& aMappings,
                  Proxies& aProxies)
{
  for (const auto& mapping : aMappings) {
    try {
      aProxies.push_back(
        std::make_unique<TcpProxy>(aLoop, mapping.listen, mapping.target));
    } catch (const boost::system::system_error& error) {
      std::cerr << "cannot listen on " << mapping.listen.Text() << ": " << error.what()
                << '\n';
      return false;
    }
  }
  return true;
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
  const auto mappings = ReadMappings(*commandLine, reader);
  const auto controlEndpoint = reader.Address("control", "127.0.0.1:0");
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
  Proxies proxies;
  if (!StartProxies(loop, mappings, proxies)) {
    return static_cast<int>(ExitCode::Failure);
  }
  const StandinControl control{ [&proxies] { return DescribeProxies(proxies); },
                                [&proxies](SettingsReader& aReader) {
                                  return ReadFault(proxies, aReader);
                                } };
  HttpServer controlServer(
    loop,
    HttpServerLimits{},
    [&control](HttpExchange& aExchange) { return control.Serve(aExchange); },
    metrics);
  std::ranges::for_each(
    proxies, [](const auto& aProxy) { AnnounceEndpoint("listening", aProxy->Local()); });
  if (!AnnounceControl(controlServer, *commandLine, controlEndpoint)) {
    return static_cast<int>(ExitCode::Failure);
  }
  loop.run();
  return static_cast<int>(ExitCode::Success);
}
