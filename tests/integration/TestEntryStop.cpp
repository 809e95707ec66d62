#include <csignal>
#include <future>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "support/CallerConnection.h"
#include "support/TestSystem.h"

using namespace toucanstand;
using namespace std::chrono_literals;
using nlohmann::json;
using std::chrono::milliseconds;

// A planned stop of toucanstand-entry, as its callers see it.

namespace {

constexpr milliseconds kPatience = 20s;
constexpr milliseconds kDrain = 2000ms;
constexpr milliseconds kListenerWait = 1000ms;
constexpr int kTokensPerSecond = 50;
/// Of chats whose usual duration the process knows.
constexpr milliseconds kDuration = 1000ms;
constexpr int kCandidates = 2 + 3;

TestSystemOptions Options()
{
  TestSystemOptions options;
  options.entryVms = 1;
  options.domains = 1;
  options.enginesPerDomain = 4;
  options.engineArguments = { "--tokens-per-second=" + std::to_string(kTokensPerSecond) };
  options.entrySettings["drain_period_ms"] = kDrain.count();
  options.entrySettings["listener_wait_ms"] = kListenerWait.count();
  return options;
}

HttpHeaders Headers()
{
  return { { "Host", "api.example" }, { "Content-Type", "application/json" } };
}

/// A chat that takes the time when its group runs nothing else.
std::string ChatBody(const std::string& aName, milliseconds aDuration, bool aStream)
{
  const auto tokens = static_cast<int>(aDuration.count() * kTokensPerSecond / 1000);
  return TestSystem::ChatBody(aName, tokens, aStream).dump();
}

std::string ChatRequest(const std::string& aName, milliseconds aDuration, bool aStream)
{
  return RequestText(
    "POST", "/v1/chat/completions", Headers(), ChatBody(aName, aDuration, aStream));
}

/// Checks that the answer is whole. A refusal as not run is believed by the caller.
void CheckWhole(const ReceivedAnswer& aAnswer, const std::string& aName)
{
  INFO(aName << " status " << aAnswer.status << " end " << static_cast<int>(aAnswer.end)
             << " " << aAnswer.body.substr(0, 200));
  CHECK(aAnswer.isComplete);
  CHECK(
    (aAnswer.status == 200 || aAnswer.headers.Find("Toucanstand-Outcome") == "not-run"));
}

void CheckUnknown(const ReceivedAnswer& aAnswer, const std::string& aName)
{
  INFO(aName << " status " << aAnswer.status << " end " << static_cast<int>(aAnswer.end));
  CHECK(aAnswer.isComplete);
  CHECK(aAnswer.status == 502);
  CHECK(aAnswer.headers.Find("Toucanstand-Outcome") == "unknown");
}

} // namespace

TEST_CASE(
  "Calls without an answer at the end of an entry process's drain get a final one",
  "[stop][entry]")
{
  // Guards against calls that end with their connection although a word was possible.
  auto options = Options();
  options.serviceArguments = { "--latency-ms=20000" };
  TestSystem system(options);
  system.WaitForCandidates(kCandidates);
  auto& vm = system.vms.front();
  CallerConnection chat(vm.callers);
  CallerConnection lookup(vm.callers);
  CallerConnection order(vm.callers);
  REQUIRE(chat.Send(ChatRequest("whole", 8000ms, false)));
  REQUIRE(lookup.Send(RequestText("GET", "/catalogue/1", Headers(), "")));
  auto orderHeaders = Headers();
  orderHeaders.Add("Idempotency-Key", "key-1");
  REQUIRE(order.Send(RequestText("POST", "/orders", orderHeaders, "{}")));
  system.caller.WaitFor(
    vm.operators["toucanstand-entry"], "/state", [](const json& aState) {
      return aState["state"]["in_flight"] == 3;
    });
  vm.processes["toucanstand-entry"]->Signal(SIGTERM);
  CheckUnknown(chat.ReadAnswer(kPatience), "chat");
  CheckUnknown(lookup.ReadAnswer(kPatience), "lookup");
  CheckUnknown(order.ReadAnswer(kPatience), "order");
  // The calls may have run, so their callers lost an answer.
  CHECK(vm.processes["toucanstand-entry"]->Wait() == 1);
}

