#include <iostream>

#include "Overhead.h"
#include "Scenario.h"
#include "commandline/CommandLine.h"

using namespace toucanstand;
using nlohmann::json;

namespace {

json MakePhase(double aRate, int aMilliseconds)
{
  return { { "rate", aRate }, { "duration_ms", aMilliseconds } };
}

void PrintResult(const std::string& aScenario, const json& aResult)
{
  const json& kinds = aResult["kinds"];
  const auto latency = [&kinds](const char* aKind) {
    return kinds.contains(aKind) ? kinds[aKind]["latency"]["p99_ms"].get<double>() : 0.0;
  };
  std::printf("%-24s %-22s worth/s %8.1f  short p99 %8.1f ms  long p99 %9.1f ms  "
              "after leaving %5.2f%%  tries %.3f  wrong %s\n",
              aScenario.c_str(),
              aResult["policy"].get<std::string>().c_str(),
              aResult["worth_in_time_per_second"].get<double>(),
              latency("short"),
              latency("long"),
              100 * aResult["engine_after_leaving_ms"].get<double>() /
                std::max(1.0, aResult["engine_busy_ms"].get<double>()),
              1 + aResult["attempts_retry"].get<double>() /
                    std::max(1.0, aResult["attempts_first"].get<double>()),
              aResult["total"].dump().c_str());
  std::fflush(stdout);
}

/// Measures the worth answered in time at multiples of the servers' capacity and during a
/// load ramp.
void MeasureOverload(const std::vector<Policy>& aPolicies, int aSeed)
{
  const ServerModel servers;
  RequestMix mix;
  mix.abandonShare = 0.3;
  const double capacityRate = servers.Capacity() / mix.MeanTokens();
  for (const auto& policy : aPolicies) {
    for (const double factor : { 0.5, 1.0, 2.0, 4.0 }) {
      const json plan =
        MakePlan(mix, json::array({ MakePhase(capacityRate * factor, 5000) }), aSeed);
      PrintResult("load x" + std::to_string(factor).substr(0, 3),
                  RunLoad(servers, policy, plan));
    }
    json phases = json::array({ MakePhase(capacityRate * 0.1, 3000) });
    phases.push_back({ { "rate", capacityRate * 0.1 },
                       { "end_rate", capacityRate * 4 },
                       { "duration_ms", 2000 } });
    phases.push_back(MakePhase(capacityRate * 4, 5000));
    PrintResult("swing x0.1 to x4",
                RunLoad(servers, policy, MakePlan(mix, phases, aSeed)));
  }
}

/// Measures short requests with and without long ones, at the same rate of short
/// requests.
void MeasureHeadOfLineBlocking(const std::vector<Policy>& aPolicies, int aSeed)
{
  const ServerModel servers;
  RequestMix mix;
  const double shortRate = 0.4 * servers.Capacity() / mix.shortTokens;
  const double longRate = 0.6 * servers.Capacity() / mix.longTokens;
  for (const auto& policy : aPolicies) {
    RequestMix alone = mix;
    alone.shortWeight = 1;
    alone.longWeight = 0;
    PrintResult(
      "short alone",
      RunLoad(servers,
              policy,
              MakePlan(alone, json::array({ MakePhase(shortRate, 15000) }), aSeed)));
    RequestMix both = mix;
    both.shortWeight = shortRate;
    both.longWeight = longRate;
    PrintResult(
      "short with long",
      RunLoad(
        servers,
        policy,
        MakePlan(both, json::array({ MakePhase(shortRate + longRate, 15000) }), aSeed)));
  }
}

} // namespace

int main(int aArgumentCount, char** aArguments)
{
  const ProgramDescription description = {
    "benchmark-system",
    "Measures the whole system under load against baselines.",
    "overhead|overload|head-of-line...",
    { { "seed", 's', "N", "seed of the load (1)" } },
  };
  ExitCode code = ExitCode::Success;
  const auto commandLine =
    ParseCommandLine(aArgumentCount, aArguments, description, code);
  if (!commandLine) {
    return static_cast<int>(code);
  }
  const int seed = std::stoi(commandLine->ValueOr("seed", "1"));
  const std::vector<Policy> policies = {
    { "toucanstand", "least-two-choices", "weighted" },
    { "no shedding", "least-two-choices", "open" },
    { "round robin, open", "round-robin", "open" },
  };
  for (const auto& scenario : commandLine->positional) {
    if (scenario == "overload") {
      MeasureOverload(policies, seed);
    } else if (scenario == "head-of-line") {
      MeasureHeadOfLineBlocking(policies, seed);
    } else if (scenario == "overhead") {
      MeasureOverhead();
    }
  }
  return 0;
}
