#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <map>
#include <ranges>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "placement/GroupPlacement.h"
#include "priority/PriorityAdmission.h"

using namespace toucanstand;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };
constexpr std::size_t kVms = 79;
constexpr std::size_t kGroups = 6;
constexpr std::size_t kSlots = 20;
constexpr auto kStep = milliseconds(10);
constexpr auto kReportInterval = milliseconds(100);
/// Time of the engine's front end, which the cost model does not contain.
constexpr auto kFrontEndTime = milliseconds(120);

EngineCostModel CostModel()
{
  EngineCostModel cost;
  cost.slots = kSlots;
  cost.stepTime = std::chrono::microseconds(6070);
  cost.stepTimePerWriter = std::chrono::microseconds(241);
  cost.stepsPerPass = 5;
  cost.promptTokensPerSecond = 46'000;
  cost.promptChunk = 2048;
  cost.usualPromptTokens = 1260;
  cost.usualAnswerTokens = 116;
  cost.models = { { "m", 8, 1.0, 1.0, {}, {} } };
  return cost;
}

struct LoadKind
{
  int priority = 0;
  Duration objective{ 0 };
  double perSecond = 0;
};

struct KindResult
{
  int arrived = 0;
  int accepted = 0;
  int inTime = 0;
  int largeArrived = 0;
  int largeAccepted = 0;

  [[nodiscard]] double Share() const
  {
    return static_cast<double>(this->accepted) / this->arrived;
  }
  [[nodiscard]] double LargeShare() const
  {
    return static_cast<double>(this->largeAccepted) / this->largeArrived;
  }
};

struct Result
{
  std::array<KindResult, 2> kinds;
  double workSeconds = 0;
  /// Rejected, although the earlier rule would have accepted it.
  int newlyRejected = 0;
};

bool IsAcceptedByEarlierRule(const PlacementOutlook& aOutlook, Duration aObjective)
{
  const auto limit =
    FromSeconds(ToSeconds(aObjective) * std::min(0.85, 1.0 / aOutlook.margin));
  return aOutlook.earliest <= limit || aOutlook.lowestOccupancy < 0.5;
}

/// Plays a load at the VMs of a fleet, each with its own placement and
/// admission, that learn of each other's requests by reports of 100 to 200 ms
/// of age.
class LoadPlay
{
public:
  enum class Rule
  {
    Earlier,
    ByPriority,
  };

  LoadPlay(std::array<LoadKind, 2> aKinds, Rule aRule, std::uint64_t aSeed)
    : kinds(aKinds)
    , rule(aRule)
    , random(aSeed)
    , admissions(kVms)
    , groups(kGroups)
  {
    std::vector<ServingGroup> serving;
    for (std::size_t group = 0; group < kGroups; ++group) {
      serving.push_back(
        { GroupId("m-" + std::to_string(group)), "m", ServerId("h"), {}, ZoneId("z") });
    }
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      this->placements.emplace_back(ZoneId("z"), Random(aSeed * 1000 + vm));
      this->placements.back().SetCost(this->cost);
      this->placements.back().Update(serving);
    }
  }

  Result Play(Duration aDuration)
  {
    std::array<double, 2> due{};
    for (auto now = kStart; now < kStart + aDuration; now += kStep) {
      if ((now - kStart) % kReportInterval == Duration::zero()) {
        this->ExchangeReports(now);
      }
      for (std::size_t kind = 0; kind < 2; ++kind) {
        // Arrivals are independent of each other.
        due.at(kind) += this->kinds.at(kind).perSecond * ToSeconds(kStep) * 2.0 *
                        this->random.Fraction();
        for (; due.at(kind) >= 1; due.at(kind) -= 1) {
          this->Arrive(kind, now);
        }
      }
      for (auto& group : this->groups) {
        this->Advance(group, now);
      }
    }
    return this->result;
  }

