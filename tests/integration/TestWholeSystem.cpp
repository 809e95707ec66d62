#include <csignal>

#include <catch2/catch.hpp>

#include "common/ServiceAnswer.h"
#include "common/TokenFunction.h"
#include "support/TestSystem.h"

using namespace toucanstand;
using nlohmann::json;

namespace {

/// Candidates of a system with the default options: two groups in each of two domains,
/// and three services.
constexpr int kGroups = 4;
constexpr int kCandidates = kGroups + 3;

std::string ContentOf(const Result<HttpResponse, HttpFailure>& aAnswer)
{
  return json::parse(aAnswer->body)["choices"][0]["message"]["content"];
}

} // namespace

TEST_CASE("A request is served end to end by separate processes", "[system]")
{
  TestSystem system;
  system.WaitForCandidates(kCandidates);
  for (int vm = 0; vm < 3; ++vm) {
    const auto answer = system.Chat(vm, "which cartridge?", 12);
    REQUIRE(answer);
    REQUIRE(answer->status == 200);
    CHECK(ContentOf(answer) ==
          AnswerText(PromptOf(TestSystem::ChatBody("which cartridge?", 12, false)), 12));
  }
  const auto lookup = system.caller.Call(system.vms[0].callers, "GET", "/catalogue/4");
  REQUIRE(lookup);
  CHECK(lookup->body == ServiceAnswer("/catalogue/4", ""));
}

TEST_CASE("The same order through two entry VMs runs once and gets the same answer",
          "[system]")
{
  // Guards against a restock order that goes through twice (R5).
  TestSystem system;
  system.WaitForCandidates(kCandidates);
  const HttpHeaders key = { { "Idempotency-Key", "order-1" } };
  const auto first =
    system.caller.Call(system.vms[0].callers, "POST", "/orders", R"({"item":1})", key);
  REQUIRE(first);
  REQUIRE(first->status == 200);
  Result<HttpResponse, HttpFailure> second(HttpFailure::Cancelled);
  // The outcome is recorded after the first answer; until then the key is in progress.
  for (int attempt = 0; attempt < 200; ++attempt) {
    second =
      system.caller.Call(system.vms[1].callers, "POST", "/orders", R"({"item":1})", key);
    REQUIRE(second);
    if (second->status != 409) {
      break;
    }
  }
  CHECK(second->status == 200);
  CHECK(second->headers.Find("Idempotent-Replay") == "true");
  CHECK(second->body == first->body);
  const auto other =
    system.caller.Call(system.vms[2].callers, "POST", "/orders", R"({"item":2})", key);
  CHECK(other->status == 422);
  int runs = 0;
  const auto log = system.ServiceLog();
  for (const auto& instance : log["instances"]) {
    runs += static_cast<int>(instance["runs"].size());
  }
  CHECK(runs == 1);
}

TEST_CASE("Serving goes on through a store outage; only keyed calls are refused",
          "[system]")
{
  // Guards against tying the data path to the store (R43, R63), and against a call that
  // must not be repeated being sent without a durable claim (R5).
  TestSystem system;
  system.WaitForCandidates(kCandidates);
  system.SetStoreFault({ { "down", true } });
  // Longer than every permission: waits until the entries' views are all newer than it.
  const auto start = BootClock::now();
  int answered = 0;
  while (BootClock::now() - start < std::chrono::seconds(10)) {
    const auto answer = system.Chat(answered % 3, "during outage", 4);
    REQUIRE(answer);
    REQUIRE(answer->status == 200);
    ++answered;
  }
  CHECK(answered > 50);
  const auto order = system.caller.Call(
    system.vms[0].callers, "POST", "/orders", "{}", { { "Idempotency-Key", "k" } });
  REQUIRE(order);
  CHECK(order->status == 503);
  CHECK(order->headers.Find("Toucanstand-Outcome") == "not-run");
  CHECK(system.caller.Call(system.vms[0].callers, "GET", "/catalogue/1")->status == 200);
}

TEST_CASE("A group whose member dies stops serving and is repaired with a spare",
          "[system]")
{
  // Guards against a group that serves with a missing member (R1).
  TestSystem system;
  system.WaitForCandidates(kCandidates);
  const auto log = system.EngineLog(0);
  int member = -1;
  for (int index = 0; index < 5; ++index) {
    member = log["engines"][index]["orders"].empty() ? member : index;
  }
  REQUIRE(member >= 0);
  system.SetEngineFault(0, { { "engine", member }, { "dead", true } });
  system.WaitForEntries(
    [](const json& aState) { return aState["state"]["candidates"] == kCandidates - 1; });
  system.WaitForCandidates(kCandidates);
  CHECK(system.Chat(0, "after repair", 4)->status == 200);
}

TEST_CASE("A killed entry process cuts visibly; its neighbours and its restart serve",
          "[system]")
{
  TestSystem system;
  system.WaitForCandidates(kCandidates);
  system.Kill(system.vms[0], "toucanstand-entry");
  CHECK(system.Chat(1, "neighbour", 4)->status == 200);
  system.Start(system.vms[0], "toucanstand-entry");
  system.WaitForCandidates(kCandidates);
  CHECK(system.Chat(0, "restarted", 4)->status == 200);
}
