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

/// Limits of the users' large site.
FleetRetryLimits LargeSite()
{
  return { 0.2, 296, seconds(10) };
}

AccountId Account(std::uint64_t aNumber)
{
  return AccountId("account-" + std::to_string(aNumber));
}

/// Counts by tenths of a second.
class CountsPerTenth
{
public:
  void Add(std::size_t aTenth)
  {
    this->countsPerTenth.resize(std::max(this->countsPerTenth.size(), aTenth + 1));
    ++this->countsPerTenth[aTenth];
  }

  /// In the window of ten seconds from a tenth on; nothing lies before the first.
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

TEST_CASE("A VM with saved retries moves all its streams of a lost group", "[retries]")
{
  // Guards against streams that end because the VM's part of the fleet's retries was
  // given out in ones and twos: on the large site a VM has nine requests a second of 40
  // accounts, and a lost group holds several of them.
  RetryBudget budget(LargeSite().SettingsPerVm(95));
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

TEST_CASE("However many attempts fail, the fleet keeps its limit in each window",
          "[retries]")
{
  // Guards against parts that add up to more than the whole: with saved credit, when the
  // traffic drops, and when failures come all at once after a quiet time.
  constexpr std::size_t kVms = 95;
  constexpr std::size_t kTenths = 600;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Random random(seed);
    std::vector<RetryBudget> vms(kVms, RetryBudget(LargeSite().SettingsPerVm(kVms)));
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
      const int maxFirsts = std::max({ firsts.SumOfWindow(from),
                                       firsts.SumOfWindow(from - 50),
                                       firsts.SumOfWindow(from - 100) });
      const double limit = LargeSite().share * maxFirsts + LargeSite().slack;
      INFO("seed " << seed << ", window from tenth " << from);
      REQUIRE(retries.SumOfWindow(from) <= limit);
    }
  }
}