private:
  struct Running
  {
    std::size_t vm = 0;
    GroupPlacement::Ticket ticket = 0;
    std::size_t kind = 0;
    TimePoint sentAt{};
    TimePoint readAt{};
    double promptLeft = 0;
    double answerLeft = 0;
    bool hasBegun = false;
  };

  void Arrive(std::size_t aKind, TimePoint aNow)
  {
    const auto& kind = this->kinds.at(aKind);
    auto& counts = this->result.kinds.at(aKind);
    const auto vm = this->random.Below(kVms);
    PlacementQuery query;
    query.model = "m";
    query.promptTokens = 100 + std::pow(this->random.Fraction(), 4) * 5800;
    // The largest tenth.
    const bool isLarge = query.promptTokens > 100 + std::pow(0.9, 4) * 5800;
    auto choice = this->placements.at(vm).Choose(query, aNow);
    REQUIRE(choice.HasValue());
    const auto& outlook = choice->outlook;
    const double excess =
      std::max(query.promptTokens - this->cost.usualPromptTokens, 0.0);
    const bool earlier = IsAcceptedByEarlierRule(outlook, kind.objective);
    const bool isAccepted =
      this->rule == Rule::Earlier
        ? earlier
        : this->admissions.at(vm)
            .Decide({ PoolId("p"),
                      "m",
                      kind.priority,
                      kind.objective,
                      seconds(6),
                      FromSeconds(excess / this->cost.promptTokensPerSecond),
                      false },
                    { outlook.earliest, outlook.lowestOccupancy, outlook.margin },
                    aNow)
            .IsAccepted();
    ++counts.arrived;
    counts.largeArrived += isLarge ? 1 : 0;
    this->result.newlyRejected += earlier && !isAccepted ? 1 : 0;
    if (!isAccepted) {
      return;
    }
    ++counts.accepted;
    counts.largeAccepted += isLarge ? 1 : 0;
    this->result.workSeconds +=
      ToSeconds(this->cost.WorkOf(query.promptTokens, this->cost.usualAnswerTokens));
    const auto ticket = this->placements.at(vm).OnSent(*choice, query.promptTokens, aNow);
    this->groups.at(std::stoul(choice->group.id.Value().substr(2)))
      .push_back({ vm,
                   ticket,
                   aKind,
                   aNow,
                   aNow,
                   query.promptTokens,
                   this->cost.usualAnswerTokens });
  }

  void Advance(std::vector<Running>& aGroup, TimePoint aNow)
  {
    const double stepSeconds = ToSeconds(kStep);
    double promptBudget = this->cost.promptTokensPerSecond * stepSeconds;
    const auto running = std::min(aGroup.size(), kSlots);
    const auto writers =
      std::count_if(aGroup.begin(),
                    aGroup.begin() + static_cast<std::ptrdiff_t>(running),
                    [](const Running& aRequest) { return aRequest.promptLeft <= 0; });
    const double tokens =
      stepSeconds / ToSeconds(this->cost.StepTime(static_cast<double>(writers)));
    for (std::size_t number = 0; number < running; ++number) {
      auto& request = aGroup[number];
      if (request.promptLeft > 0) {
        const double read = std::min(promptBudget, request.promptLeft);
        request.promptLeft -= read;
        promptBudget -= read;
        request.readAt = aNow;
        continue;
      }
      request.answerLeft -= tokens;
      // Events leave the engine at the end of a pass.
      const double written = this->cost.usualAnswerTokens - request.answerLeft;
      if (!request.hasBegun && written >= static_cast<double>(this->cost.stepsPerPass) &&
          aNow - request.readAt >= kFrontEndTime) {
        request.hasBegun = true;
        this->result.kinds.at(request.kind).inTime +=
          aNow - request.sentAt <= this->kinds.at(request.kind).objective ? 1 : 0;
      }
      if (request.hasBegun) {
        this->placements.at(request.vm).OnEvents(request.ticket, aNow);
      }
      if (request.answerLeft <= 0) {
        this->placements.at(request.vm)
          .OnEnded(request.ticket, GroupRequestOutcome::Answered, aNow);
      }
    }
    std::erase_if(aGroup,
                  [](const Running& aRequest) { return aRequest.answerLeft <= 0; });
  }

  void ExchangeReports(TimePoint aNow)
  {
    // Reports that arrive now were sent one interval ago.
    std::map<GroupId, GroupLoad> total;
    for (const auto& loads : this->reports) {
      for (const auto& load : loads) {
        auto& sum = total[load.group];
        sum.group = load.group;
        sum.prefillRequests += load.prefillRequests;
        sum.prefillTokens += load.prefillTokens;
        sum.decodeRequests += load.decodeRequests;
      }
    }
    for (std::size_t vm = 0; vm < this->reports.size(); ++vm) {
      auto others = total;
      for (const auto& own : this->reports[vm]) {
        auto& sum = others[own.group];
        sum.prefillRequests -= own.prefillRequests;
        sum.prefillTokens -= own.prefillTokens;
        sum.decodeRequests -= own.decodeRequests;
      }
      std::vector<GroupLoad> loads;
      std::ranges::copy(others | std::views::values, std::back_inserter(loads));
      this->placements[vm].OnPeerLoads(VmId("others"), loads, aNow);
      this->placements[vm].SetUnreportedPeerRequests(
        "m",
        (this->kinds[0].perSecond + this->kinds[1].perSecond) * 1.5 *
          ToSeconds(kReportInterval));
    }
    this->reports.clear();
    for (const auto& placement : this->placements) {
      this->reports.push_back(placement.OwnLoads(aNow));
    }
  }

  std::array<LoadKind, 2> kinds;
  Rule rule;
  Random random;
  EngineCostModel cost = CostModel();
  std::vector<GroupPlacement> placements;
  std::vector<PriorityAdmission> admissions;
  std::vector<std::vector<Running>> groups;
  std::vector<std::vector<GroupLoad>> reports;
  Result result;
};

