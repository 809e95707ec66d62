#include "Overhead.h"

#include <array>
#include <cstdio>
#include <thread>
#include <vector>

#include "metrics/LatencyHistogram.h"
#include "support/TestSystem.h"

namespace toucanstand {

namespace {

constexpr int kCallsPerCaller = 400;

/// Returns the latencies of lookups that one caller sends one after the other.
std::vector<Duration> MeasureLookupLatencies(const Endpoint& aEndpoint)
{
  HttpCaller caller;
  std::vector<Duration> latencies;
  for (int index = 0; index < kCallsPerCaller; ++index) {
    const auto start = BootClock::now();
    const auto answer =
      caller.Call(aEndpoint, "GET", "/catalogue/" + std::to_string(index));
    if (answer && answer->status == 200) {
      latencies.push_back(BootClock::now() - start);
    }
  }
  return latencies;
}

void PrintLookupLatency(const char* aPath, const Endpoint& aEndpoint, int aCallers)
{
  std::vector<std::vector<Duration>> results(static_cast<std::size_t>(aCallers));
  std::vector<std::thread> threads;
  threads.reserve(results.size());
  const auto start = BootClock::now();
  for (auto& result : results) {
    threads.emplace_back(
      [&result, &aEndpoint] { result = MeasureLookupLatencies(aEndpoint); });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  const auto elapsed = ToSeconds(BootClock::now() - start);
  LatencyHistogram histogram;
  for (const auto& result : results) {
    for (const auto latency : result) {
      histogram.Record(latency);
    }
  }
  std::printf("%-10s %2d callers  %6llu answered  %8.0f/s  p50 %7.3f ms  p99 %7.3f ms\n",
              aPath,
              aCallers,
              static_cast<unsigned long long>(histogram.Samples()),
              static_cast<double>(histogram.Samples()) / elapsed,
              ToSeconds(histogram.Percentile(0.5)) * 1000,
              ToSeconds(histogram.Percentile(0.99)) * 1000);
  std::fflush(stdout);
}

} // namespace

void MeasureOverhead()
{
  TestSystemOptions options;
  options.entryVms = 1;
  options.domains = 1;
  options.services = 1;
  options.serviceArguments = { "--latency-ms=0", "--slots=1000" };
  TestSystem system(options);
  system.WaitForCandidates(3);
  const auto& servers = system.platformList["servers"];
  const auto direct =
    *Endpoint::Parse(servers.back()["address"].get_ref<const std::string&>());
  for (const int callers : std::array{ 1, 64 }) {
    PrintLookupLatency("direct", direct, callers);
    PrintLookupLatency("via entry", system.vms[0].callers, callers);
    PrintLookupLatency("direct", direct, callers);
    PrintLookupLatency("via entry", system.vms[0].callers, callers);
  }
}

} // namespace toucanstand
