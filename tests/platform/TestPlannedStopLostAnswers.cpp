#include <csignal>

#include <catch2/catch.hpp>

#include "support/AnswerLog.h"
#include "support/ParallelCallers.h"
#include "support/PlannedStop.h"

using namespace toucanstand;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

// Answers whose servers end early in a stop and whose callers read until after it.

namespace {

constexpr auto kStopPeriod = 8000ms;
constexpr auto kEventInterval = 40ms;

struct SlowReading
{
  int events;
  std::size_t padding;
  int receiveBuffer;
  /// Before each read.
  milliseconds pause;
  /// When requests are sent, from the signal on.
  milliseconds sentAt;
};

void PlaySlowReaders(const SlowReading& aReading)
{
  constexpr int kCallers = 4;
  PlannedStop stop(kStopPeriod, kEventInterval * aReading.events);
  stop.ForEachEngine([&aReading](BackendServerStandin& aEngine) {
    aEngine.eventCount = aReading.events;
    aEngine.eventInterval = kEventInterval;
    aEngine.eventPadding = aReading.padding;
  });
  AnswerLog log;
  ParallelCallers callers;
  stop.PlanSignal(1500ms);
  for (int number = 0; number < kCallers; ++number) {
    callers.Start([&stop, &log, &aReading, number] {
      const auto id = "slow-" + std::to_string(number);
      stop.WaitUntil(aReading.sentAt + 20ms * number);
      CallerConnection caller(stop.server.listenEndpoint, aReading.receiveBuffer);
      caller.Send(PlannedStop::StreamRequest(id));
      log.Add(id, caller.ReadAnswer(2 * PlannedStop::kPatience, aReading.pause));
    });
  }
  stop.SendPlannedSignal();
  // Their callers have not received them at that time.
  CHECK(stop.server.process->Wait() == 1);
  CHECK(stop.SinceSignal() < kStopPeriod);
  callers.WaitForAll();
  const auto whole =
    BackendServerStandin::CompleteStream(aReading.events, aReading.padding);
  for (const auto& [id, answer] : log.Answers()) {
    INFO(id << " status " << answer.status << " bytes " << answer.body.size() << " of "
            << whole.size());
    CHECK(answer.isComplete);
    CHECK(answer.status == 200);
    CHECK((answer.body == whole));
  }
}

} // namespace

TEST_CASE("A large answer is whole although its caller reads it until after a stop",
          "[.long][stop]")
{
  // Guards against a cut of what the kernel could have taken; net.core.wmem_max is 4 MB.
  PlaySlowReaders({ 64, 200'000, 65536, 20ms, -1000ms });
}

TEST_CASE("Large answers are whole at further paces of slow callers", "[.long][stop]")
{
  const auto reading = GENERATE(SlowReading{ 50, 200'000, 65536, 30ms, -1000ms },
                                SlowReading{ 50, 200'000, 65536, 30ms, 100ms },
                                SlowReading{ 50, 100'000, 4096, 20ms, -1000ms });
  INFO("padding " << reading.padding << ", receive buffer " << reading.receiveBuffer
                  << ", sent at " << reading.sentAt.count());
  PlaySlowReaders(reading);
}

TEST_CASE("A large answer is whole although its caller sends on after the process ended",
          "[.long][stop]")
{
  // Guards against a kernel that resets a connection whose process has ended.
  constexpr int kEvents = 50;
  constexpr std::size_t kPadding = 50'000;
  const std::string further =
    GENERATE(std::string("\r\n"), PlannedStop::StreamRequest("after"));
  PlannedStop stop(kStopPeriod, kEventInterval * kEvents);
  stop.ForEachEngine([](BackendServerStandin& aEngine) {
    aEngine.eventCount = kEvents;
    aEngine.eventInterval = kEventInterval;
    aEngine.eventPadding = kPadding;
  });
  stop.PlanSignal(1500ms);
  ParallelCallers callers;
  CallerConnection caller(stop.server.listenEndpoint, 65536);
  stop.WaitUntil(-1000ms);
  REQUIRE(caller.Send(PlannedStop::StreamRequest("slow")));
  callers.Start([&stop, &caller, &further] {
    stop.WaitUntil(kStopPeriod + 500ms);
    caller.Send(further);
  });
  callers.Start([&stop] { stop.SendPlannedSignal(); });
  const auto answer = caller.ReadAnswer(PlannedStop::kPatience, 60ms);
  callers.WaitForAll();
  INFO("status " << answer.status << " bytes " << answer.body.size() << " end "
                 << static_cast<int>(answer.end) << " sent " << further.size());
  CHECK(answer.isComplete);
  CHECK((answer.body == BackendServerStandin::CompleteStream(kEvents, kPadding)));
  CHECK(stop.server.process->Wait() == 1);
}
