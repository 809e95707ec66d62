#include <algorithm>
#include <csignal>
#include <set>

#include <catch2/catch.hpp>

#include "common/ServiceAnswer.h"
#include "support/TestSystem.h"

using namespace toucanstand;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/// Longer than the permission of a candidate (2 s) and the isolation limit (8 s).
constexpr Duration kPause = 9s;
constexpr Duration kRecoveryBound = 20s;
constexpr int kCandidates = 4;

TestSystemOptions SmallSystem()
{
  TestSystemOptions options;
  options.domains = 1;
  options.enginesPerDomain = 2;
  return options;
}

/// Stops a process for longer than every validity period.
void Freeze(TestSystem& aSystem,
            const std::string& aProgram,
            const std::function<void()>& aWhileStopped)
{
  auto& process = *aSystem.vms[0].processes[aProgram];
  process.Signal(SIGSTOP);
  const auto start = BootClock::now();
  while (BootClock::now() - start < kPause) {
    aWhileStopped();
  }
  process.Signal(SIGCONT);
}

Result<HttpResponse, HttpFailure> Order(TestSystem& aSystem,
                                        std::size_t aVm,
                                        const std::string& aKey)
{
  return aSystem.caller.Call(
    aSystem.vms[aVm].callers, "POST", "/orders", aKey, { { "Idempotency-Key", aKey } });
}

std::size_t RunsOf(TestSystem& aSystem, const std::string& aKey)
{
  std::size_t runs = 0;
  const auto log = aSystem.ServiceLog();
  for (const auto& instance : log["instances"]) {
    runs += static_cast<std::size_t>(
      std::ranges::count_if(instance["runs"], [&aKey](const json& aRun) {
        return aRun["idempotency_key"] == aKey;
      }));
  }
  return runs;
}

/// Waits until an order through VM 0 is answered. @returns the keys of all tries
std::set<std::string> WaitForOrder(TestSystem& aSystem, const std::string& aPrefix)
{
  std::set<std::string> keys;
  const auto start = BootClock::now();
  while (BootClock::now() - start < kRecoveryBound) {
    const auto key = aPrefix + std::to_string(keys.size());
    keys.insert(key);
    const auto answer = Order(aSystem, 0, key);
    if (answer && answer->status == 200) {
      CHECK(answer->body == ServiceAnswer("/orders", key));
      return keys;
    }
  }
  FAIL("no order was answered after the pause");
  return keys;
}

/// Repeats an answered order through VM 0 until it gets the stored answer. The orders of
/// the pause may have used up the ledger's store calls; it then refuses for a moment.
void CheckReplay(TestSystem& aSystem, const std::string& aKey)
{
  const auto start = BootClock::now();
  while (BootClock::now() - start < kRecoveryBound) {
    const auto answer = Order(aSystem, 0, aKey);
    REQUIRE(answer);
    if (answer->status == 200) {
      CHECK(answer->headers.Find("Idempotent-Replay") == "true");
      return;
    }
    REQUIRE(answer->status == 503);
    REQUIRE(json::parse(answer->body)["error"]["type"] == "claim_unavailable");
  }
  FAIL("the stored answer was not given after the pause");
}

} // namespace

TEST_CASE("A process that was stopped for longer than its permissions recovers and "
          "repeats no order",
          "[faults]")
{
  // Guards against a second run of a claimed call by a process that wakes up (R5, R65),
  // and against one that does not recover without a restart (R60).
  const std::string program =
    GENERATE("toucanstand-entry", "toucanstand-node", "toucanstand-ledger");
  INFO(program);
  TestSystem system(SmallSystem());
  system.WaitForCandidates(kCandidates);
  REQUIRE(Order(system, 0, "before")->status == 200);

  std::set<std::string> keys = { "before" };
  Freeze(system, program, [&system, &keys] {
    // The call through VM 0 may wait in the stopped process; the repetition comes first.
    const auto key = "paused-" + std::to_string(keys.size());
    keys.insert(key);
    (void)Order(system, 0, key);
    (void)Order(system, 1, key);
  });
  keys.merge(WaitForOrder(system, "after-"));
  CheckReplay(system, "before");
  for (const auto& key : keys) {
    INFO(key);
    CHECK(RunsOf(system, key) <= 1);
  }
}

TEST_CASE("An entry that wakes up does not use permissions that lapsed", "[faults]")
{
  // Guards against a request sent to a group whose permission ended during the pause
  // (R1, R65). The dead engine keeps its port closed, so the group's other member counts.
  TestSystem system(SmallSystem());
  system.WaitForCandidates(kCandidates);
  bool dead = false;
  Freeze(system, "toucanstand-entry", [&system, &dead] {
    if (!dead) {
      system.SetEngineFault(0, { { "engine", 0 }, { "dead", true } });
      dead = true;
    }
    (void)system.Chat(1, "meanwhile", 1);
  });
  const auto runs = [&system] {
    const auto log = system.EngineLog(0);
    return log["engines"][0]["runs"].size() + log["engines"][1]["runs"].size();
  };
  const auto before = runs();
  const auto start = BootClock::now();
  while (BootClock::now() - start < 1s) {
    const auto answer = system.Chat(0, "after", 1);
    CHECK((!answer || answer->status != 200));
  }
  CHECK(runs() == before);
}

TEST_CASE("A stream goes on in the other fabric domain when its own goes silent",
          "[faults]")
{
  // Guards against streams that hang with a silent domain (R61), and against groups that
  // keep their permission without reports (R1).
  TestSystemOptions options;
  options.enginesPerDomain = 2;
  options.engineArguments = { "--tokens-per-second=20" };
  TestSystem system(options);
  system.WaitForCandidates(5);
  const auto body = TestSystem::ChatBody("long letter", 100, true);
  std::string bytes;
  HttpCaller patient(20s);
  const auto stream = patient.OpenStream(
    system.vms[0].callers, "/v1/chat/completions", body.dump(), {}, bytes);
  REQUIRE(stream);
  const auto hasRuns = [&system](int aDomain) {
    const auto log = system.EngineLog(aDomain);
    return std::ranges::any_of(
      log["engines"], [](const json& aEngine) { return !aEngine["runs"].empty(); });
  };
  const int silent = hasRuns(0) ? 0 : 1;
  REQUIRE(hasRuns(silent));
  system.SignalEngines(silent, SIGSTOP);
  const auto stopped = BootClock::now();
  std::string text = bytes;
  while (true) {
    const auto piece = patient.Read(*stream);
    if (!piece || piece->empty()) {
      break;
    }
    text += *piece;
  }
  INFO("ended " << ToMilliseconds(BootClock::now() - stopped).count()
                << " ms after the stop");
  CHECK(text.ends_with("data: [DONE]\n\n"));
  CHECK(text.find("event: error") == std::string::npos);
  CHECK(hasRuns(1 - silent));
  system.WaitForEntries(
    [](const json& aState) { return aState["state"]["candidates"] == 4; });
  system.SignalEngines(silent, SIGCONT);
  system.WaitForCandidates(5);
}
