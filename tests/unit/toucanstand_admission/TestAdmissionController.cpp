#include <catch2/catch.hpp>

#include <cmath>
#include <limits>
#include <map>
#include <queue>
#include <set>

#include <nlohmann/json.hpp>

#include "admission/AdmissionController.h"

using namespace toucanstand;
using namespace std::chrono_literals;

namespace {

const PoolId kPool("assistant");

/// A controller with simulated time that records admitted and refused requests.
struct ControllerFixture
{
  explicit ControllerFixture(double aSlots,
                             AdmissionSettings aSettings = {},
                             std::uint64_t aSeed = 1)
    : controller(std::move(aSettings), Random(aSeed))
  {
    this->controller.OnSlotsReported(kPool, aSlots, this->now);
  }

  Arrival Request(const std::string& aId, WorkClass aClass = WorkClass::Short) const
  {
    return {
      RequestId(aId), kPool, AccountId("kelani"), aClass, 1, 100, this->now + 30s
    };
  }

  void Apply(const std::vector<AdmissionAction>& aActions)
  {
    for (const auto& action : aActions) {
      if (const auto* admit = std::get_if<Admit>(&action)) {
        CHECK(this->running.insert(admit->id.Value()).second);
        this->admittedOrder.push_back(admit->id.Value());
      } else {
        const auto& refuse = std::get<Refuse>(action);
        CHECK(this->refused.emplace(refuse.id.Value(), refuse.refusal).second);
      }
    }
  }

  void Offer(Arrival aArrival)
  {
    this->Apply(this->controller.Offer(std::move(aArrival), this->now));
  }

  /// The id is passed by value, because it may be an element of `running`.
  void Finish(std::string aId, Duration aService)
  {
    this->running.erase(aId);
    this->Apply(this->controller.OnFinished(
      RequestId(aId), AttemptOutcome::Answered, aService, this->now));
  }

  /// Runs requests one after the other that each take the given time, so that the
  /// controller learns this service time.
  void RunToCompletion(Duration aService,
                       WorkClass aClass = WorkClass::Short,
                       int aRequests = 20,
                       const std::string& aAccount = "calibration")
  {
    for (int request = 0; request < aRequests; ++request) {
      const auto id = aAccount + std::to_string(this->completedCount++);
      Arrival arrival = this->Request(id, aClass);
      arrival.account = AccountId(aAccount);
      this->Offer(arrival);
      this->now += aService;
      this->Finish(id, aService);
    }
    this->admittedOrder.clear();
  }

  [[nodiscard]] RefusalReason RefusalReasonOf(const std::string& aId) const
  {
    REQUIRE(this->refused.contains(aId));
    return this->refused.at(aId).reason;
  }

  TimePoint now{ 100s };
  AdmissionController controller;
  std::set<std::string> running;
  std::vector<std::string> admittedOrder;
  std::map<std::string, Refusal> refused;
  int completedCount = 0;
};

} // namespace

TEST_CASE("Requests run in order of worth per cost, and the lowest is refused",
          "[admission]")
{
  // Guards against using the capacity for work of little worth during an overload.
  AdmissionSettings settings;
  settings.maximumQueued = 3;
  ControllerFixture fixture(1, settings);
  fixture.Offer(fixture.Request("first"));
  for (const auto& [id, worth, cost] : { std::tuple{ "low", 1.0, 100.0 },
                                         std::tuple{ "middle", 5.0, 100.0 },
                                         std::tuple{ "costly", 10.0, 1000.0 },
                                         std::tuple{ "high", 9.0, 100.0 } }) {
    Arrival arrival = fixture.Request(id);
    arrival.worth = worth;
    arrival.cost = cost;
    fixture.Offer(arrival);
  }
  CHECK(fixture.RefusalReasonOf("costly") == RefusalReason::QueueFull);
  for (const char* id : { "first", "high", "middle" }) {
    fixture.now += 100ms;
    fixture.Finish(id, 100ms);
  }
  CHECK(fixture.admittedOrder ==
        std::vector<std::string>{ "first", "high", "middle", "low" });
}

TEST_CASE(
  "A request that cannot finish by its deadline is refused as soon as this is certain",
  "[admission]")
{
  // Guards against callers that wait for an answer that cannot come in time, and against
  // using slots for answers that come too late.
  ControllerFixture fixture(1);
  fixture.RunToCompletion(1s);
  Arrival impossible = fixture.Request("impossible");
  impossible.deadline = fixture.now + 900ms;
  fixture.Offer(impossible);
  CHECK(fixture.RefusalReasonOf("impossible") == RefusalReason::DeadlineTooClose);

  fixture.Offer(fixture.Request("running"));
  Arrival waiting = fixture.Request("waiting");
  waiting.deadline = fixture.now + 1500ms;
  fixture.Offer(waiting);
  const auto wake = fixture.controller.NextWake();
  REQUIRE(wake);
  CHECK(*wake - fixture.now <= 501ms);
  fixture.now = *wake;
  fixture.Apply(fixture.controller.Advance(fixture.now));
  CHECK(fixture.RefusalReasonOf("waiting") == RefusalReason::DeadlineTooClose);
}

