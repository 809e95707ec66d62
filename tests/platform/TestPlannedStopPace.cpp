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

// Engines that are slower than usual, silent or without framing while a VM stops.

namespace {

/// Of streams before an engine slows down.
constexpr milliseconds kUsualInterval = 80ms;
constexpr int kEvents = 10;

using Callers = std::vector<std::future<ReceivedAnswer>>;

/// Sends a request for a stream at a time after the signal, if a VM still accepts it.
std::future<ReceivedAnswer> SendAt(PlannedStop& aStop,
                                   milliseconds aAfterSignal,
                                   const std::string& aAttemptId)
{
  return std::async(std::launch::async, [&aStop, aAfterSignal, aAttemptId] {
    aStop.WaitUntil(aAfterSignal);
    CallerConnection caller(aStop.server.listenEndpoint);
    if (!caller.Send(PlannedStop::StreamRequest(aAttemptId))) {
      ReceivedAnswer refused;
      refused.end = ConnectionEnd::Refused;
      return refused;
    }
    return caller.ReadAnswer(PlannedStop::kPatience);
  });
}

/// Checks each answer unless its connection was refused. @returns the number of streams
int CheckAll(PlannedStop& aStop, Callers& aCallers, const std::string& aName)
{
  int served = 0;
  for (std::size_t number = 0; number < aCallers.size(); ++number) {
    const auto answer = aCallers[number].get();
    if (answer.end != ConnectionEnd::Refused) {
      aStop.CheckWhole(answer, aName + std::to_string(number));
      served += answer.status == 200 ? 1 : 0;
    }
  }
  return served;
}

} // namespace

TEST_CASE("Streams that slow down when a stop begins are not begun too late", "[stop]")
{
  // Guards against an expectation of the usual pace that cuts off what was begun. 1.5 s
  // after the signal, the slower streams have run for longer than usual.
  const int slowdown = GENERATE(3, 4, 5);
  INFO("slower by " << slowdown);
  PlannedStop stop(8000ms, 1000ms);
  stop.eventCount = kEvents;
  stop.ForEachEngine([](BackendServerStandin& aEngine) {
    aEngine.eventCount = kEvents;
    aEngine.eventInterval = kUsualInterval;
  });
  Callers usual;
  for (int number = 0; number < 8; ++number) {
    usual.push_back(SendAt(stop, 0ms, "usual-" + std::to_string(number)));
  }
  CHECK(CheckAll(stop, usual, "usual-") == 8);
  stop.ForEachEngine([slowdown](BackendServerStandin& aEngine) {
    aEngine.eventInterval = kUsualInterval * slowdown;
  });
  // Streams that the VM can still end when it learns of the slower pace.
  stop.SendSignal();
  Callers early;
  Callers late;
  for (int number = 0; number < 4; ++number) {
    early.push_back(
      SendAt(stop, 100ms + number * 50ms, "early-" + std::to_string(number)));
  }
  for (int number = 0; number < 16; ++number) {
    late.push_back(
      SendAt(stop, 1500ms + number * 300ms, "late-" + std::to_string(number)));
  }
  CheckAll(stop, early, "early-");
  CheckAll(stop, late, "late-");
  CHECK(stop.server.process->Wait() == 0);
}

TEST_CASE("An engine that is silent in the middle of a stream does not end it in a stop",
          "[stop]")
{
  // Guards against streams that a stopping VM gives up instead of continuing them on
  // another engine.
  const auto pause = GENERATE(1000ms, 1500ms);
  INFO("pause " << pause.count() << " ms");
  PlannedStop stop(8000ms, 1200ms);
  const auto silent = stop.platform.OpenGroupHeads().begin()->second;
  stop.platform.RunOnLoop(
    [&] { stop.platform.BackendServer(silent).pauseInStream = pause; });
  stop.PlanSignal(700ms);
  Callers callers;
  constexpr int kCallers = 6;
  for (int number = 0; number < kCallers; ++number) {
    callers.push_back(SendAt(stop, number * 200ms - 600ms, std::to_string(number)));
  }
  stop.SendPlannedSignal();
  CHECK(CheckAll(stop, callers, "") > 0);
  const auto runs = stop.platform.Runs();
  CHECK(std::ranges::count(runs, silent, &RecordedRun::server) > 0);
  CHECK(stop.server.process->Wait() == 0);
}

