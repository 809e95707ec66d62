#include <algorithm>
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

// Requests that reach a server late in a planned stop, and answers that come late.

namespace {

/// Sends a whole request for a stream at a time after the signal.
void CallAt(PlannedStop& aStop,
            milliseconds aAfterSignal,
            const std::string& aAttemptId,
            AnswerLog& aLog)
{
  aStop.WaitUntil(aAfterSignal);
  CallerConnection caller(aStop.server.listenEndpoint);
  caller.Send(PlannedStop::StreamRequest(aAttemptId));
  aLog.Add(aAttemptId, caller.ReadAnswer(PlannedStop::kPatience));
}

/// Connects before the listener closes; the last byte of the request follows at a time
/// after the signal.
void CallWithLastByteAt(PlannedStop& aStop,
                        milliseconds aAfterSignal,
                        const std::string& aAttemptId,
                        AnswerLog& aLog)
{
  aStop.WaitUntil(std::min(aAfterSignal, aStop.LastConnect()));
  CallerConnection caller(aStop.server.listenEndpoint);
  caller.Send(ChunkedRequestHead("POST",
                                 PlannedStop::kStreamTarget,
                                 PlannedStop::RequestHeaders(aAttemptId)) +
              ChunkText("prompt"));
  aStop.WaitUntil(aAfterSignal);
  caller.Send(ChunkText(""));
  aLog.Add(aAttemptId, caller.ReadAnswer(PlannedStop::kPatience));
}

void CheckAllWhole(PlannedStop& aStop, const AnswerLog& aLog)
{
  for (const auto& [attempt, answer] : aLog.Answers()) {
    aStop.CheckWhole(answer, attempt);
  }
}

} // namespace

TEST_CASE("Streams that are slower than predicted are not begun too late although few "
          "have ended",
          "[stop]")
{
  // Guards against a VM that believes its cost model while streams in progress, too few
  // of which have ended, show that it is wrong.
  PlannedStop stop(8000ms, 1000ms);
  stop.eventCount = 20;
  stop.ForEachEngine(
    [&stop](BackendServerStandin& aEngine) { aEngine.eventCount = stop.eventCount; });
  AnswerLog log;
  ParallelCallers callers;
  stop.PlanSignal(1200ms);
  for (int number = 0; number < 9; ++number) {
    callers.Start([&stop, &log, number] {
      CallAt(stop, number * 400ms - 1000ms, "early-" + std::to_string(number), log);
    });
  }
  for (int number = 0; number < 6; ++number) {
    callers.Start([&stop, &log, number] {
      CallWithLastByteAt(
        stop, 3300ms + number * 300ms, "late-" + std::to_string(number), log);
    });
  }
  stop.SendPlannedSignal();
  callers.WaitForAll();
  CheckAllWhole(stop, log);
  CHECK(stop.server.process->Wait() == 0);
}

TEST_CASE(
  "A request whose first engine was silent gets a whole answer from a stopping VM",
  "[stop]")
{
  // Guards against a second attempt that begins without time for its stream: its caller
  // would see status 200 and a cut body, where a whole answer was possible.
  PlannedStop stop(8000ms, 4400ms);
  const auto silent = stop.platform.OpenGroupHeads().begin()->second;
  stop.platform.RunOnLoop(
    [&] { stop.platform.BackendServer(silent).eventInterval = 60s; });
  AnswerLog log;
  ParallelCallers callers;
  stop.PlanSignal(100ms);
  for (int number = 0; number < 6; ++number) {
    callers.Start([&stop, &log, number] {
      CallAt(stop, 1900ms, "retried-" + std::to_string(number), log);
    });
  }
  stop.SendPlannedSignal();
  callers.WaitForAll();
  stop.server.process->Wait();
  for (const auto& [attempt, answer] : log.Answers()) {
    INFO(attempt << " status " << answer.status << " bytes " << answer.body.size());
    CHECK(answer.isComplete);
    CHECK((answer.status != 200 || answer.body == stop.WholeStream()));
  }
  const auto runs = stop.platform.Runs();
  CHECK(std::ranges::count(runs, silent, &RecordedRun::server) > 0);
}

TEST_CASE("A stream that begins late in a stop is whole although its engine pauses",
          "[stop]")
{
  // Guards against streams that are begun more than 3 s after the signal, and cut by the
  // end of the drain as nothing is left of it for a pause of an engine.
  PlannedStop stop(8000ms, 400ms);
  const auto pause = GENERATE(650ms, 1500ms);
  INFO("pause " << pause.count() << " ms");
  stop.ForEachEngine(
    [pause](BackendServerStandin& aEngine) { aEngine.pauseInStream = pause; });
  AnswerLog log;
  ParallelCallers callers;
  stop.SendSignal();
  for (int number = 0; number < 4; ++number) {
    callers.Start([&stop, &log, number] {
      CallWithLastByteAt(stop, 6230ms, "late-" + std::to_string(number), log);
    });
  }
  callers.WaitForAll();
  CheckAllWhole(stop, log);
  CHECK(stop.server.process->Wait() == 0);
}