TEST_CASE("Long work leaves slots for short work, even when it is declared short",
          "[admission]")
{
  // Guards against short requests that wait until long generations finish.
  ControllerFixture fixture(8);
  fixture.RunToCompletion(100ms);
  for (int number = 0; number < 6; ++number) {
    fixture.Offer(fixture.Request("long" + std::to_string(number), WorkClass::Long));
  }
  CHECK(fixture.running.size() == 4);
  for (int number = 0; number < 4; ++number) {
    fixture.Offer(fixture.Request("short" + std::to_string(number)));
  }
  CHECK(fixture.running.size() == 8);

  // The requests declared short run long. They then count as long, so that no slot is
  // left for further long work.
  fixture.now += 3s;
  fixture.Apply(fixture.controller.Advance(fixture.now));
  fixture.Finish("long0", 3s);
  fixture.Finish("long1", 3s);
  CHECK_FALSE(fixture.running.contains("long4"));
  fixture.Offer(fixture.Request("nextShort"));
  CHECK(fixture.running.contains("nextShort"));

  ControllerFixture other(8);
  other.RunToCompletion(100ms);
  other.RunToCompletion(5s, WorkClass::Short, 4, "misdeclaring");
  for (int number = 0; number < 6; ++number) {
    Arrival arrival = other.Request("misdeclared" + std::to_string(number));
    arrival.account = AccountId("misdeclaring");
    other.Offer(arrival);
  }
  CHECK(other.running.size() == 4);
}

TEST_CASE("Short work that needs all slots leaves long work its minimum share",
          "[admission]")
{
  // Guards against long work that takes the slots that short work needs again soon, and
  // against long work that never runs.
  AdmissionSettings settings;
  settings.limit.adaptive = false;
  settings.minimumLongShare = 0.25;
  ControllerFixture fixture(16, settings);
  for (int round = 0; round < 200; ++round) {
    for (int number = 0; number < 9; ++number) {
      fixture.Offer(
        fixture.Request(std::to_string(round) + "." + std::to_string(number)));
    }
    fixture.now += 100ms;
    while (!fixture.running.empty()) {
      fixture.Finish(*fixture.running.begin(), 100ms);
    }
  }
  for (int number = 0; number < 8; ++number) {
    fixture.Offer(fixture.Request("long" + std::to_string(number), WorkClass::Long));
  }
  CHECK(fixture.running.size() == 4);
  fixture.now += 20s;
  fixture.Apply(fixture.controller.Advance(fixture.now));
  CHECK(fixture.running.size() == 8);
}

TEST_CASE("An account that floods the queue does not displace the others", "[admission]")
{
  // Guards against one large account that fills the queue and takes all slots.
  AdmissionSettings settings;
  settings.maximumQueued = 40;
  settings.fairShare = 0.5;
  ClientAccount configured;
  configured.id = AccountId("tsagaan");
  configured.share = 2;
  settings.accounts = { configured };
  ControllerFixture fixture(1, settings);
  fixture.Offer(fixture.Request("first"));
  for (int number = 0; number < 200; ++number) {
    Arrival arrival = fixture.Request("a" + std::to_string(number));
    arrival.worth = 2;
    fixture.Offer(arrival);
  }
  for (int number = 0; number < 20; ++number) {
    Arrival arrival = fixture.Request("b" + std::to_string(number));
    arrival.account = AccountId("tsagaan");
    fixture.Offer(arrival);
  }
  CHECK_FALSE(fixture.refused.contains("b0"));
  CHECK(fixture.RefusalReasonOf("a39") == RefusalReason::AccountOverShare);
  std::map<char, int> served;
  for (int number = 0; number < 30; ++number) {
    fixture.now += 100ms;
    const auto id = *fixture.running.begin();
    fixture.Finish(id, 100ms);
    ++served[id.front()];
  }
  // Half of the admissions go by fair share, the rest to the account with the higher
  // worth per cost.
  CHECK(served['b'] >= 12);
  CHECK(served['a'] >= 12);
}

TEST_CASE("The limit shrinks when latency rises and recovers when it falls",
          "[admission]")
{
  // Guards against trusting slot reports that claim free capacity while the servers are
  // overloaded.
  ControllerFixture fixture(40);
  const auto limit = [&fixture] {
    return fixture.controller.Describe(fixture.now)["pools"][kPool.Value()]["limit"]
      .get<double>();
  };
  fixture.RunToCompletion(100ms, WorkClass::Short, 50);
  CHECK(limit() == Approx(40));
  fixture.RunToCompletion(1s, WorkClass::Short, 100);
  CHECK(limit() < 20);
  CHECK(limit() >= 8);
  fixture.RunToCompletion(100ms, WorkClass::Short, 300);
  CHECK(limit() > 35);
}