std::array<LoadKind, 2> Kinds(double aUrgentPerSecond, double aPatientPerSecond)
{
  return { { { 1, milliseconds(500), aUrgentPerSecond },
             { 2, milliseconds(1000), aPatientPerSecond } } };
}

std::string Describe(const Result& aResult)
{
  std::string text = "work " + std::to_string(aResult.workSeconds) + " s";
  for (const auto& kind : aResult.kinds) {
    text += "; arrived " + std::to_string(kind.arrived) + ", accepted " +
            std::to_string(kind.Share()) + ", in time " + std::to_string(kind.inTime) +
            ", large accepted " + std::to_string(kind.LargeShare());
  }
  return text;
}

} // namespace

TEST_CASE("At a peak beyond capacity urgent requests are accepted before others",
          "[admission]")
{
  // Guards against accepting requests in order of arrival by the predicted
  // first event alone: kinds with long objectives are then always accepted and
  // urgent ones rejected. The groups serve about 89 requests per second; a
  // quarter of these has no place.
  const auto seed = GENERATE(1U, 2U, 3U);
  const auto kinds = Kinds(63, 56);
  const auto earlier = LoadPlay(kinds, LoadPlay::Rule::Earlier, seed).Play(seconds(30));
  const auto result = LoadPlay(kinds, LoadPlay::Rule::ByPriority, seed).Play(seconds(30));
  INFO("seed " << seed << "; earlier rule: " << Describe(earlier)
               << "; by priority: " << Describe(result));
  const auto& [urgent, patient] = result.kinds;
  const double all = static_cast<double>(urgent.accepted + patient.accepted) /
                     (urgent.arrived + patient.arrived);
  CHECK(urgent.Share() >= patient.Share() - 0.05);
  CHECK(result.workSeconds >= 0.97 * earlier.workSeconds);
  CHECK(patient.Share() >= all / 4);
  for (const auto& kind : result.kinds) {
    CHECK(kind.LargeShare() >= kind.Share() / 2);
  }
  // Accepting them is of no use if they are late.
  CHECK(urgent.inTime > earlier.kinds[0].inTime);
}

TEST_CASE("No kind starves when urgent requests alone exceed the capacity", "[admission]")
{
  const auto kinds = Kinds(130, 20);
  const auto result = LoadPlay(kinds, LoadPlay::Rule::ByPriority, 4).Play(seconds(30));
  INFO(Describe(result));
  const auto& [urgent, patient] = result.kinds;
  CHECK(urgent.Share() >= patient.Share() - 0.05);
  CHECK(patient.Share() >= urgent.Share() / 4);
}

TEST_CASE("With capacity enough nothing is rejected that the earlier rule accepts",
          "[admission]")
{
  const auto seed = GENERATE(1U, 2U, 3U);
  const auto result =
    LoadPlay(Kinds(42, 38), LoadPlay::Rule::ByPriority, seed).Play(seconds(30));
  INFO("seed " << seed << ": " << Describe(result));
  CHECK(result.newlyRejected == 0);
}
