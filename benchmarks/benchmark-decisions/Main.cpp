#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

#include "DecisionCost.h"
#include "QueueModel.h"

using namespace toucanstand;
using namespace std::chrono_literals;

namespace {

constexpr std::array<std::uint64_t, 3> kSeeds = { 1, 2, 3 };

struct Policy
{
  const char* name;
  AdmissionPolicy admission;
  RoutingStrategy routing;
};

constexpr std::array kPolicies = {
  Policy{ "controller + least two choices",
          AdmissionPolicy::Controller,
          RoutingStrategy::LeastTwoChoices },
  Policy{ "controller + two choices",
          AdmissionPolicy::Controller,
          RoutingStrategy::TwoChoices },
  Policy{ "controller + least outstanding",
          AdmissionPolicy::Controller,
          RoutingStrategy::LeastOutstanding },
  Policy{ "controller + round robin",
          AdmissionPolicy::Controller,
          RoutingStrategy::RoundRobin },
  Policy{ "single FIFO + least outstanding",
          AdmissionPolicy::Fifo,
          RoutingStrategy::LeastOutstanding },
  Policy{ "single FIFO + round robin",
          AdmissionPolicy::Fifo,
          RoutingStrategy::RoundRobin },
  Policy{ "no shedding + least outstanding",
          AdmissionPolicy::None,
          RoutingStrategy::LeastOutstanding },
  Policy{ "no shedding + round robin",
          AdmissionPolicy::None,
          RoutingStrategy::RoundRobin },
};

/// Share of the offered load that consists of long requests.
constexpr double kLongWorkShare = 0.25;

ModelSettings MakeModelSettings(const Policy& aPolicy, std::uint64_t aSeed)
{
  ModelSettings settings;
  settings.admission = aPolicy.admission;
  settings.routing.strategy = aPolicy.routing;
  settings.seed = aSeed;
  return settings;
}

std::function<double(Duration)> ConstantLoad(double aLoad)
{
  return [aLoad](Duration) { return aLoad; };
}

/// Load of 0.1 times the capacity that rises from 30 s to 32 s to four times the
/// capacity.
double LoadRamp(Duration aElapsed)
{
  const double seconds = ToSeconds(aElapsed);
  if (seconds < 30) {
    return 0.1;
  }
  return seconds < 32 ? 0.1 + (seconds - 30) / 2 * 3.9 : 4.0;
}

/// Prints the worth per second and its share of the upper bound, as means over the seeds.
void PrintWorth(const Policy& aPolicy, const std::function<void(ModelSettings&)>& aLoad)
{
  double rate = 0;
  double share = 0;
  double lowest = 1;
  for (const auto seed : kSeeds) {
    auto settings = MakeModelSettings(aPolicy, seed);
    aLoad(settings);
    const auto results = QueueModel(std::move(settings)).Run();
    const double part = results.worthRate / results.worthRateUpperBound;
    rate += results.worthRate / kSeeds.size();
    share += part / kSeeds.size();
    lowest = std::min(lowest, part);
  }
  std::printf("  %8.0f  %5.1f%%  (lowest %5.1f%%)  %s\n",
              rate,
              100 * share,
              100 * lowest,
              aPolicy.name);
}

void MeasureWorth()
{
  for (const double load : { 1.0, 2.0, 4.0 }) {
    std::printf("worth answered in time per second, share of best; load %.0f\n", load);
    for (const auto& policy : kPolicies) {
      PrintWorth(policy, [load](ModelSettings& aSettings) {
        aSettings.shortLoad = ConstantLoad(load * (1 - kLongWorkShare));
        aSettings.longLoad = ConstantLoad(load * kLongWorkShare);
      });
    }
  }
  for (const double longWorkShare : { 0.0, kLongWorkShare }) {
    // Long requests in progress at the end of the measured period count fully in the
    // numerator, but the upper bound contains only the capacity within the period. The
    // longer period keeps that error below 1/30.
    const Duration measured = longWorkShare > 0 ? 180s : 10s;
    std::printf("swing from 0.1 to 4 in 2 s, first %.0f s, long part %.2f\n",
                ToSeconds(measured),
                longWorkShare);
    for (const auto& policy : kPolicies) {
      PrintWorth(policy, [longWorkShare, measured](ModelSettings& aSettings) {
        aSettings.shortLoad = [longWorkShare](Duration aElapsed) {
          return LoadRamp(aElapsed) * (1 - longWorkShare);
        };
        aSettings.longLoad = [longWorkShare](Duration aElapsed) {
          return LoadRamp(aElapsed) * longWorkShare;
        };
        aSettings.measureFrom = 30s;
        aSettings.measureUntil = 30s + measured;
        aSettings.length = 30s + measured + 60s;
      });
    }
  }
}

/// Prints the 99th percentile latency of short requests with and without long requests
/// and the answered share of the short ones, as means over the seeds.
void PrintHeadOfLineBlocking(const Policy& aPolicy, double aShortLoad, double aLongLoad)
{
  std::array<double, 2> p99Seconds{};
  double answered = 0;
  for (const auto seed : kSeeds) {
    for (const bool withLong : { false, true }) {
      auto settings = MakeModelSettings(aPolicy, seed);
      settings.shortLoad = ConstantLoad(aShortLoad);
      settings.longLoad = ConstantLoad(withLong ? aLongLoad : 0.0);
      const auto results = QueueModel(std::move(settings)).Run();
      p99Seconds[withLong ? 1 : 0] +=
        ToSeconds(results.latency[0].Percentile(0.99)) / kSeeds.size();
      if (withLong) {
        answered += static_cast<double>(results.answered[0]) /
                    static_cast<double>(results.offered[0]) / kSeeds.size();
      }
    }
  }
  if (p99Seconds[1] <= 0) {
    std::printf("  no short work answered  %s\n", aPolicy.name);
    return;
  }
  std::printf("  %6.3f s / %6.3f s = %5.2f  short answered %5.1f%%  %s\n",
              p99Seconds[1],
              p99Seconds[0],
              p99Seconds[1] / p99Seconds[0],
              100 * answered,
              aPolicy.name);
}

void MeasureHeadOfLineBlocking()
{
  for (const double shortLoad : { 0.3, 0.45, 0.6 }) {
    for (const double longLoad : { 0.3, 2.0 }) {
      std::printf(
        "99th percentile of short work at load %.2f, with long work at load %.1f "
        "over without\n",
        shortLoad,
        longLoad);
      for (const auto& policy : kPolicies) {
        PrintHeadOfLineBlocking(policy, shortLoad, longLoad);
      }
    }
  }
}

/// Returns the percentage of an account's offered tokens that was answered.
double AnsweredPercent(const ModelResults& aResults, std::size_t aAccount)
{
  return 100 * aResults.answeredByAccount[aAccount] / aResults.offeredByAccount[aAccount];
}

void MeasureFairness()
{
  std::printf(
    "load 4: share of best, share of the offered tokens that was answered for the "
    "largest and the smallest account\n");
  for (const double fairShare : { 0.0, 0.25, 0.5, 1.0 }) {
    double best = 0;
    double largest = 0;
    double smallest = 0;
    for (const auto seed : kSeeds) {
      auto settings = MakeModelSettings(kPolicies.front(), seed);
      settings.admissionSettings.fairShare = fairShare;
      settings.shortLoad = ConstantLoad(4 * (1 - kLongWorkShare));
      settings.longLoad = ConstantLoad(4 * kLongWorkShare);
      const auto results = QueueModel(std::move(settings)).Run();
      best += 100 * results.worthRate / results.worthRateUpperBound / kSeeds.size();
      largest += AnsweredPercent(results, 0) / kSeeds.size();
      smallest += AnsweredPercent(results, 9) / kSeeds.size();
    }
    std::printf("  %5.1f%%  %5.1f%%  %5.1f%%  share of slots given out by account %.2f\n",
                best,
                largest,
                smallest,
                fairShare);
  }
}

void MeasureNodeCounts()
{
  std::printf("load 4, %s\n", kPolicies.front().name);
  for (const int nodes : { 1, 3, 6, 9, 16 }) {
    std::printf("%3d nodes", nodes);
    PrintWorth(kPolicies.front(), [nodes](ModelSettings& aSettings) {
      aSettings.nodes = nodes;
      aSettings.shortLoad = ConstantLoad(4 * (1 - kLongWorkShare));
      aSettings.longLoad = ConstantLoad(4 * kLongWorkShare);
    });
  }
}

void MeasureSlowServer()
{
  std::printf(
    "one of twelve servers becomes 10 times as slow at 30 s; load 0.6, short work\n");
  for (const auto& policy : kPolicies) {
    double share = 0;
    double p99Seconds = 0;
    Duration timeUntilAvoided{ 0 };
    for (const auto seed : kSeeds) {
      auto settings = MakeModelSettings(policy, seed);
      settings.slowServerFactor = 10;
      settings.slowFrom = settings.measureFrom;
      settings.shortLoad = ConstantLoad(0.6);
      settings.longLoad = ConstantLoad(0.0);
      const auto results = QueueModel(std::move(settings)).Run();
      share += results.firstServerShare / kSeeds.size();
      p99Seconds += ToSeconds(results.latency[0].Percentile(0.99)) / kSeeds.size();
      timeUntilAvoided = std::max(timeUntilAvoided, results.timeUntilFirstServerAvoided);
    }
    std::printf(
      "  left within %3.0f s  answers by it %5.2f%%  99th percentile %6.3f s  %s\n",
      ToSeconds(timeUntilAvoided),
      100 * share,
      p99Seconds,
      policy.name);
  }
}

} // namespace

int main(int aCount, char** aArguments)
{
  const std::string part = aCount > 1 ? aArguments[1] : "all";
  if (part == "all" || part == "worth") {
    MeasureWorth();
  }
  if (part == "all" || part == "blocking") {
    MeasureHeadOfLineBlocking();
  }
  if (part == "all" || part == "slow-server") {
    MeasureSlowServer();
  }
  if (part == "all" || part == "fairness") {
    MeasureFairness();
  }
  if (part == "all" || part == "nodes") {
    MeasureNodeCounts();
  }
  if (part == "all" || part == "cost") {
    MeasureDecisionCost();
  }
  return 0;
}