TEST_CASE("Chats that begin while an entry process leaves the rotation end whole",
          "[stop][entry]")
{
  // Guards against streams that begin so late that the end of the drain cuts them off.
  TestSystem system(Options());
  system.WaitForCandidates(kCandidates);
  auto& vm = system.vms.front();
  auto& entry = *vm.processes["toucanstand-entry"];
  // The process learns how long its answers take.
  constexpr int kUsual = 8;
  std::vector<std::future<ReceivedAnswer>> usual;
  usual.reserve(kUsual);
  for (int number = 0; number < kUsual; ++number) {
    usual.push_back(std::async(std::launch::async, [&vm, number] {
      CallerConnection caller(vm.callers);
      caller.Send(ChatRequest("usual-" + std::to_string(number), kDuration, true));
      return caller.ReadAnswer(kPatience);
    }));
  }
  for (auto& answer : usual) {
    CHECK(answer.get().isComplete);
  }
  const auto signalAt = std::chrono::steady_clock::now() + 500ms;
  std::vector<std::future<ReceivedAnswer>> callers;
  constexpr int kCallers = 12;
  callers.reserve(kCallers);
  for (int number = 0; number < kCallers; ++number) {
    callers.push_back(std::async(std::launch::async, [&vm, signalAt, number] {
      const auto name = "chat-" + std::to_string(number);
      const auto lastByteAt = signalAt + number * 150ms - 200ms;
      if (number % 2 == 0) {
        std::this_thread::sleep_until(lastByteAt);
      }
      CallerConnection caller(vm.callers);
      if (number % 2 == 0) {
        caller.Send(ChatRequest(name, kDuration, true));
      } else {
        caller.Send(ChunkedRequestHead("POST", "/v1/chat/completions", Headers()));
        std::this_thread::sleep_until(lastByteAt);
        caller.Send(ChunkText(ChatBody(name, kDuration, true)) + ChunkText(""));
      }
      return caller.ReadAnswer(kPatience);
    }));
  }
  std::this_thread::sleep_until(signalAt);
  entry.Signal(SIGTERM);
  for (std::size_t number = 0; number < kCallers; ++number) {
    const auto answer = callers[number].get();
    if (answer.end != ConnectionEnd::Refused) {
      CheckWhole(answer, "chat-" + std::to_string(number));
    }
  }
  CHECK(entry.Wait() == 0);
}

TEST_CASE("A connection that an entry process kept serves the next request in its stop",
          "[stop][entry]")
{
  // Guards against connections that are closed although their last head kept them.
  TestSystem system(Options());
  system.WaitForCandidates(kCandidates);
  auto& vm = system.vms.front();
  auto& entry = *vm.processes["toucanstand-entry"];
  CallerConnection caller(vm.callers);
  CallerConnection trickles(vm.callers);
  REQUIRE(caller.Send(ChatRequest("first", 900ms, true)));
  REQUIRE(trickles.Send(ChunkedRequestHead("POST", "/v1/chat/completions", Headers()) +
                        ChunkText("{")));
  std::this_thread::sleep_for(300ms);
  entry.Signal(SIGTERM);
  const auto first = caller.ReadAnswer(kPatience);
  std::this_thread::sleep_for(200ms);
  caller.Send(ChatRequest("second", 100ms, true));
  const auto second = caller.ReadAnswer(kPatience);
  CheckWhole(first, "first");
  CHECK_FALSE(first.ClosesConnection());
  CheckWhole(second, "second");
  CHECK(second.ClosesConnection());
  const auto refused = trickles.ReadAnswer(kPatience);
  CHECK(refused.isComplete);
  CHECK(refused.status == 503);
  CHECK(refused.headers.Find("Toucanstand-Outcome") == "not-run");
  CHECK(entry.Wait() == 0);
}
