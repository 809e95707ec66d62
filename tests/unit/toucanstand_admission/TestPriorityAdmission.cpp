#include <algorithm>
#include <cmath>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "priority/PriorityAdmission.h"
#include "random/Random.h"

using namespace toucanstand;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

AdmissionRequest Request(int aPriority, Duration aObjective)
{
  return { PoolId("p"), "m", aPriority, aObjective, seconds(8), {}, false };
}

const AdmissionRequest kUrgent = Request(1, milliseconds(500));
const AdmissionRequest kPatient = Request(2, milliseconds(1000));

AdmissionOutlook Full(Duration aEarliest)
{
  return { aEarliest, 1.0, 1.0 };
}

/// Rejects requests of the kind until the floor has no more credit for it.
void SpendCredit(PriorityAdmission& aAdmission, const AdmissionRequest& aRequest)
{
  for (int number = 0; number < 3; ++number) {
    static_cast<void>(aAdmission.Decide(aRequest, Full(milliseconds(1)), kStart));
  }
}

} // namespace

TEST_CASE("With one priority at a model the decision is that of the earlier rule",
          "[admission]")
{
  // Guards earlier deployments: kinds of equal priority must not yield to one another,
  // and priorities at another model or pool must not matter.
  const auto seed = GENERATE(1U, 2U, 3U);
  INFO("seed " << seed);
  Random random(seed);
  PriorityAdmission admission;
  auto now = kStart;
  for (int number = 0; number < 20'000; ++number) {
    now += milliseconds(random.Below(200));
    auto request = Request(4, milliseconds(200 + 100 * random.Below(10)));
    request.excessPromptTime = milliseconds(random.Below(100));
    request.mustPlace = random.Below(20) == 0;
    const AdmissionOutlook outlook{ milliseconds(random.Below(1500)),
                                    random.Fraction() * 1.5,
                                    1.0 + random.Fraction() * 0.6 };
    auto other = Request(0, milliseconds(100));
    if (number % 2 == 0) {
      other.model = "other";
    } else {
      other.pool = PoolId("other");
    }
    static_cast<void>(admission.Decide(other, outlook, now));
    const auto limit =
      FromSeconds(ToSeconds(request.objective) * std::min(0.85, 1.0 / outlook.margin));
    const bool isRejected =
      outlook.earliest > limit && outlook.lowestOccupancy >= 0.5 && !request.mustPlace;
    const auto decision = admission.Decide(request, outlook, now);
    REQUIRE(decision.IsAccepted() == !isRejected);
    REQUIRE(decision.verdict != AdmissionVerdict::AcceptedByFloor);
    if (isRejected) {
      REQUIRE(decision.limit == limit);
      REQUIRE(decision.retryAfter ==
              std::max<Duration>(outlook.earliest - limit, milliseconds(100)));
    }
  }
}

