/// Measures the processing time that delivery adds to a request, and the increase in
/// waiting time when a request chooses between its two home servers instead of between
/// any two servers.
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "answers/StreamAssembler.h"
#include "attempts/AttemptTracker.h"
#include "crashes/CrashQuarantine.h"
#include "crashes/HomeServers.h"
#include "random/Random.h"

using namespace toucanstand;
using namespace std::chrono_literals;

namespace {

std::size_t checksum = 0;

void PrintNanosecondsPerCall(const char* aName,
                             std::size_t aCount,
                             const std::function<void(std::size_t)>& aWork)
{
  const TimePoint start = BootClock::now();
  for (std::size_t index = 0; index < aCount; ++index) {
    aWork(index);
  }
  std::printf("| %s | %.0f |\n",
              aName,
              static_cast<double>((BootClock::now() - start).count()) /
                static_cast<double>(aCount));
}

std::vector<ServerId> MakeServers(std::size_t aCount)
{
  std::vector<ServerId> servers;
  for (std::size_t index = 0; index < aCount; ++index) {
    servers.emplace_back("engine-" + std::to_string(index));
  }
  return servers;
}

void MeasureCallTimes()
{
  std::printf("## Time per call\n\n| what | ns |\n|---|---|\n");
  CrashQuarantine quarantine;
  for (const std::size_t count : { 50U, 394U, 1575U, 6300U }) {
    const auto servers = MakeServers(count);
    const std::string name = "Place, " + std::to_string(count) + " servers";
    PrintNanosecondsPerCall(name.c_str(), 2'000'000 / count, [&](std::size_t aIndex) {
      checksum += quarantine.Place(aIndex, servers, TimePoint{} + 1h).servers.size();
    });
  }
  const ServerId server("engine-1");
  PrintNanosecondsPerCall("OnSent and OnEnded", 200'000, [&](std::size_t aIndex) {
    const RequestId request("vm-1-0123abcd-" + std::to_string(aIndex));
    quarantine.OnSent(request, aIndex, server);
    quarantine.OnEnded(request, RunEnd::Survived, TimePoint{});
  });
  RetryBudget budget;
  PrintNanosecondsPerCall(
    "AttemptTracker, one failed attempt", 200'000, [&](std::size_t) {
      AttemptTracker tracker(Repeatability::Idempotent,
                             AccountId("kelani"),
                             PoolId("assistant"),
                             TimePoint{} + 1s,
                             budget);
      tracker.OnAttemptStarted("engine-1");
      checksum += static_cast<std::size_t>(
        tracker.OnFailure(AttemptFailure::ServerError, "engine-1", TimePoint{}).kind);
    });
  StreamAssembler assembler(UINT64_MAX);
  assembler.OnAttemptStarted(1);
  PrintNanosecondsPerCall(
    "StreamAssembler, one token", 5'000'000, [&](std::size_t aIndex) {
      checksum += static_cast<std::size_t>(assembler.OnToken(1, aIndex));
    });
}

/// Simulation on virtual time of servers with slots; each request joins the shorter of
/// two queues.
class PoolModel
{
public:
  static constexpr std::size_t kServers = 50;
  static constexpr std::size_t kSlots = 8;

  /// @returns the 99th percentile of the wait for a slot, in mean service times
  /// @param aRepeatedShare share of the requests that are one of ten repeated requests
  static double P99SlotWait(double aLoad,
                            bool aUseHomeServers,
                            double aRepeatedShare,
                            std::uint64_t aSeed)
  {
    constexpr std::size_t kRequests = 200'000;
    Random random(aSeed);
    const auto names = MakeServers(kServers);
    std::exponential_distribution<double> service(1.0);
    std::exponential_distribution<double> gap(aLoad * kServers * kSlots);
    std::vector<std::priority_queue<double, std::vector<double>, std::greater<>>>
      endTimes(kServers);
    std::vector<double> waits;
    double now = 0;
    for (std::size_t index = 0; index < kRequests; ++index) {
      now += gap(random.Engine());
      const bool repeated = random.Fraction() < aRepeatedShare;
      const std::uint64_t fingerprint = repeated ? random.Below(10) : 1000 + index;
      std::size_t left = random.Below(kServers);
      std::size_t right = random.Below(kServers);
      if (aUseHomeServers) {
        const auto homes = HomeServers(fingerprint, names);
        left = IndexOf(homes[0]);
        right = IndexOf(homes[1]);
      }
      for (const std::size_t server : { left, right }) {
        while (!endTimes[server].empty() && endTimes[server].top() <= now) {
          endTimes[server].pop();
        }
      }
      auto& chosen =
        endTimes[endTimes[left].size() <= endTimes[right].size() ? left : right];
      // The request starts when at most kSlots - 1 of the earlier requests are
      // unfinished.
      std::vector<double> ends;
      auto copy = chosen;
      while (copy.size() >= kSlots) {
        ends.push_back(copy.top());
        copy.pop();
      }
      const double start = ends.empty() ? now : ends.back();
      waits.push_back(start - now);
      chosen.push(start + service(random.Engine()));
    }
    std::ranges::sort(waits);
    return waits[waits.size() * 99 / 100];
  }

private:
  static std::size_t IndexOf(const ServerId& aServer)
  {
    return std::stoul(aServer.Value().substr(std::string("engine-").size()));
  }
};

void CompareServerChoices()
{
  std::printf(
    "\n## Two home servers against any two servers\n\n"
    "99th percentile of the wait for a slot, in mean service times; %zu servers "
    "with %zu slots, 200,000 requests in virtual time.\n\n"
    "| load | repeated requests | seed | any two | two home servers |\n"
    "|---|---|---|---|---|\n",
    PoolModel::kServers,
    PoolModel::kSlots);
  for (const double load : { 0.7, 0.9 }) {
    for (const double repeated : { 0.0, 0.05, 0.2 }) {
      for (const std::uint64_t seed : { 1, 2 }) {
        std::printf("| %.0f%% | %.0f%% | %llu | %.2f | %.2f |\n",
                    100 * load,
                    100 * repeated,
                    static_cast<unsigned long long>(seed),
                    PoolModel::P99SlotWait(load, false, repeated, seed),
                    PoolModel::P99SlotWait(load, true, repeated, seed));
      }
    }
  }
}

} // namespace

int main()
{
  MeasureCallTimes();
  CompareServerChoices();
  return checksum == 0 ? 1 : 0;
}