TEST_CASE("A stream whose engine was silent continues although its leader stops",
          "[stop]")
{
  // Guards against groups that nobody examines while the leadership changes hands: both
  // are silent for 1 s, one after the other, and reply when they are asked.
  PlannedStop stop(8000ms, 1200ms);
  ServerUnderTest other(stop.platform, "vm-2");
  other.WaitForGroups(2);
  stop.ForEachEngine([](BackendServerStandin& aEngine) { aEngine.pauseInStream = 1s; });
  stop.PlanSignal(700ms);
  Callers callers;
  for (int number = 0; number < 2; ++number) {
    callers.push_back(SendAt(stop, number * 400ms - 600ms, std::to_string(number)));
  }
  stop.SendPlannedSignal();
  CheckAll(stop, callers, "");
  CHECK(stop.server.process->Wait() == 0);
}

TEST_CASE("Answers that end with their connection are whole in a planned stop", "[stop]")
{
  // Guards against a stop that ends connections to servers and takes that for the end of
  // an answer.
  PlannedStop::Options options;
  options.putsServersBehindFronts = true;
  PlannedStop stop(8000ms, 2000ms, options);
  const auto removeFraming = [](BackendServerStandin& aServer) {
    aServer.front->removesFraming = true;
    aServer.answerDelay = 500ms;
  };
  stop.ForEachEngine(removeFraming);
  stop.ForEachService(removeFraming);
  stop.PlanSignal(1000ms);
  Callers streams;
  Callers calls;
  for (int number = 0; number < 10; ++number) {
    const auto at = number * 400ms - 900ms;
    streams.push_back(SendAt(stop, at, "stream-" + std::to_string(number)));
    calls.push_back(std::async(std::launch::async, [&stop, at, number] {
      stop.WaitUntil(at);
      CallerConnection caller(stop.server.listenEndpoint);
      caller.Send(PlannedStop::ServiceRequest(
        "POST", "/holds/1", "call-" + std::to_string(number)));
      return caller.ReadAnswer(PlannedStop::kPatience);
    }));
  }
  stop.SendPlannedSignal();
  CHECK(CheckAll(stop, streams, "stream-") > 0);
  for (std::size_t number = 0; number < calls.size(); ++number) {
    const auto name = "call-" + std::to_string(number);
    const auto answer = calls[number].get();
    INFO(name << " status " << answer.status << " end " << static_cast<int>(answer.end));
    if (answer.end != ConnectionEnd::Refused) {
      CHECK(answer.isComplete);
      CHECK((answer.status == 200 || answer.status == 503));
      CHECK(stop.HasRun(name) == (answer.status == 200));
      CHECK((answer.status != 200 || answer.body.starts_with("answer of stock-")));
    }
  }
  CHECK(stop.server.process->Wait() == 0);
}

TEST_CASE("A route's timeout applies in a planned stop as at any other time", "[stop]")
{
  // Guards against a stop that waits for, or counts as its own cut, what the route ends.
  PlannedStop::Options options;
  options.routeTimeout = 2s;
  PlannedStop stop(8000ms, 6000ms, options);
  const auto call = [&stop](const std::string& aAttemptId) {
    CallerConnection caller(stop.server.listenEndpoint);
    caller.Send(PlannedStop::StreamRequest(aAttemptId));
    return caller.ReadAnswer(PlannedStop::kPatience);
  };
  const auto usual = call("usual");
  auto during = std::async(std::launch::async, [&call] { return call("during"); });
  std::this_thread::sleep_for(300ms);
  stop.SendSignal();
  const auto stopped = during.get();
  CHECK(stopped.status == usual.status);
  CHECK(stopped.isComplete == usual.isComplete);
  CHECK(stopped.end == usual.end);
  CHECK(stop.server.process->Wait() == 0);
  CHECK(stop.SinceSignal() < stop.FinalAnswers());
}