TEST_CASE("A less urgent request yields to a more urgent kind that is arriving",
          "[admission]")
{
  // Guards against rejecting urgent requests while those with long objectives are
  // accepted.
  PriorityAdmission admission;
  const auto rejects =
    [&](const AdmissionRequest& aRequest, AdmissionOutlook aOutlook, TimePoint aNow) {
      return !PriorityAdmission(admission).Decide(aRequest, aOutlook, aNow).IsAccepted();
    };
  SpendCredit(admission, kPatient);
  CHECK_FALSE(rejects(kPatient, Full(milliseconds(800)), kStart));
  SpendCredit(admission, kUrgent);
  CHECK(rejects(kPatient, Full(milliseconds(800)), kStart));
  CHECK(rejects(kPatient, Full(milliseconds(302)), kStart));
  CHECK_FALSE(rejects(kPatient, Full(milliseconds(293)), kStart));
  CHECK_FALSE(rejects(kUrgent, Full(milliseconds(420)), kStart));
  // Its own length does not shut a request out.
  auto longest = kPatient;
  longest.excessPromptTime = milliseconds(150);
  CHECK_FALSE(rejects(longest, Full(milliseconds(440)), kStart));
  // Nothing is rejected while a slot that would serve it is free.
  CHECK_FALSE(rejects(kPatient, { milliseconds(800), 0.95, 1.0 }, kStart));
  auto placed = kPatient;
  placed.mustPlace = true;
  CHECK_FALSE(rejects(placed, Full(milliseconds(2000)), kStart));
  const auto later = kStart + PriorityAdmission::kKindLifetime + milliseconds(1);
  CHECK_FALSE(rejects(kPatient, Full(milliseconds(800)), later));
  const auto decision = admission.Decide(kPatient, Full(milliseconds(640)), kStart);
  CHECK(decision.verdict == AdmissionVerdict::Yielded);
  CHECK(decision.yieldsTo == 1);
  CHECK(ToSeconds(decision.limit) == Approx(0.2975));
  CHECK(ToSeconds(decision.retryAfter) == Approx(0.3425));
  const auto dump = admission.Describe(kStart);
  REQUIRE(dump.at(0).at("kinds").size() == 2);
  CHECK(dump[0]["kinds"][1].at("priority") == 2);
}

TEST_CASE("Kinds of several priorities yield in their order", "[admission]")
{
  // Guards against a middle kind that is shut out by less urgent ones, and against a
  // least urgent kind whose limit no idle group meets.
  PriorityAdmission admission;
  double previous = 1.0;
  for (int priority = 0; priority < 10; ++priority) {
    const auto request = Request(priority, milliseconds(400));
    SpendCredit(admission, request);
    const auto decision =
      PriorityAdmission(admission).Decide(request, Full(milliseconds(800)), kStart);
    CHECK(decision.verdict == AdmissionVerdict::Overloaded);
    const auto yields =
      PriorityAdmission(admission).Decide(request, Full(milliseconds(339)), kStart);
    CHECK(yields.IsAccepted() == (priority == 0));
    CHECK(ToSeconds(yields.limit) <= previous);
    CHECK(ToSeconds(yields.limit) >= 0.34 * PriorityAdmission::kMinTightening - 1e-9);
    previous = ToSeconds(yields.limit);
  }
}

TEST_CASE("The floor keeps a kind from starving, however rare it is", "[admission]")
{
  // H3: no kind is served less than a quarter as often as all.
  const auto interval =
    GENERATE(milliseconds(50), milliseconds(5000), milliseconds(60'000));
  PriorityAdmission admission;
  int accepted = 0;
  constexpr int kArrivals = 300;
  for (int number = 0; number < kArrivals; ++number) {
    const auto now = kStart + number * interval;
    for (int urgent = 0; urgent < 5; ++urgent) {
      CHECK(admission.Decide(kUrgent, Full(milliseconds(400)), now).IsAccepted());
    }
    accepted +=
      admission.Decide(kPatient, Full(milliseconds(400)), now).IsAccepted() ? 1 : 0;
  }
  CHECK(accepted >= kArrivals / 4);
  CHECK(accepted <= kArrivals * 4 / 10);
}

TEST_CASE("A rejection says whether the caller has the time to come back", "[admission]")
{
  // H4: callers retry within a third of their remaining time.
  PriorityAdmission admission;
  auto request = kUrgent;
  const auto decide = [&](Duration aTimeLeft) {
    request.timeLeft = aTimeLeft;
    return admission.Decide(request, Full(milliseconds(1025)), kStart);
  };
  CHECK(ToSeconds(decide(seconds(8)).retryAfter) == Approx(0.6));
  CHECK(decide(milliseconds(2800)).leavesTimeToReturn);
  CHECK_FALSE(decide(milliseconds(2600)).leavesTimeToReturn);
  CHECK(decide(milliseconds(2600)).RejectionName() ==
        std::string_view("too_late_to_return"));
}
