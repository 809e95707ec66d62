#include <algorithm>
#include <array>
#include <csignal>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "support/AnswerLog.h"
#include "support/ParallelCallers.h"
#include "support/PlannedStop.h"

using namespace toucanstand;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

// Callers that use one connection for several requests while a VM stops.

namespace {

/// Sends requests one after another, on the same connection as long as the heads allow,
/// until no VM accepts connections.
void CallUntilRefused(PlannedStop& aStop, const std::string& aName, AnswerLog& aLog)
{
  const auto deadline = std::chrono::steady_clock::now() + PlannedStop::kPatience;
  auto caller = std::make_unique<CallerConnection>(aStop.server.listenEndpoint);
  for (int number = 0; std::chrono::steady_clock::now() < deadline; ++number) {
    const auto attempt = aName + "-" + std::to_string(number);
    if (!caller->Send(PlannedStop::StreamRequest(attempt))) {
      aLog.Add(attempt, ReceivedAnswer());
      return;
    }
    auto answer = caller->ReadAnswer(PlannedStop::kPatience);
    const bool keeps = answer.isComplete && !answer.ClosesConnection();
    aLog.Add(attempt, std::move(answer));
    if (!keeps) {
      std::this_thread::sleep_for(20ms);
      caller = std::make_unique<CallerConnection>(aStop.server.listenEndpoint);
    }
    if (!caller->IsConnected()) {
      return;
    }
  }
}

} // namespace

TEST_CASE("Callers that send one request after another lose none to a planned stop",
          "[stop]")
{
  // Guards against requests that are lost between two states of a connection.
  const auto stopPeriod = GENERATE(2000ms, 8000ms);
  INFO("stop period " << stopPeriod.count() << " ms");
  PlannedStop stop(stopPeriod, 400ms);
  AnswerLog log;
  ParallelCallers callers;
  for (int number = 0; number < 6; ++number) {
    callers.Start([&stop, &log, number] {
      std::this_thread::sleep_for(number * 70ms);
      CallUntilRefused(stop, "caller-" + std::to_string(number), log);
    });
  }
  std::this_thread::sleep_for(2s);
  stop.SendSignal();
  callers.WaitForAll();
  CHECK(stop.server.process->Wait() == 0);
  for (const auto& [attempt, answer] : log.Answers()) {
    stop.CheckWhole(answer, attempt);
  }
  const auto served = std::ranges::count_if(
    log.Answers(), [](const auto& aEntry) { return aEntry.second.status == 200; });
  CHECK(served > 0);
}

TEST_CASE("A head that kept the connection is a promise until the end of the drain",
          "[stop]")
{
  // Guards against kept connections that are closed because final answers are due,
  // although their last answer has just ended.
  PlannedStop stop(8000ms, 7000ms);
  // From the signal to the end of the first answer; final answers are due at 6.3 s.
  constexpr std::array kEnds = { 5800ms, 6100ms, 6250ms, 6400ms, 6600ms };
  stop.PlanSignal(1500ms);
  std::vector<ReceivedAnswer> first(kEnds.size());
  std::vector<ReceivedAnswer> second(kEnds.size());
  ParallelCallers callers;
  for (std::size_t number = 0; number < kEnds.size(); ++number) {
    callers.Start([&, number] {
      CallerConnection caller(stop.server.listenEndpoint);
      stop.WaitUntil(kEnds.at(number) - 7000ms);
      const auto name = std::to_string(number);
      caller.Send(PlannedStop::StreamRequest("first-" + name));
      first[number] = caller.ReadAnswer(PlannedStop::kPatience);
      std::this_thread::sleep_for(100ms);
      caller.Send(PlannedStop::StreamRequest("next-" + name));
      second[number] = caller.ReadAnswer(PlannedStop::kPatience);
    });
  }
  stop.SendPlannedSignal();
  callers.WaitForAll();
  CHECK(stop.server.process->Wait() == 0);
  for (std::size_t number = 0; number < kEnds.size(); ++number) {
    const auto name = std::to_string(number);
    stop.CheckWhole(first[number], "first-" + name);
    CHECK_FALSE(first[number].ClosesConnection());
    stop.CheckWhole(second[number], "next-" + name);
  }
}

TEST_CASE("Pipelined requests are answered as far as the heads promise it", "[stop]")
{
  // Guards against a stop that forgets bytes that have arrived with an earlier request.
  PlannedStop stop(8000ms, 1000ms);
  CallerConnection kept(stop.server.listenEndpoint);
  CallerConnection closed(stop.server.listenEndpoint);
  REQUIRE(kept.Send(PlannedStop::StreamRequest("kept-1") +
                    PlannedStop::StreamRequest("kept-2") +
                    PlannedStop::StreamRequest("kept-3")));
  std::this_thread::sleep_for(400ms);
  stop.SendSignal();
  stop.WaitUntil(100ms);
  REQUIRE(closed.Send(PlannedStop::StreamRequest("closed-1") +
                      PlannedStop::StreamRequest("closed-2")));
  const auto first = kept.ReadAnswer(PlannedStop::kPatience);
  const auto second = kept.ReadAnswer(PlannedStop::kPatience);
  const auto only = closed.ReadAnswer(PlannedStop::kPatience);
  stop.CheckWhole(first, "kept-1");
  CHECK_FALSE(first.ClosesConnection());
  stop.CheckWhole(second, "kept-2");
  CHECK(second.ClosesConnection());
  CHECK_FALSE(stop.HasRun("kept-3"));
  stop.CheckWhole(only, "closed-1");
  CHECK(only.ClosesConnection());
  CHECK_FALSE(stop.HasRun("closed-2"));
  CHECK(stop.server.process->Wait() == 0);
}
