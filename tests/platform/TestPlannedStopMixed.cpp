#include <algorithm>
#include <future>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

#include "support/PlannedStop.h"

using namespace toucanstand;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

// Callers of each kind at times that are drawn from a seed.

namespace {

using Callers = std::vector<std::future<ReceivedAnswer>>;

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

/// Callers of each kind, at times drawn from a seed.
void RunMixedCallers(milliseconds aStopPeriod, unsigned aSeed)
{
  INFO("stop period " << aStopPeriod.count() << " ms, seed " << aSeed);
  PlannedStop stop(aStopPeriod, std::min<milliseconds>(aStopPeriod / 4, 4s));
  std::mt19937 random(aSeed);
  const auto draw = [&random](milliseconds aMost) {
    return milliseconds(std::uniform_int_distribution<long>(0, aMost.count())(random));
  };
  constexpr int kCallers = 24;
  Callers callers;
  stop.PlanSignal(aStopPeriod / 4);
  for (int number = 0; number < kCallers; ++number) {
    // Bounded by the time that the VM gives a head and a body.
    const auto begin = draw(aStopPeriod * 5 / 4);
    const auto length = draw(std::min<milliseconds>(aStopPeriod / 2, 8s));
    callers.push_back(std::async(std::launch::async, [&stop, begin, length, number] {
      const auto name = "mixed-" + std::to_string(number);
      stop.WaitUntil(begin - stop.stopPeriod / 4);
      CallerConnection caller(stop.server.listenEndpoint);
      bool isSent = false;
      switch (number % 3) {
        case 0:
          isSent = caller.Send(PlannedStop::StreamRequest(name));
          break;
        case 1:
          isSent = caller.Send(ChunkedRequestHead("POST",
                                                  PlannedStop::kStreamTarget,
                                                  PlannedStop::RequestHeaders(name)) +
                               ChunkText("prompt"));
          if (isSent) {
            (void)caller.WaitForInput(length);
            caller.Send(ChunkText(""));
          }
          break;
        default:
          isSent = caller.Send(PlannedStop::StreamRequest(name), { 64, 50ms });
      }
      if (!isSent && !caller.WaitForInput(0ms)) {
        ReceivedAnswer refused;
        refused.end = ConnectionEnd::Refused;
        return refused;
      }
      return caller.ReadAnswer(stop.stopPeriod + PlannedStop::kPatience);
    }));
  }
  stop.SendPlannedSignal();
  const int served = CheckAll(stop, callers, "mixed-");
  CHECK(served > 0);
  CHECK(stop.server.process->Wait() == 0);
  CHECK(stop.SinceSignal() < stop.stopPeriod);
}

} // namespace

TEST_CASE("Callers of each kind at any time of a planned stop get whole answers",
          "[stop]")
{
  const auto stopPeriod = GENERATE(2000ms, 8000ms);
  const auto seed = GENERATE(1U, 2U);
  RunMixedCallers(stopPeriod, seed);
}

TEST_CASE("Callers of each kind get whole answers during a stop of 30 s", "[.long][stop]")
{
  RunMixedCallers(30'000ms, GENERATE(1U, 2U, 3U));
}
