#include "DecisionCost.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <string>
#include <vector>

#include "admission/AdmissionController.h"
#include "routing/Router.h"
#include "routing/SubsetAssignment.h"

namespace toucanstand {

namespace {

const PoolId kPool("assistant");
constexpr int kRounds = 20'000;
constexpr int kRepetitions = 5;

/// Returns the nanoseconds per call, as the median of kRepetitions runs.
template<typename Call>
double NanosecondsPerCall(int aRounds, const Call& aCall)
{
  std::vector<double> measured;
  for (int repetition = 0; repetition < kRepetitions; ++repetition) {
    const auto start = BootClock::now();
    for (int round = 0; round < aRounds; ++round) {
      aCall(round);
    }
    measured.push_back(static_cast<double>((BootClock::now() - start).count()) / aRounds);
  }
  std::ranges::nth_element(measured, measured.begin() + kRepetitions / 2);
  return measured[kRepetitions / 2];
}

WorldView MakeWorldView(int aCandidates, TimePoint aNow, std::uint64_t aSequence)
{
  WorldView view;
  view.mayServe = true;
  view.receivedAt = aNow;
  for (int number = 0; number < aCandidates; ++number) {
    Candidate candidate;
    candidate.id = "group-" + std::to_string(number);
    candidate.pool = kPool;
    candidate.zone = ZoneId("zone-" + std::to_string(number % 3));
    candidate.usableUntil = aNow + std::chrono::seconds(3600);
    candidate.members.resize(16, ServerId("server-of-group-" + std::to_string(number)));
    candidate.load = { aSequence, 4, 0, 16, aNow, {} };
    view.candidates.push_back(candidate);
  }
  return view;
}

void MeasureRouting(RoutingStrategy aStrategy, bool aWithPrefix)
{
  for (const int count : { 10, 50, 200, 394 }) {
    RouterSettings settings;
    settings.strategy = aStrategy;
    settings.ownZone = ZoneId("zone-0");
    Router router(settings, Random(1));
    const TimePoint now{ std::chrono::seconds(1000) };
    router.Update(MakeWorldView(count, now, 1), now);
    RouteQuery query{ kPool, WorkClass::Short, {}, {} };
    std::deque<std::string> sent;
    const double time = NanosecondsPerCall(kRounds, [&](int aRound) {
      if (aWithPrefix) {
        query.prefix = static_cast<std::uint64_t>(aRound) * 0x9e3779b97f4a7c15U;
      }
      auto chosen = router.Choose(query, now);
      router.OnSent(chosen->id, now);
      sent.push_back(std::move(chosen->id));
      if (sent.size() > 100) {
        router.OnFinished(
          sent.front(), RouteOutcome::Answered, std::chrono::milliseconds(100), now);
        sent.pop_front();
      }
    });
    std::printf("  %6d candidates  %8.0f ns  %s%s\n",
                count,
                time,
                Name(aStrategy),
                aWithPrefix ? " with prefix" : "");
  }
}

void MeasureRouterUpdate()
{
  for (const int count : { 10, 50, 200, 394 }) {
    Router router({}, Random(1));
    const TimePoint start{ std::chrono::seconds(1000) };
    std::vector<WorldView> views;
    for (std::uint64_t sequence = 1; sequence <= 50 * kRepetitions; ++sequence) {
      views.push_back(MakeWorldView(
        count, start + std::chrono::milliseconds(500) * sequence, sequence));
    }
    auto view = views.cbegin();
    const double time = NanosecondsPerCall(50, [&](int) {
      router.Update(*view, view->receivedAt);
      ++view;
    });
    std::printf("  %6d candidates  %8.0f ns\n", count, time);
  }
}

/// Measures the cost of offering one request and finishing one per round at four times
/// the capacity, so that the queues are full and most requests are refused.
void MeasureAdmission(int aAccounts)
{
  AdmissionController controller({}, Random(1));
  Random random(2);
  TimePoint now{ std::chrono::seconds(1000) };
  controller.OnSlotsReported(kPool, 400, now);
  std::deque<RequestId> running;
  const auto apply = [&running](const std::vector<AdmissionAction>& aActions) {
    for (const auto& action : aActions) {
      if (const auto* admit = std::get_if<Admit>(&action)) {
        running.push_back(admit->id);
      }
    }
  };
  std::uint64_t next = 0;
  const double time = NanosecondsPerCall(kRounds, [&](int aRound) {
    now += std::chrono::microseconds(250);
    Arrival arrival{ RequestId(std::to_string(next++)),
                     kPool,
                     AccountId("account-" + std::to_string(random.Below(
                                              static_cast<std::uint64_t>(aAccounts)))),
                     WorkClass::Short,
                     random.Fraction() + 0.1,
                     50 + 100 * random.Fraction(),
                     now + std::chrono::seconds(5) };
    apply(controller.Offer(std::move(arrival), now));
    if (aRound % 4 == 0 && running.size() > 300) {
      const RequestId done = running.front();
      running.pop_front();
      apply(controller.OnFinished(
        done, AttemptOutcome::Answered, std::chrono::milliseconds(400), now));
    }
  });
  std::printf("  %6d accounts  %8.0f ns  per request offered at 4 times capacity\n",
              aAccounts,
              time);
}

void MeasureSubset()
{
  std::vector<std::string> candidates;
  candidates.reserve(394);
  for (int number = 0; number < 394; ++number) {
    candidates.push_back("group-" + std::to_string(number));
  }
  std::vector<VmId> nodes;
  nodes.reserve(770);
  for (int number = 0; number < 770; ++number) {
    nodes.emplace_back("vm-" + std::to_string(number));
  }
  std::ranges::sort(nodes);
  const SubsetAssignment assignment(40);
  const double time = NanosecondsPerCall(
    1, [&](int) { (void)assignment.Assign(nodes.back(), nodes, candidates); });
  std::printf("  subset of 40 of 394 candidates for the last of 770 nodes  %.2f ms\n",
              time / 1e6);
}

} // namespace

void MeasureDecisionCost()
{
  std::printf("time per Choose(), OnSent() and OnFinished() together\n");
  for (const auto strategy : { RoutingStrategy::RoundRobin,
                               RoutingStrategy::LeastOutstanding,
                               RoutingStrategy::TwoChoices,
                               RoutingStrategy::LeastTwoChoices }) {
    MeasureRouting(strategy, false);
  }
  MeasureRouting(RoutingStrategy::LeastTwoChoices, true);
  std::printf("time per Update()\n");
  MeasureRouterUpdate();
  std::printf("time per admission decision\n");
  for (const int accounts : { 10, 100 }) {
    MeasureAdmission(accounts);
  }
  MeasureSubset();
}

} // namespace toucanstand