TEST_CASE("What reaches a process while it is suspended beyond its drain is answered",
          "[stop]")
{
  // Guards against answers that servers ended long before, and whole requests, that are
  // dropped as the deadline has passed.
  PlannedStop stop(8000ms, 1000ms);
  AnswerLog streams;
  AnswerLog requests;
  ParallelCallers callers;
  stop.PlanSignal(200ms);
  for (int number = 0; number < 6; ++number) {
    callers.Start([&stop, &streams, number] {
      CallAt(stop, -100ms, "ended-" + std::to_string(number), streams);
    });
    callers.Start([&stop, &requests, number] {
      CallAt(stop, 1500ms, "arrived-" + std::to_string(number), requests);
    });
  }
  stop.SendPlannedSignal();
  stop.WaitUntil(150ms);
  stop.server.process->Signal(SIGSTOP);
  stop.WaitUntil(stop.DrainEnd() + 100ms);
  stop.server.process->Signal(SIGCONT);
  callers.WaitForAll();
  CheckAllWhole(stop, streams);
  for (const auto& [attempt, answer] : requests.Answers()) {
    stop.CheckNotRun(answer, attempt);
  }
  CHECK(stop.server.process->Wait() == 0);
}

TEST_CASE("A stopping VM refuses connections once the load balancer has had its time",
          "[stop]")
{
  // Guards against callers that connect to be rejected, while a refused connection would
  // send them to another VM at once.
  PlannedStop stop(8000ms, 4000ms);
  CallerConnection earlier(stop.server.listenEndpoint);
  REQUIRE(earlier.Send(PlannedStop::StreamRequest("earlier")));
  std::this_thread::sleep_for(300ms);
  stop.SendSignal();
  stop.WaitUntil(stop.LastConnect());
  CHECK(CallerConnection(stop.server.listenEndpoint).IsConnected());
  stop.WaitUntil(2800ms);
  CHECK_FALSE(CallerConnection(stop.server.listenEndpoint).IsConnected());
  stop.CheckWhole(earlier.ReadAnswer(PlannedStop::kPatience), "earlier");
  CHECK(stop.server.process->Wait() == 0);
}

TEST_CASE("A request that an engine did not run is not sent to another one too late",
          "[stop]")
{
  // Guards against a further attempt for which nobody asked whether there is time.
  PlannedStop stop(8000ms, 4000ms);
  const auto rejecting = stop.platform.OpenGroupHeads().begin()->second;
  constexpr int kCallers = 8;
  stop.platform.RunOnLoop([&] {
    auto& faults = stop.platform.BackendServer(rejecting).faults;
    faults.rejectAsOverloaded = kCallers;
    faults.rejectionDelay = 1000ms;
  });
  AnswerLog log;
  ParallelCallers callers;
  stop.PlanSignal(100ms);
  for (int number = 0; number < kCallers; ++number) {
    callers.Start([&stop, &log, number] {
      CallAt(stop, 2300ms, "call-" + std::to_string(number), log);
    });
  }
  stop.SendPlannedSignal();
  callers.WaitForAll();
  CheckAllWhole(stop, log);
  const auto refused = std::ranges::count_if(
    log.Answers(), [](const auto& aEntry) { return aEntry.second.status == 503; });
  CHECK(refused > 0);
  CHECK(stop.server.process->Wait() == 0);
}

TEST_CASE("The last VM that stops says when it may be back although a peer stopped later",
          "[stop]")
{
  // Guards against callers that come back 20 times a second as both VMs count the other.
  PlannedStop stop(2000ms, 400ms);
  ServerUnderTest other(stop.platform, "vm-2");
  stop.server.caller.WaitFor(
    stop.server.operatorEndpoint, "/state", [](const nlohmann::json& aState) {
      return aState.at("state").at("peers") == 1;
    });
  CallerConnection caller(stop.server.listenEndpoint);
  REQUIRE(caller.Send(ChunkedRequestHead(
    "POST", PlannedStop::kStreamTarget, PlannedStop::RequestHeaders("rejected"))));
  stop.SendSignal();
  stop.WaitUntil(100ms);
  other.process->Signal(SIGTERM);
  const auto answer = caller.ReadAnswer(PlannedStop::kPatience);
  stop.CheckNotRun(answer, "rejected");
  CHECK(std::stod(std::string(answer.headers.Find("Retry-After"))) >= 2);
  CHECK(stop.server.process->Wait() == 0);
}