TEST_CASE("Retry-After spaces the retries of refused callers at the completion rate",
          "[admission]")
{
  // Guards against callers that all retry at the same time and are refused again.
  AdmissionSettings settings;
  settings.maximumQueued = 10;
  ControllerFixture fixture(1, settings);
  fixture.RunToCompletion(100ms, WorkClass::Short, 100);
  for (int number = 0; number < 111; ++number) {
    fixture.Offer(fixture.Request(std::to_string(number)));
  }
  REQUIRE(fixture.refused.size() >= 100);
  std::map<std::int64_t, int> perSecond;
  for (const auto& [id, refusal] : fixture.refused) {
    ++perSecond[refusal.retryAfter / 1s];
  }
  // The pool finishes 10 requests per second. Jitter increases Retry-After by up to half.
  for (const auto& [second, count] : perSecond) {
    INFO(second);
    CHECK(count <= 20);
  }
  CHECK(perSecond.rbegin()->first >= 9);
}

TEST_CASE("Malformed input and requests without capacity do not affect later requests",
          "[admission]")
{
  ControllerFixture fixture(1);
  constexpr double kNotANumber = std::numeric_limits<double>::quiet_NaN();
  for (const double number : { kNotANumber, HUGE_VAL, -1.0, 1e30 }) {
    INFO(number);
    Arrival arrival = fixture.Request("cost" + std::to_string(number));
    arrival.cost = number;
    fixture.Offer(arrival);
    CHECK(fixture.RefusalReasonOf(arrival.id.Value()) == RefusalReason::Malformed);
    arrival = fixture.Request("worth" + std::to_string(number));
    arrival.worth = number;
    fixture.Offer(arrival);
    CHECK(fixture.RefusalReasonOf(arrival.id.Value()) == RefusalReason::Malformed);
    fixture.controller.OnSlotsReported(kPool, number, fixture.now);
  }
  Arrival other = fixture.Request("other");
  other.pool = PoolId("unknown");
  fixture.Offer(other);
  CHECK(fixture.RefusalReasonOf("other") == RefusalReason::NoCapacity);
  fixture.Offer(fixture.Request("good"));
  CHECK(fixture.running.contains("good"));
  fixture.Offer(fixture.Request("good"));
  CHECK(fixture.RefusalReasonOf("good") == RefusalReason::Malformed);
  fixture.controller.StartDrain();
  fixture.Offer(fixture.Request("late"));
  CHECK(fixture.RefusalReasonOf("late") == RefusalReason::Draining);
}

TEST_CASE("Each request is decided once, and at most one request runs per slot",
          "[admission]")
{
  // Guards against requests that are lost, decided twice or never released in rare orders
  // of events.
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    INFO("seed " << seed);
    Random random(seed);
    AdmissionSettings settings;
    settings.maximumQueued = 20;
    ControllerFixture fixture(6, settings, seed);
    std::map<std::string, WorkClass> classes;
    std::set<std::string> abandoned;
    for (int step = 0; step < 500; ++step) {
      fixture.now += std::chrono::milliseconds(random.Below(60));
      const auto choice = random.Below(10);
      if (choice < 5) {
        Arrival arrival =
          fixture.Request("r" + std::to_string(step),
                          random.Below(3) == 0 ? WorkClass::Long : WorkClass::Short);
        arrival.account = AccountId("account" + std::to_string(random.Below(4)));
        arrival.worth = static_cast<double>(random.Below(10));
        arrival.cost = static_cast<double>(1 + random.Below(1000));
        arrival.deadline = fixture.now + std::chrono::milliseconds(random.Below(3000));
        classes[arrival.id.Value()] = arrival.workClass;
        fixture.Offer(arrival);
      } else if (choice < 8 && !fixture.running.empty()) {
        fixture.Finish(
          *std::next(fixture.running.begin(),
                     static_cast<std::ptrdiff_t>(random.Below(fixture.running.size()))),
          std::chrono::milliseconds(random.Below(400)));
      } else if (choice == 8 && !classes.empty()) {
        const auto id =
          std::next(classes.begin(),
                    static_cast<std::ptrdiff_t>(random.Below(classes.size())))
            ->first;
        fixture.running.erase(id);
        abandoned.insert(id);
        fixture.Apply(fixture.controller.OnAbandoned(RequestId(id), fixture.now));
      } else {
        fixture.Apply(fixture.controller.Advance(fixture.now));
      }
      REQUIRE(fixture.running.size() <= 6);
      const auto longRunning =
        std::ranges::count_if(fixture.running, [&](const auto& aId) {
          return classes.at(aId) == WorkClass::Long;
        });
      REQUIRE(longRunning <= 3);
    }
    while (!fixture.running.empty()) {
      fixture.Finish(*fixture.running.begin(), 10ms);
    }
    fixture.now += 10s;
    fixture.Apply(fixture.controller.Advance(fixture.now));
    CHECK(fixture.controller.Describe(fixture.now)["in_progress"] == 0);
    for (const auto& [id, effectiveClass] : classes) {
      const bool admitted =
        std::ranges::find(fixture.admittedOrder, id) != fixture.admittedOrder.end();
      const bool refused = fixture.refused.contains(id);
      CHECK_FALSE((admitted && refused));
      CHECK((admitted || refused || abandoned.contains(id)));
    }
  }
}
