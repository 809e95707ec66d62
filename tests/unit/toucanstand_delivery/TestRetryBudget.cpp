#include <algorithm>
#include <vector>

#include <catch2/catch.hpp>

#include "attempts/FleetRetryLimits.h"
#include "random/Random.h"

using namespace toucanstand;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };
const PoolId kEnginePool("engines");

/// Fleet-wide limits of a large deployment, which has 95 VMs.
FleetRetryLimits LargeDeploymentLimits()
{
  return { 0.2, 296, seconds(10) };
}

AccountId Account(std::uint64_t aNumber)
{
  return AccountId("account-" + std::to_string(aNumber));
}

/// Counts events per tenth of a second.
class CountsPerTenth
{
public:
  void Add(std::size_t aTenth)
  {
    this->countsPerTenth.resize(std::max(this->countsPerTenth.size(), aTenth + 1));
    ++this->countsPerTenth[aTenth];
  }

  /// Number of events in the 10 s window that starts at tenth aFrom. A negative aFrom
  /// denotes a window that starts before the first event is counted.
  [[nodiscard]] int SumOfWindow(long aFrom) const
  {
    int sum = 0;
    for (long tenth = std::max(aFrom, 0L); tenth < aFrom + 100; ++tenth) {
      const auto index = static_cast<std::size_t>(tenth);
      sum += index < this->countsPerTenth.size() ? this->countsPerTenth[index] : 0;
    }
    return sum;
  }

private:
  std::vector<int> countsPerTenth;
};

} // namespace

TEST_CASE("A VM's saved credit suffices to retry all its streams of a lost replica group",
          "[retries]")
{
  // Guards against ending streams of a lost replica group because a VM's part of the
  // fleet-wide limit allows only one or two retries at a time. In the large deployment a
  // VM gets nine requests per second from 40 accounts, and several of these requests run
  // on the same group.
  RetryBudget budget(LargeDeploymentLimits().SettingsPerVm(95));
  Random random(1);
  auto now = kStart;
  for (int request = 0; request < 180; ++request) {
    now += milliseconds(110);
    budget.OnTime(now);
    budget.OnFirstAttempt(Account(random.Below(40)), kEnginePool);
  }
  int retried = 0;
  for (int stream = 0; stream < 6; ++stream) {
    retried +=
      budget.TrySpend(Account(random.Below(40)), kEnginePool, RetryCause::LostServer) ? 1
                                                                                      : 0;
  }
  CHECK(retried == 6);
}

TEST_CASE("The fleet stays within its retry limit in each window", "[retries]")
{
  // Guards against budgets of single VMs that add up to more than the fleet-wide limit:
  // with saved credit, when the traffic drops, and when many attempts fail at once after
  // a period without failures.
  constexpr std::size_t kVms = 95;
  constexpr std::size_t kTenths = 600;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Random random(seed);
    std::vector<RetryBudget> vms(
      kVms, RetryBudget(LargeDeploymentLimits().SettingsPerVm(kVms)));
    CountsPerTenth firsts;
    CountsPerTenth retries;
    auto now = kStart;
    for (std::size_t tenth = 0; tenth < kTenths; ++tenth) {
      now += milliseconds(100);
      std::ranges::for_each(vms, [now](RetryBudget& aVm) { aVm.OnTime(now); });
      const bool quiet = tenth >= 300 && tenth < 450;
      const bool failing = tenth / 50 % 3 != 0;
      const int arrivals = quiet ? 9 : 90;
      for (int arrival = 0; arrival < arrivals; ++arrival) {
        auto& vm = vms[random.Below(kVms)];
        const auto account = Account(random.Below(40));
        vm.OnFirstAttempt(account, kEnginePool);
        firsts.Add(tenth);
        while (failing && vm.TrySpend(account, kEnginePool, RetryCause::LostServer)) {
          retries.Add(tenth);
        }
      }
    }
    for (long from = 0; from + 100 <= static_cast<long>(kTenths); ++from) {
      // Credit saved before the window may be spent in it, so the limit follows from the
      // largest count of this window and of those that start 5 s and 10 s earlier.
      const int maxFirsts = std::max({ firsts.SumOfWindow(from),
                                       firsts.SumOfWindow(from - 50),
                                       firsts.SumOfWindow(from - 100) });
      const double limit =
        LargeDeploymentLimits().share * maxFirsts + LargeDeploymentLimits().slack;
      INFO("seed " << seed << ", window from tenth " << from);
      REQUIRE(retries.SumOfWindow(from) <= limit);
    }
  }
}
