#include <algorithm>
#include <csignal>
#include <future>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "support/PlannedStop.h"

using namespace toucanstand;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr auto kTarget = PlannedStop::kStreamTarget;

HttpHeaders Headers(const std::string& aAttemptId)
{
  return PlannedStop::RequestHeaders(aAttemptId);
}

std::string Request(const std::string& aAttemptId)
{
  return PlannedStop::StreamRequest(aAttemptId);
}

} // namespace

TEST_CASE("A request whose body arrives during a planned stop gets a whole answer",
          "[stop]")
{
  // Guards against requests that begin so late that the end of the drain cuts them off.
  const auto stopPeriod = GENERATE(2000ms, 8000ms);
  INFO("stop period " << stopPeriod.count() << " ms");
  PlannedStop stop(stopPeriod, stopPeriod / 2);
  constexpr std::array kLastBytes = { 0.05, 0.15, 0.30, 0.40, 0.50, 0.65, 0.75, 0.82 };
  std::vector<std::unique_ptr<CallerConnection>> connections;
  for (std::size_t number = 0; number < kLastBytes.size(); ++number) {
    connections.push_back(std::make_unique<CallerConnection>(stop.server.listenEndpoint));
    const auto name = "body-" + std::to_string(number);
    REQUIRE(connections.back()->Send(ChunkedRequestHead("POST", kTarget, Headers(name)) +
                                     ChunkText("prompt ")));
  }
  stop.SendSignal();
  std::vector<std::future<ReceivedAnswer>> answers;
  for (std::size_t number = 0; number < kLastBytes.size(); ++number) {
    answers.push_back(std::async(std::launch::async, [&, number] {
      stop.WaitUntil(
        std::chrono::duration_cast<milliseconds>(kLastBytes.at(number) * stopPeriod));
      connections[number]->Send(ChunkText("end") + ChunkText(""));
      return connections[number]->ReadAnswer(PlannedStop::kPatience);
    }));
  }
  for (std::size_t number = 0; number < answers.size(); ++number) {
    const auto answer = answers[number].get();
    const auto name = "body-" + std::to_string(number);
    stop.CheckWhole(answer, name);
    // The stream takes half of the stop period, which the drain leaves until then.
    const bool mustBeServed = kLastBytes.at(number) <= 0.30;
    CHECK((answer.status == 200 || !mustBeServed));
  }
  CHECK(stop.server.process->Wait() == 0);
}

TEST_CASE("A request on a connection that the last answer kept gets a whole answer",
          "[stop]")
{
  // Guards against a VM that closes a connection although the head of its last answer,
  // sent before the stop, said that it stays open.
  PlannedStop stop(8000ms, 4000ms);
  constexpr std::array kStarts = { 2600ms, 2200ms, 1800ms, 1200ms };
  std::vector<std::unique_ptr<CallerConnection>> connections;
  for (std::size_t number = 0; number < kStarts.size(); ++number) {
    connections.push_back(std::make_unique<CallerConnection>(stop.server.listenEndpoint));
  }
  std::vector<std::future<void>> callers;
  std::vector<ReceivedAnswer> first(kStarts.size());
  std::vector<ReceivedAnswer> second(kStarts.size());
  const auto begin = std::chrono::steady_clock::now();
  for (std::size_t number = 0; number < kStarts.size(); ++number) {
    callers.push_back(std::async(std::launch::async, [&, number] {
      const auto name = std::to_string(number);
      std::this_thread::sleep_until(begin + kStarts.front() - kStarts.at(number));
      auto& connection = *connections[number];
      connection.Send(Request("first-" + name));
      first[number] = connection.ReadAnswer(PlannedStop::kPatience);
      connection.Send(Request("next-" + name));
      second[number] = connection.ReadAnswer(PlannedStop::kPatience);
    }));
  }
  std::this_thread::sleep_until(begin + kStarts.front());
  stop.SendSignal();
  std::ranges::for_each(callers, [](auto& aCaller) { aCaller.get(); });
  for (std::size_t number = 0; number < kStarts.size(); ++number) {
    const auto name = std::to_string(number);
    CHECK(first[number].status == 200);
    CHECK_FALSE(first[number].ClosesConnection());
    stop.CheckWhole(first[number], "first-" + name);
    stop.CheckWhole(second[number], "next-" + name);
    CHECK(second[number].ClosesConnection());
    // The first stream ends while there is time for a second one.
    const bool mustBeServed = kStarts.at(number) >= 1800ms;
    CHECK((second[number].status == 200 || !mustBeServed));
  }
  CHECK(stop.server.process->Wait() == 0);
}

