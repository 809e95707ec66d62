/// Measures the resource use of real processes while the system is idle, by the number of
/// entry VMs, engines, fabric domains and members per group, and the use added per call.
#include <cstdio>
#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

#include "Footprint.h"

using namespace toucanstand;
using nlohmann::json;

namespace {

constexpr int kLoadMilliseconds = 3000;

/// Least-squares line through measured points.
class LinearFit
{
public:
  void Add(double aX, double aY)
  {
    ++this->count;
    this->sumX += aX;
    this->sumY += aY;
    this->sumXx += aX * aX;
    this->sumXy += aX * aY;
  }
  [[nodiscard]] bool HasSlope() const { return this->count > 1; }
  [[nodiscard]] double Slope() const
  {
    return (this->count * this->sumXy - this->sumX * this->sumY) /
           (this->count * this->sumXx - this->sumX * this->sumX);
  }
  [[nodiscard]] double Intercept() const
  {
    return (this->sumY - this->Slope() * this->sumX) / this->count;
  }

private:
  double count = 0;
  double sumX = 0;
  double sumY = 0;
  double sumXx = 0;
  double sumXy = 0;
};

std::string FormatRates(const std::map<std::string, double>& aRates)
{
  std::string text;
  for (const auto& [name, rate] : aRates) {
    char part[64];
    std::snprintf(
      part, sizeof part, "%s%s %.2f", text.empty() ? "" : ", ", name.c_str(), rate);
    text += part;
  }
  return text.empty() ? "none" : text;
}

void PrintHeader(const char* aTitle)
{
  std::printf("\n## %s\n\n", aTitle);
  std::printf(
    "| VMs | engines | groups | domains | program | %% of a core | highest | MB | "
    "messages sent/s | received/s | kB sent/s | received/s | store calls/s |\n");
  std::printf("|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
}

void PrintRow(const SystemSize& aSize, const SystemUse& aUse)
{
  for (const auto& [program, use] : aUse.programs) {
    std::printf(
      "| %d | %d | %d | %d | %s | %.2f | %.2f | %.1f | %.1f | %.1f | %.2f | %.2f "
      "| %s |\n",
      aSize.entryVms,
      aSize.Engines(),
      aSize.Groups(),
      aSize.domains,
      program.c_str() + std::string("toucanstand-").size(),
      use.processorPercent,
      use.highestProcessorPercent,
      use.residentMegabytes,
      use.messagesSent,
      use.messagesReceived,
      use.kilobytesSent,
      use.kilobytesReceived,
      FormatRates(use.storeCalls).c_str());
  }
  std::printf("| %d | %d | %d | %d | all, at the store | | | | | | | | %s |\n",
              aSize.entryVms,
              aSize.Engines(),
              aSize.Groups(),
              aSize.domains,
              FormatRates(aUse.storeCalls).c_str());
  std::printf(
    "| %d | %d | %d | %d | node to other VMs | | | | | | %.2f | | polls/s %.1f of "
    "%zu B |\n",
    aSize.entryVms,
    aSize.Engines(),
    aSize.Groups(),
    aSize.domains,
    aUse.KilobytesBetweenVms(),
    aUse.programs.at("toucanstand-node").statePolls,
    aUse.stateBytes);
  std::fflush(stdout);
}

/// Values whose slopes are printed, by name; each belongs to a program or to the system.
using Quantities = std::map<std::string, double>;

Quantities QuantitiesOf(const SystemUse& aUse)
{
  Quantities quantities;
  for (const auto& [program, use] : aUse.programs) {
    const auto name = program.substr(std::string("toucanstand-").size());
    quantities[name + ", % of a core"] = use.processorPercent;
    quantities[name + ", MB"] = use.residentMegabytes;
    quantities[name + ", kB sent/s"] = use.kilobytesSent;
    quantities[name + ", kB received/s"] = use.kilobytesReceived;
    quantities[name + ", messages sent/s"] = use.messagesSent;
  }
  quantities["groups, highest % of a core"] =
    aUse.programs.at("toucanstand-groups").highestProcessorPercent;
  quantities["platform list, bytes"] = static_cast<double>(aUse.platformListBytes);
  quantities["node, kB/s to other VMs"] = aUse.KilobytesBetweenVms();
  quantities["node, polls/s"] = aUse.programs.at("toucanstand-node").statePolls;
  for (const auto& [path, rate] : aUse.storeCalls) {
    quantities["store, " + path + "/s"] = rate;
  }
  return quantities;
}

void PrintSlopes(const char* aUnit, const std::map<std::string, LinearFit>& aLines)
{
  std::printf("\n| quantity | at none | per %s |\n|---|---|---|\n", aUnit);
  for (const auto& [name, line] : aLines) {
    // Store calls that occurred at only one size have no slope.
    if (!line.HasSlope()) {
      continue;
    }
    std::printf("| %s | %.3f | %.5f |\n", name.c_str(), line.Intercept(), line.Slope());
  }
  std::fflush(stdout);
}

/// Measures the idle system at each size in turn and prints the slopes.
void MeasureIdleSizes(const char* aTitle,
                      const char* aUnit,
                      const std::vector<int>& aValues,
                      const std::function<SystemSize(int)>& aSizeOf)
{
  PrintHeader(aTitle);
  std::map<std::string, LinearFit> lines;
  for (const int value : aValues) {
    const auto size = aSizeOf(value);
    try {
      const auto use = MeasureIdle(size);
      PrintRow(size, use);
      for (const auto& [name, quantity] : QuantitiesOf(use)) {
        lines[name].Add(value, quantity);
      }
    } catch (const std::runtime_error& error) {
      std::printf("| %d VMs, %d engines: failed, %s |\n",
                  size.entryVms,
                  size.Engines(),
                  error.what());
    }
  }
  PrintSlopes(aUnit, lines);
}

json LoadPlanOf(double aRate, int aTokens)
{
  return { { "seed", 1 },
           { "phases", { { { "rate", aRate }, { "duration_ms", kLoadMilliseconds } } } },
           { "accounts", { { { "name", "account-0" } }, { { "name", "account-1" } } } },
           { "requests",
             { { { "name", "chat" },
                 { "kind", "chat" },
                 { "timeout_ms", 15000 },
                 { "max_tokens", aTokens },
                 { "streamed", true },
                 { "prefixes", 16 } } } } };
}

SystemUse MeasureLoad(TestSystem& aSystem, double aRate, int aTokens)
{
  const SettingsFile plan(LoadPlanOf(aRate, aTokens));
  std::vector<std::string> arguments = { plan.Option() };
  for (const auto& vm : aSystem.vms) {
    arguments.push_back("--target=" + vm.callers.Text());
  }
  UseMeter meter(aSystem);
  meter.Begin();
  ProcessLauncher load("toucanstand-load", arguments);
  (void)load.ReadAll();
  (void)load.Wait();
  return meter.End();
}

/// Measures the processor time of the entry by calls per second and by tokens per call.
void MeasureCalls()
{
  const auto system = StartSystem(
    { 3, 2, 10, 2 }, { "--slots=256", "--tokens-per-second=200", "--batch-slowdown=1" });
  std::printf("\n## Streamed calls, 3 VMs, 20 engines\n\n");
  std::printf(
    "| tokens per call | offered calls/s | calls/s per VM | entry, %% of a core | "
    "entry, MB | node, %% of a core |\n|---|---|---|---|---|---|\n");
  const auto measure = [&](double aRate, int aTokens, LinearFit& aLine, bool aByTokens) {
    const auto use = MeasureLoad(*system, aRate, aTokens);
    const auto& entry = use.programs.at("toucanstand-entry");
    std::printf("| %d | %.0f | %.2f | %.2f | %.1f | %.2f |\n",
                aTokens,
                aRate,
                use.calls,
                entry.processorPercent,
                entry.residentMegabytes,
                use.programs.at("toucanstand-node").processorPercent);
    std::fflush(stdout);
    aLine.Add(aByTokens ? use.calls * aTokens : use.calls, entry.processorPercent);
  };
  LinearFit byCalls;
  for (const double rate : { 15.0, 30.0, 60.0, 120.0 }) {
    measure(rate, 8, byCalls, false);
  }
  LinearFit byTokens;
  for (const int tokens : { 16, 32, 64, 128 }) {
    measure(30, tokens, byTokens, true);
  }
  std::printf("\nEntry, %% of a core: %.4f and %.4f per call/s with 8 tokens; %.4f and "
              "%.5f per token/s at 30 calls/s.\n",
              byCalls.Intercept(),
              byCalls.Slope(),
              byTokens.Intercept(),
              byTokens.Slope());
}

void RunMeasurements(const std::string& aPart)
{
  if (aPart == "all" || aPart == "vms") {
    MeasureIdleSizes("Entry VMs, idle", "VM", { 3, 6, 9, 12 }, [](int aVms) {
      return SystemSize{ aVms, 2, 10, 2 };
    });
  }
  if (aPart == "all" || aPart == "engines") {
    MeasureIdleSizes(
      "Engines in domains of 10, idle", "engine", { 10, 20, 40, 80 }, [](int aEngines) {
        return SystemSize{ 6, aEngines / 10, 10, 2 };
      });
  }
  if (aPart == "all" || aPart == "domains") {
    MeasureIdleSizes("Fabric domains that divide 80 engines, idle",
                     "domain",
                     { 1, 2, 4, 8 },
                     [](int aDomains) {
                       return SystemSize{ 6, aDomains, 80 / aDomains, 2 };
                     });
  }
  if (aPart == "all" || aPart == "members") {
    MeasureIdleSizes("Members per group of 80 engines in 5 domains, idle",
                     "member",
                     { 2, 4, 8, 16 },
                     [](int aMembers) {
                       return SystemSize{ 6, 5, 16, aMembers };
                     });
  }
  if (aPart == "all" || aPart == "calls") {
    MeasureCalls();
  }
}

} // namespace

int main(int aCount, char** aArguments)
{
  // Caught so that the stack unwinds and the destructors end the started processes.
  try {
    RunMeasurements(aCount > 1 ? aArguments[1] : "all");
  } catch (const std::exception& error) {
    std::fprintf(stderr, "benchmark-footprint: %s\n", error.what());
    return 1;
  }
  return 0;
}
