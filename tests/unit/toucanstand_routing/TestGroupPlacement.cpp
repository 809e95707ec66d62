#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <optional>
#include <set>

#include <catch2/catch.hpp>

#include "placement/GroupPlacement.h"

using namespace toucanstand;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

EngineCostModel CostModel()
{
  EngineCostModel cost;
  cost.slots = 26;
  cost.stepTime = std::chrono::microseconds(6070);
  cost.stepTimePerWriter = std::chrono::microseconds(241);
  cost.stepsPerPass = 5;
  cost.promptTokensPerSecond = 46'000;
  cost.promptChunk = 2048;
  cost.usualPromptTokens = 1076;
  cost.usualAnswerTokens = 116;
  cost.models = { { "m", 4, 1.0, 1.0, {}, {} } };
  return cost;
}

ServingGroup Group(int aNumber, const char* aZone = "z1")
{
  return { GroupId("m-" + std::to_string(aNumber)),
           "m",
           ServerId("h"),
           { "10.0.0.1", 80 },
           ZoneId(aZone) };
}

GroupPlacement Placement(int aGroups, std::uint64_t aSeed = 1)
{
  GroupPlacement placement(ZoneId("z1"), Random(aSeed));
  placement.SetCost(CostModel());
  std::vector<ServingGroup> groups;
  groups.reserve(static_cast<std::size_t>(aGroups));
  for (int number = 0; number < aGroups; ++number) {
    groups.push_back(Group(number));
  }
  placement.Update(groups);
  return placement;
}

PlacementQuery Query(double aTokens = 1000)
{
  PlacementQuery query;
  query.model = "m";
  query.promptTokens = aTokens;
  return query;
}

constexpr auto kTarget = milliseconds(500);

/// Longest prediction with which the admission accepts a request while its model has one
/// priority; TestPriorityAdmission compares it with the same formula.
Duration Limit(const PlacementOutlook& aOutlook, Duration aTarget = kTarget)
{
  return FromSeconds(ToSeconds(aTarget) * std::min(0.85, 1.0 / aOutlook.margin));
}

bool IsAccepted(const PlacementOutlook& aOutlook, Duration aTarget = kTarget)
{
  return aOutlook.earliest <= Limit(aOutlook, aTarget) || aOutlook.lowestOccupancy < 0.5;
}

} // namespace

TEST_CASE("Predictions weight prompts in progress by their tokens", "[placement]")
{
  // Guards against queueing a short request behind a long prompt while another group is
  // idle.
  auto placement = Placement(2);
  const auto first = placement.Choose(Query(6000), kStart);
  REQUIRE(first.HasValue());
  placement.OnSent(*first, 6000, kStart);
  for (int number = 0; number < 3; ++number) {
    const auto next = placement.Choose(Query(100), kStart);
    REQUIRE(next.HasValue());
    CHECK(next->group.id != first->group.id);
    placement.OnSent(*next, 100, kStart);
  }
}

TEST_CASE("Requests of peers count as load of a group like own requests", "[placement]")
{
  // Guards against several entry VMs that choose the same free slots.
  auto placement = Placement(2);
  placement.OnPeerLoads(VmId("vm-2"), { { GroupId("m-0"), 2, 1000, 20 } }, kStart);
  for (int number = 0; number < 5; ++number) {
    CHECK(placement.Choose(Query(), kStart)->group.id == GroupId("m-1"));
  }
  // The last report of a peer that no longer reports expires.
  const auto later = kStart + GroupPlacement::kPeerReportLifetime + milliseconds(1);
  std::set<GroupId> chosen;
  for (int number = 0; number < 50; ++number) {
    chosen.insert(placement.Choose(Query(), later)->group.id);
  }
  CHECK(chosen.size() == 2);
}

