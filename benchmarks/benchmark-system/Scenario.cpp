#include "Scenario.h"

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace toucanstand {

using nlohmann::json;

namespace {

json ReadResult(const std::string& aPath)
{
  std::ifstream file(aPath);
  json result = json::parse(file);
  file.close();
  std::remove(aPath.c_str());
  return result;
}

/// Returns the sum of a field of the engine logs over all engines.
double SumOverEngines(TestSystem& aSystem, int aDomains, const char* aKey)
{
  double sum = 0;
  for (int domain = 0; domain < aDomains; ++domain) {
    const json log = aSystem.EngineLog(domain);
    for (const auto& engine : log["engines"]) {
      sum += engine.value(aKey, 0.0);
    }
  }
  return sum;
}

double SumOverEntries(TestSystem& aSystem, const char* aName)
{
  double sum = 0;
  for (auto& vm : aSystem.vms) {
    const json state =
      aSystem.caller.Json(vm.operators["toucanstand-entry"], "GET", "/state");
    sum += state["metrics"]["counters"].value(aName, 0.0);
  }
  return sum;
}

} // namespace

int ServerModel::Groups() const
{
  return this->domains * (this->enginesPerDomain / this->groupSize);
}

double ServerModel::Capacity() const
{
  return this->Groups() * this->slots * this->tokensPerSecond / (1 + this->batchSlowdown);
}

double RequestMix::MeanTokens() const
{
  return (this->shortWeight * this->shortTokens + this->longWeight * this->longTokens) /
         (this->shortWeight + this->longWeight);
}

json MakePlan(const RequestMix& aMix, json aPhases, int aSeed)
{
  json requests = json::array();
  requests.push_back({ { "name", "short" },
                       { "kind", "chat" },
                       { "weight", aMix.shortWeight },
                       { "worth", 1 },
                       { "timeout_ms", 2000 },
                       { "max_tokens", aMix.shortTokens },
                       { "prefixes", 16 },
                       { "abandon_share", aMix.abandonShare },
                       { "abandon_after_ms", 150 },
                       { "again_share", 0.5 } });
  if (aMix.longWeight > 0) {
    requests.push_back({ { "name", "long" },
                         { "kind", "chat" },
                         { "weight", aMix.longWeight },
                         { "worth", 1 },
                         { "timeout_ms", 20000 },
                         { "max_tokens", aMix.longTokens },
                         { "prefixes", 16 } });
  }
  json accounts = json::array();
  for (int index = 0; index < 10; ++index) {
    accounts.push_back({ { "name", "account-" + std::to_string(index) },
                         { "weight", index < 2 ? 5 : 1 } });
  }
  return { { "seed", aSeed },
           { "phases", std::move(aPhases) },
           { "accounts", std::move(accounts) },
           { "requests", std::move(requests) } };
}

json RunLoad(const ServerModel& aServers, const Policy& aPolicy, json aPlan)
{
  TestSystemOptions options;
  options.domains = aServers.domains;
  options.enginesPerDomain = aServers.enginesPerDomain;
  options.groupSize = aServers.groupSize;
  options.engineArguments = {
    "--slots=" + std::to_string(aServers.slots),
    "--tokens-per-second=" + std::to_string(aServers.tokensPerSecond),
    "--batch-slowdown=" + std::to_string(aServers.batchSlowdown),
    "--queue=100000",
    "--report-lag-ms=200",
  };
  options.entrySettings["admission"] = aPolicy.admission;
  options.entrySettings["long_tokens"] = 200;
  options.configuration["defaults"]["routing"]["strategy"] = aPolicy.strategy;
  TestSystem system(options);
  system.WaitForCandidates(aServers.Groups() + options.services);

  const std::string path = (std::filesystem::temp_directory_path() /
                            ("toucanstand-load-" + std::to_string(::getpid()) + ".json"))
                             .string();
  const SettingsFile plan(aPlan);
  std::vector<std::string> arguments = { plan.Option(), "--json=" + path };
  for (const auto& vm : system.vms) {
    arguments.push_back("--target=" + vm.callers.Text());
  }
  ProcessLauncher load("toucanstand-load", arguments);
  (void)load.ReadAll();
  const int code = load.Wait();
  json result = ReadResult(path);
  result["exit_code"] = code;
  result["policy"] = aPolicy.name;
  result["engine_busy_ms"] = SumOverEngines(system, aServers.domains, "busy_ms");
  result["engine_abandoned_ms"] =
    SumOverEngines(system, aServers.domains, "abandoned_ms");
  result["engine_after_leaving_ms"] =
    SumOverEngines(system, aServers.domains, "after_disconnect_ms");
  result["attempts_first"] = SumOverEntries(system, "attempts_first_total");
  result["attempts_retry"] = SumOverEntries(system, "attempts_retry_total");
  return result;
}

} // namespace toucanstand