TEST_CASE("The end of an answer is not lost to bytes that the caller sent after its "
          "request",
          "[stop]")
{
  // Guards against a close with unread input, on which the kernel drops the bytes of the
  // answer that the caller has not read yet.
  const std::string trailing = GENERATE("", "\r\n", "next request");
  INFO("trailing bytes: " << trailing.size());
  PlannedStop stop(8000ms, 1000ms);
  constexpr std::size_t kPadding = 150'000;
  constexpr int kSmallBuffer = 4096;
  stop.ForEachEngine(
    [](BackendServerStandin& aEngine) { aEngine.eventPadding = kPadding; });
  CallerConnection caller(stop.server.listenEndpoint, kSmallBuffer);
  REQUIRE(caller.Send(Request("tail")));
  std::this_thread::sleep_for(300ms);
  stop.SendSignal();
  caller.Send(trailing == "next request" ? Request("pipelined") : trailing);
  std::this_thread::sleep_for(2000ms);
  const auto answer = caller.ReadAnswer(PlannedStop::kPatience);
  CHECK(answer.status == 200);
  CHECK(answer.isComplete);
  CHECK(answer.body == BackendServerStandin::CompleteStream(stop.eventCount, kPadding));
  if (trailing == "next request") {
    const auto next = caller.ReadAnswer(PlannedStop::kPatience);
    CHECK(next.isComplete);
    CHECK((next.status == 200 || next.status == 503));
  }
  CHECK(stop.server.process->Wait() == 0);
}

TEST_CASE("A connection that was accepted just before the listener closes is answered",
          "[stop]")
{
  // Guards against new connections that are closed before their first request arrives.
  PlannedStop stop(8000ms, 1000ms);
  stop.SendSignal();
  std::vector<std::future<ReceivedAnswer>> answers;
  answers.reserve(10);
  for (int number = 0; number < 10; ++number) {
    answers.push_back(std::async(std::launch::async, [&stop, number] {
      stop.WaitUntil(2300ms + number * 20ms);
      CallerConnection caller(stop.server.listenEndpoint);
      std::this_thread::sleep_for(250ms);
      if (!caller.Send(Request("new-" + std::to_string(number)))) {
        ReceivedAnswer refused;
        refused.end = ConnectionEnd::Refused;
        return refused;
      }
      return caller.ReadAnswer(PlannedStop::kPatience);
    }));
  }
  int served = 0;
  for (int number = 0; number < 10; ++number) {
    const auto answer = answers[static_cast<std::size_t>(number)].get();
    if (answer.end != ConnectionEnd::Refused) {
      stop.CheckWhole(answer, "new-" + std::to_string(number));
      served += answer.status == 200 ? 1 : 0;
    }
  }
  // Those that connect before the load balancer stops sending connections, at 2.5 s.
  CHECK(served >= 8);
  CHECK(stop.server.process->Wait() == 0);
}

TEST_CASE("A request that is still arriving keeps a stopping process alive", "[stop]")
{
  // Guards against a process that ends as nothing is in progress while a body arrives.
  PlannedStop stop(4000ms, 400ms);
  CallerConnection caller(stop.server.listenEndpoint);
  REQUIRE(caller.Send(ChunkedRequestHead("POST", kTarget, Headers("alone"))));
  stop.SendSignal();
  stop.WaitUntil(2700ms);
  CHECK(caller.Send(ChunkText("prompt") + ChunkText("")));
  const auto answer = caller.ReadAnswer(PlannedStop::kPatience);
  CHECK(answer.status == 200);
  stop.CheckWhole(answer, "alone");
  CHECK(answer.ClosesConnection());
  CHECK(stop.server.process->Wait() == 0);
}

TEST_CASE("A request that can end before the drain does is served", "[stop]")
{
  // Guards against a stop that rejects the callers that the VM still has time for.
  PlannedStop stop(8000ms, 1000ms);
  for (int number = 0; number < 8; ++number) {
    CHECK(stop.server.Generate("before-" + std::to_string(number))->status == 200);
  }
  stop.SendSignal();
  for (const auto wait : { 100ms, 1200ms, 2300ms }) {
    stop.WaitUntil(wait);
    CallerConnection caller(stop.server.listenEndpoint);
    const auto name = "during-" + std::to_string(wait.count());
    REQUIRE(caller.Send(Request(name)));
    const auto answer = caller.ReadAnswer(PlannedStop::kPatience);
    CHECK(answer.status == 200);
    stop.CheckWhole(answer, name);
  }
  CHECK(stop.server.process->Wait() == 0);
}