TEST_CASE("The outlook of a choice is that of the best group, whichever was chosen",
          "[placement]")
{
  // Guards against an admission that decides by a group which others have filled.
  // Placement itself refuses nothing, however late.
  auto placement = Placement(2);
  placement.OnPeerLoads(
    VmId("vm-2"),
    { { GroupId("m-0"), 10, 20'000, 26 }, { GroupId("m-1"), 8, 8000, 26 } },
    kStart);
  placement.SetUnreportedPeerRequests("m", 100);
  auto excluding = Query();
  excluding.excluded = { GroupId("m-0") };
  const auto best = placement.Choose(excluding, kStart);
  REQUIRE(best.HasValue());
  CHECK(best->outlook.groups == 1);
  CHECK(best->outlook.lowestOccupancy == Approx(34.0 / 26));
  CHECK_FALSE(IsAccepted(best->outlook));
  for (int number = 0; number < 20; ++number) {
    const auto choice = placement.Choose(Query(), kStart);
    REQUIRE(choice.HasValue());
    CHECK(choice->outlook.groups == 2);
    CHECK(choice->outlook.earliest == best->outlook.earliest);
    CHECK(choice->outlook.lowestOccupancy == best->outlook.lowestOccupancy);
  }
  auto query = Query();
  query.model = "other";
  const auto none = placement.Choose(query, kStart);
  REQUIRE(!none.HasValue());
  CHECK(none.LastReason().retryAfter >= seconds(1));
}

TEST_CASE("A group whose streams pause gets no requests until they resume", "[placement]")
{
  // Guards against sending requests to a group that lost a member.
  auto placement = Placement(2);
  const auto choice = placement.Choose(Query(), kStart);
  const auto ticket = placement.OnSent(*choice, 1000, kStart);
  placement.OnEvents(ticket, kStart);
  const auto silent = kStart + GroupPlacement::kStreamSilenceTimeout + milliseconds(10);
  for (int number = 0; number < 20; ++number) {
    CHECK(placement.Choose(Query(), silent)->group.id != choice->group.id);
  }
  CHECK(placement.TakeSuspicions(silent) == std::vector<GroupId>{ choice->group.id });
  CHECK(placement.TakeSuspicions(silent).empty());
  placement.OnEvents(ticket, silent + milliseconds(1));
  auto query = Query();
  query.excluded = { placement.Choose(Query(), silent)->group.id };
  CHECK(placement.Choose(query, silent + milliseconds(2)).HasValue());
}

TEST_CASE("A peer's suspicion is ignored while own streams produce events", "[placement]")
{
  // Guards against one VM that is cut off from the engines and makes all other VMs avoid
  // every group.
  auto placement = Placement(1);
  const auto ticket = placement.OnSent(*placement.Choose(Query(), kStart), 1000, kStart);
  placement.OnEvents(ticket, kStart);
  placement.OnPeerSuspicion(GroupId("m-0"), kStart + milliseconds(100));
  CHECK_FALSE(placement.IsSuspected(GroupId("m-0"), kStart + milliseconds(100)));
  placement.OnEnded(ticket, GroupRequestOutcome::Answered, kStart + milliseconds(200));
  placement.OnPeerSuspicion(GroupId("m-0"), kStart + milliseconds(200));
  CHECK(placement.IsSuspected(GroupId("m-0"), kStart + milliseconds(200)));
}

TEST_CASE("A group whose head is unreachable is reported to the peers", "[placement]")
{
  // Guards against every VM having to send a request to a failed head server to detect
  // the failure: 209 connection attempts timed out in one day of a large site.
  auto placement = Placement(2);
  PlacementChoice choice;
  choice.group = Group(0);
  placement.OnEnded(
    placement.OnSent(choice, 10, kStart), GroupRequestOutcome::Unusable, kStart);
  CHECK(placement.TakeSuspicions(kStart) == std::vector<GroupId>{ GroupId("m-0") });
}

TEST_CASE("A stream that has begun continues on a suspected group if there is no other",
          "[placement]")
{
  // Guards against streams that are broken off although a group may answer.
  auto placement = Placement(2);
  placement.OnPeerSuspicion(GroupId("m-1"), kStart);
  auto query = Query();
  query.excluded = { GroupId("m-0") };
  CHECK_FALSE(placement.Choose(query, kStart).HasValue());
  query.isResumed = true;
  const auto choice = placement.Choose(query, kStart);
  REQUIRE(choice.HasValue());
  CHECK(choice->group.id == GroupId("m-1"));
  query.excluded = { GroupId("m-0"), GroupId("m-1") };
  CHECK_FALSE(placement.Choose(query, kStart).HasValue());
}

TEST_CASE("A VM without requests of its own predicts with its peers' learned overhead",
          "[placement]")
{
  // Guards against predictions without the time of the engine's front end for the first
  // requests of each VM: observed times were 2.3 times the predictions in the first
  // seconds of a day.
  auto placement = Placement(1);
  const auto before = placement.Choose(Query(), kStart)->predicted;
  placement.OnPeerOverhead("m", milliseconds(120));
  const auto after = placement.Choose(Query(), kStart)->predicted;
  CHECK(ToSeconds(after - before) == Approx(0.12));
  CHECK(placement.LearnedOverheads().empty());
}

TEST_CASE("The prediction limit decreases after predictions that were too low",
          "[placement]")
{
  // Guards against admitting requests by predictions that are too low: a quarter of the
  // admitted requests were late at peak load.
  auto placement = Placement(1);
  auto now = kStart;
  const auto serve = [&](double aObservedRatio) {
    const auto choice = placement.Choose(Query(1000), now);
    REQUIRE(choice.HasValue());
    const auto ticket = placement.OnSent(*choice, 1000, now);
    const auto first =
      FromSeconds(ToSeconds(std::max(choice->predicted, Duration(milliseconds(150)))) *
                  aObservedRatio);
    placement.OnEvents(ticket, now + first);
    placement.OnEnded(ticket, GroupRequestOutcome::Answered, now + first);
    now += seconds(1);
  };
  const auto limit = [&] {
    placement.OnPeerLoads(VmId("vm-2"), { { GroupId("m-0"), 10, 40'000, 26 } }, now);
    const auto refused = placement.Choose(Query(), now);
    placement.OnPeerLoads(VmId("vm-2"), {}, now);
    CHECK_FALSE(IsAccepted(refused->outlook));
    return Limit(refused->outlook);
  };
  for (int number = 0; number < 100; ++number) {
    serve(1.0);
  }
  const auto exact = limit();
  CHECK(ToSeconds(exact) == Approx(0.5 * 0.85));
  for (int number = 0; number < 200; ++number) {
    serve(number % 2 == 0 ? 1.0 : 1.4);
  }
  CHECK(limit() < exact);
}

TEST_CASE("A group that is unusable, stalls or fails is avoided for a time",
          "[placement]")
{
  auto placement = Placement(2);
  const auto end = [&](GroupRequestOutcome aEnd, TimePoint aNow) {
    PlacementChoice choice;
    choice.group = Group(0);
    placement.OnEnded(placement.OnSent(choice, 10, aNow), aEnd, aNow);
  };
  end(GroupRequestOutcome::Unusable, kStart);
  CHECK(placement.Choose(Query(), kStart)->group.id == GroupId("m-1"));
  const auto second = kStart + seconds(10);
  end(GroupRequestOutcome::Stalled, second);
  CHECK(placement.IsSuspected(GroupId("m-0"), second));
  const auto third = second + seconds(10);
  for (int number = 0; number < GroupPlacement::kFailureThreshold; ++number) {
    end(GroupRequestOutcome::Failed, third);
  }
  CHECK(placement.Choose(Query(), third)->group.id == GroupId("m-1"));
  CHECK(!placement.IsSuspected(GroupId("m-0"), third));
}

namespace {

/// Simulates groups that run requests according to the cost model, plus a fixed overhead
/// before the first event that the cost model does not contain. Requests arrive at a
/// constant rate.
class EngineSimulation
{
public:
  using Chooser = std::function<std::optional<int>(double aTokens, TimePoint aNow)>;

  struct Outcome
  {
    int inTime = 0;
    int late = 0;
    int refused = 0;
  };

  static constexpr int kGroups = 4;
  static constexpr int kSlots = 26;
  static constexpr auto kStep = milliseconds(10);

  /// Called when a request's first event arrives and when it ends.
  std::function<void(int aRequest, TimePoint aNow)> onFirst = [](int, TimePoint) {};
  std::function<void(int aRequest, TimePoint aNow)> onEnd = [](int, TimePoint) {};

  Outcome Simulate(double aPerSecond, std::uint64_t aSeed, const Chooser& aChoose)
  {
    Random random(aSeed);
    Outcome outcome;
    std::vector<std::vector<Request>> groups(kGroups);
    double due = 0;
    int number = 0;
    for (auto now = kStart; now < kStart + seconds(30); now += kStep) {
      for (due += aPerSecond * 0.01; due >= 1; due -= 1) {
        // The users' longest prompts have about 5,900 tokens.
        const double tokens = 100 + std::pow(random.Fraction(), 4) * 5800;
        const auto group = aChoose(tokens, now);
        ++number;
        if (!group) {
          ++outcome.refused;
          continue;
        }
        groups[static_cast<std::size_t>(*group)].push_back({ number, now, tokens, 116 });
      }
      for (auto& group : groups) {
        this->Advance(group, now, outcome);
      }
    }
    return outcome;
  }

private:
  struct Request
  {
    int number = 0;
    TimePoint sentAt{};
    double prefillTokensLeft = 0;
    double decodeTokensLeft = 0;
    bool firstEventSent = false;
  };

  void Advance(std::vector<Request>& aGroup, TimePoint aNow, Outcome& aOutcome)
  {
    double prefillBudget = 46'000 * 0.01;
    const auto decodingRequests = std::ranges::count_if(
      aGroup, [](const Request& aRequest) { return aRequest.prefillTokensLeft <= 0; });
    const double step =
      0.00607 + 0.000241 * static_cast<double>(std::min<long>(decodingRequests, kSlots));
    int running = 0;
    for (auto& request : aGroup) {
      if (++running > kSlots) {
        break;
      }
      if (request.prefillTokensLeft > 0) {
        const double prefilled = std::min(prefillBudget, request.prefillTokensLeft);
        request.prefillTokensLeft -= prefilled;
        prefillBudget -= prefilled;
        continue;
      }
      const bool begins =
        !request.firstEventSent && aNow - request.sentAt > milliseconds(150);
      if (begins) {
        request.firstEventSent = true;
        const bool inTime = aNow - request.sentAt <= milliseconds(500);
        ++(inTime ? aOutcome.inTime : aOutcome.late);
        this->onFirst(request.number, aNow);
      }
      request.decodeTokensLeft -= request.firstEventSent ? 0.01 / step : 0;
    }
    for (const auto& request : aGroup) {
      if (request.decodeTokensLeft <= 0) {
        this->onEnd(request.number, aNow);
      }
    }
    std::erase_if(aGroup,
                  [](const Request& aRequest) { return aRequest.decodeTokensLeft <= 0; });
  }
};

EngineSimulation::Outcome SimulatePredictedPlacement(double aPerSecond,
                                                     std::uint64_t aSeed)
{
  auto placement = Placement(EngineSimulation::kGroups, aSeed);
  std::map<int, GroupPlacement::Ticket> tickets;
  std::set<int> decodeRequests;
  EngineSimulation simulation;
  int number = 0;
  simulation.onFirst = [&](int aRequest, TimePoint aNow) {
    decodeRequests.insert(aRequest);
    placement.OnEvents(tickets.at(aRequest), aNow);
  };
  simulation.onEnd = [&](int aRequest, TimePoint aNow) {
    decodeRequests.erase(aRequest);
    placement.OnEnded(tickets.at(aRequest), GroupRequestOutcome::Answered, aNow);
  };
  return simulation.Simulate(
    aPerSecond, aSeed, [&](double aTokens, TimePoint aNow) -> std::optional<int> {
      ++number;
      // Streams are not simulated event by event; decoding streams never pause.
      std::ranges::for_each(decodeRequests, [&](int aRequest) {
        placement.OnEvents(tickets.at(aRequest), aNow);
      });
      const auto choice = placement.Choose(Query(aTokens), aNow);
      if (!choice || !IsAccepted(choice->outlook)) {
        return std::nullopt;
      }
      tickets[number] = placement.OnSent(*choice, aTokens, aNow);
      return std::stoi(choice->group.id.Value().substr(2));
    });
}

/// Simulates many VMs that receive one another's load reports with a delay.
class FleetSimulation
{
public:
  static constexpr int kVms = 40;
  static constexpr auto kReportInterval = milliseconds(100);

  FleetSimulation(std::uint64_t aSeed, bool aUsesUnreportedRequests)
    : usesUnreportedRequests(aUsesUnreportedRequests)
    , random(aSeed)
  {
    for (int vm = 0; vm < kVms; ++vm) {
      this->placements.push_back(Placement(EngineSimulation::kGroups,
                                           aSeed * 100 + static_cast<std::uint64_t>(vm)));
    }
  }

  EngineSimulation::Outcome Simulate(double aPerSecond, std::uint64_t aSeed)
  {
    EngineSimulation simulation;
    simulation.onFirst = [this](int aRequest, TimePoint aNow) {
      this->decodeRequests.insert(aRequest);
      this->PlacementOf(aRequest).OnEvents(this->sentRequests.at(aRequest).ticket, aNow);
    };
    simulation.onEnd = [this](int aRequest, TimePoint aNow) {
      this->decodeRequests.erase(aRequest);
      this->PlacementOf(aRequest).OnEnded(
        this->sentRequests.at(aRequest).ticket, GroupRequestOutcome::Answered, aNow);
    };
    return simulation.Simulate(aPerSecond, aSeed, [&](double aTokens, TimePoint aNow) {
      return this->Choose(aPerSecond, aTokens, aNow);
    });
  }

private:
  struct SentRequest
  {
    std::size_t vm = 0;
    GroupPlacement::Ticket ticket = 0;
  };

  GroupPlacement& PlacementOf(int aRequest)
  {
    return this->placements.at(this->sentRequests.at(aRequest).vm);
  }

  std::optional<int> Choose(double aPerSecond, double aTokens, TimePoint aNow)
  {
    this->ExchangeReports(aPerSecond, aNow);
    ++this->number;
    for (const int request : this->decodeRequests) {
      this->PlacementOf(request).OnEvents(this->sentRequests.at(request).ticket, aNow);
    }
    const auto vm = this->random.Below(kVms);
    auto& placement = this->placements.at(vm);
    const auto choice = placement.Choose(Query(aTokens), aNow);
    if (!choice || !IsAccepted(choice->outlook)) {
      return std::nullopt;
    }
    this->sentRequests[this->number] = { vm, placement.OnSent(*choice, aTokens, aNow) };
    return std::stoi(choice->group.id.Value().substr(2));
  }

  void ExchangeReports(double aPerSecond, TimePoint aNow)
  {
    if (aNow < this->nextExchange) {
      return;
    }
    this->nextExchange = aNow + kReportInterval;
    // Reports that arrive now were sent one interval ago.
    const auto arriving = std::exchange(this->reportsInFlight, {});
    for (int vm = 0; vm < kVms; ++vm) {
      auto& placement = this->placements.at(static_cast<std::size_t>(vm));
      for (int peer = 0; peer < static_cast<int>(arriving.size()); ++peer) {
        if (peer != vm) {
          placement.OnPeerLoads(VmId("vm-" + std::to_string(peer)),
                                arriving.at(static_cast<std::size_t>(peer)),
                                aNow);
        }
      }
      this->reportsInFlight.push_back(placement.OwnLoads(aNow));
      if (this->usesUnreportedRequests) {
        const double age = 1.5 * ToSeconds(kReportInterval);
        placement.SetUnreportedPeerRequests("m", aPerSecond * age);
      }
    }
  }

  bool usesUnreportedRequests;
  Random random;
  std::vector<GroupPlacement> placements;
  std::map<int, SentRequest> sentRequests;
  std::set<int> decodeRequests;
  std::vector<std::vector<GroupLoad>> reportsInFlight;
  TimePoint nextExchange{};
  int number = 0;
};

EngineSimulation::Outcome SimulateLeastOutstanding(double aPerSecond, std::uint64_t aSeed)
{
  std::map<int, int> groupOf;
  std::vector<int> outstanding(EngineSimulation::kGroups);
  EngineSimulation simulation;
  int number = 0;
  simulation.onEnd = [&](int aRequest, TimePoint) {
    --outstanding[groupOf.at(aRequest)];
  };
  return simulation.Simulate(
    aPerSecond, aSeed, [&](double, TimePoint) -> std::optional<int> {
      ++number;
      const auto least = std::ranges::min_element(outstanding);
      ++*least;
      groupOf[number] = static_cast<int>(least - outstanding.begin());
      return groupOf[number];
    });
}

} // namespace

TEST_CASE("In overload, refusing some requests lets more requests be served in time",
          "[placement]")
{
  // Simulates 1.5 times the load that four full groups can serve: requests that cannot
  // meet their target must not displace those that can.
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    const auto predicted = SimulatePredictedPlacement(75, seed);
    const auto least = SimulateLeastOutstanding(75, seed);
    INFO("seed " << seed << ": in time " << predicted.inTime << ", late "
                 << predicted.late << ", refused " << predicted.refused
                 << "; by least outstanding requests: in time " << least.inTime
                 << ", late " << least.late);
    CHECK(predicted.inTime > least.inTime);
    CHECK(predicted.late < predicted.inTime / 5);
  }
}

TEST_CASE("Below capacity no request is refused", "[placement]")
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    const auto predicted = SimulatePredictedPlacement(25, seed);
    CHECK(predicted.refused == 0);
    CHECK(predicted.late == 0);
  }
}

TEST_CASE("Many VMs with delayed reports do not all choose the same group", "[placement]")
{
  // Simulates peak load on 40 VMs whose reports are 100 to 200 ms old: without an
  // estimate of the requests that peers have sent since, all choose the group that was
  // least loaded.
  int lateWith = 0;
  int lateWithout = 0;
  int inTimeWith = 0;
  int inTimeWithout = 0;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const auto with = FleetSimulation(seed, true).Simulate(64, seed);
    const auto without = FleetSimulation(seed, false).Simulate(64, seed);
    lateWith += with.late;
    lateWithout += without.late;
    inTimeWith += with.inTime;
    inTimeWithout += without.inTime;
  }
  INFO("with the estimate late " << lateWith << ", without " << lateWithout
                                 << "; with the estimate in time " << inTimeWith
                                 << ", without " << inTimeWithout);
  CHECK(lateWith < lateWithout);
  CHECK(inTimeWith > inTimeWithout);
}

TEST_CASE("A new group at peak load is not overloaded by all VMs between two reports",
          "[placement]")
{
  // Guards against first events that are a second late: 95 VMs that saw one empty group
  // among full ones sent it all requests that arrived between two reports.
  constexpr int kVms = 95;
  constexpr int kFullGroups = 50;
  constexpr int kArrivals = 130;
  std::vector<GroupLoad> known;
  known.reserve(kFullGroups);
  for (int number = 0; number < kFullGroups; ++number) {
    known.push_back({ GroupId("m-" + std::to_string(number)), 2, 2000, 22 });
  }
  const GroupId newGroup("m-" + std::to_string(kFullGroups));
  std::vector<GroupPlacement> vms;
  vms.reserve(kVms);
  for (int vm = 0; vm < kVms; ++vm) {
    vms.push_back(Placement(kFullGroups + 1, static_cast<std::uint64_t>(vm)));
    vms.back().OnPeerLoads(VmId("sum of the others"), known, kStart);
    vms.back().SetUnreportedPeerRequests("m", kArrivals);
  }
  Random random(1);
  int sentToNewGroup = 0;
  for (int number = 0; number < kArrivals; ++number) {
    auto& vm = vms.at(random.Below(kVms));
    const auto choice = vm.Choose(Query(), kStart);
    REQUIRE(choice.HasValue());
    CHECK(IsAccepted(choice->outlook));
    vm.OnSent(*choice, 1000, kStart);
    sentToNewGroup += choice->group.id == newGroup ? 1 : 0;
  }
  CHECK(sentToNewGroup > 0);
  CHECK(sentToNewGroup <= static_cast<int>(CostModel().slots));
}

TEST_CASE(
  "Unreported peer requests do not refuse a request that a group can serve in time",
  "[placement]")
{
  // Guards against needless refusals in small fleets. The requests that peers are assumed
  // to have sent fill the group with the earliest prediction on average, yet most of the
  // time it is still free. Counting them raised refusals at one site from 2.3% to 3.1% of
  // the requests of load profile scale-2, and lowered the business value (worth) of the
  // served requests by 0.06.
  auto placement = Placement(3);
  placement.OnPeerLoads(VmId("vm-2"),
                        { { GroupId("m-0"), 4, 4000, 20 },
                          { GroupId("m-1"), 6, 9000, 20 },
                          { GroupId("m-2"), 6, 9000, 20 } },
                        kStart);
  const auto own = placement.Choose(Query(), kStart);
  REQUIRE(own.HasValue());
  const auto target = FromSeconds(ToSeconds(own->predicted) / 0.85) + milliseconds(5);
  REQUIRE(IsAccepted(own->outlook, target));
  placement.SetUnreportedPeerRequests("m", 4);
  CHECK(IsAccepted(placement.Choose(Query(), kStart)->outlook, target));
}

TEST_CASE("A group is reported while requests wait for its first event", "[placement]")
{
  // Guards against a group that has lost a member and that nobody examines, because the
  // requests which notice it stay with it.
  auto placement = Placement(1);
  const auto choice = placement.Choose(Query(), kStart);
  REQUIRE(choice.HasValue());
  const auto ticket = placement.OnSent(*choice, 1000, kStart);
  const auto silent = kStart + milliseconds(1200);
  CHECK(placement.TakeSuspicions(silent).empty());
  placement.OnSilent(ticket, silent);
  CHECK(placement.IsSuspected(choice->group.id, silent));
  CHECK(placement.TakeSuspicions(silent) == std::vector<GroupId>{ choice->group.id });
  placement.OnSilent(ticket, silent + milliseconds(200));
  CHECK(placement.TakeSuspicions(silent + milliseconds(200)).empty());
  placement.OnEvents(ticket, silent + milliseconds(400));
  CHECK_FALSE(placement.IsSuspected(choice->group.id, silent + milliseconds(400)));
}