TEST_CASE("A stop that cuts an answer off says so in its exit code and its log", "[stop]")
{
  // Guards against a stop that looks clean although a caller lost an answer.
  PlannedStop stop(2000ms, 6000ms);
  CallerConnection caller(stop.server.listenEndpoint);
  REQUIRE(caller.Send(Request("too-long")));
  std::this_thread::sleep_for(500ms);
  stop.SendSignal();
  const auto answer = caller.ReadAnswer(PlannedStop::kPatience);
  CHECK(answer.status == 200);
  CHECK_FALSE(answer.isComplete);
  CHECK(stop.server.process->Wait() == 1);
  const auto log = stop.server.process->ReadAll();
  const auto cutOff = log.find(R"("event":"request_end","request":"too-long")");
  REQUIRE(cutOff != std::string::npos);
  CHECK(log.find(R"("reason":"stopping")", cutOff) != std::string::npos);
  CHECK(log.find(R"("phase":"over")") != std::string::npos);
}

TEST_CASE("A request without an answer at the end of the drain gets a final one",
          "[stop]")
{
  // Guards against requests that end with their connection although a word was possible.
  PlannedStop stop(2000ms, 6000ms);
  stop.ForEachEngine([](BackendServerStandin& aEngine) { aEngine.eventInterval = 5s; });
  CallerConnection caller(stop.server.listenEndpoint);
  REQUIRE(caller.Send(Request("silent")));
  std::this_thread::sleep_for(200ms);
  stop.SendSignal();
  const auto answer = caller.ReadAnswer(PlannedStop::kPatience);
  CHECK(answer.isComplete);
  CHECK((answer.status == 502 || answer.status == 504));
  // The request may have run, so its caller lost an answer.
  CHECK(stop.server.process->Wait() == 1);
}

TEST_CASE("A VM that has answered nothing yet serves callers in its stop", "[stop]")
{
  // Guards against a stop that rejects every request of which no like has been seen.
  PlannedStop stop(8000ms, 400ms);
  stop.SendSignal();
  CallerConnection caller(stop.server.listenEndpoint);
  REQUIRE(caller.Send(Request("first")));
  const auto answer = caller.ReadAnswer(PlannedStop::kPatience);
  CHECK(answer.status == 200);
  stop.CheckWhole(answer, "first");
  CHECK(stop.server.process->Wait() == 0);
}

TEST_CASE("A plain call that ends before the drain does gets its answer", "[stop]")
{
  // Guards against calls that are given up although their servers still answer in time.
  PlannedStop stop(4000ms, 400ms);
  stop.ForEachService(
    [](BackendServerStandin& aService) { aService.answerDelay = 3400ms; });
  CallerConnection caller(stop.server.listenEndpoint);
  REQUIRE(caller.Send(PlannedStop::ServiceRequest("POST", "/holds/1", "hold")));
  std::this_thread::sleep_for(100ms);
  stop.SendSignal();
  const auto answer = caller.ReadAnswer(PlannedStop::kPatience);
  CHECK(answer.status == 200);
  CHECK(answer.isComplete);
  CHECK(stop.server.process->Wait() == 0);
}

TEST_CASE("Connections without requests do not keep a stopping process", "[stop]")
{
  // Guards against a process that waits for callers that only connect.
  PlannedStop stop(12'000ms, 400ms);
  stop.SendSignal();
  std::vector<std::unique_ptr<CallerConnection>> connections;
  auto stopped = std::async(std::launch::async, [&stop] {
    const int code = stop.server.process->Wait();
    return std::pair(code, stop.SinceSignal());
  });
  while (stopped.wait_for(400ms) != std::future_status::ready) {
    connections.push_back(std::make_unique<CallerConnection>(stop.server.listenEndpoint));
  }
  const auto [code, took] = stopped.get();
  CHECK(code == 0);
  // The load balancer's 2.5 s, a connection's last second, and as much again for the
  // rest.
  CHECK(took < 4500ms);
}

TEST_CASE("A process that is suspended beyond its drain still answers its callers",
          "[stop]")
{
  // Guards against a deadline that has passed meanwhile and ends the process at once.
  PlannedStop stop(2000ms, 6000ms);
  stop.ForEachEngine([](BackendServerStandin& aEngine) { aEngine.eventInterval = 5s; });
  CallerConnection waiting(stop.server.listenEndpoint);
  REQUIRE(waiting.Send(Request("waiting")));
  CallerConnection arriving(stop.server.listenEndpoint);
  REQUIRE(arriving.Send(ChunkedRequestHead("POST", kTarget, Headers("arriving"))));
  std::this_thread::sleep_for(200ms);
  stop.SendSignal();
  std::this_thread::sleep_for(100ms);
  stop.server.process->Signal(SIGSTOP);
  stop.WaitUntil(2500ms);
  stop.server.process->Signal(SIGCONT);
  const auto unknown = waiting.ReadAnswer(PlannedStop::kPatience);
  CHECK(unknown.isComplete);
  CHECK((unknown.status == 502 || unknown.status == 504));
  stop.CheckNotRun(arriving.ReadAnswer(PlannedStop::kPatience), "arriving");
  CHECK(stop.server.process->Wait() == 1);
}
