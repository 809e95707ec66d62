#include <catch2/catch.hpp>

#include "lifecycle/StopSchedule.h"

using namespace toucanstand;
using namespace std::chrono_literals;

namespace {

const TimePoint kBegin = TimePoint{} + 100s;

} // namespace

TEST_CASE("The phases of a stop follow one another whatever the period", "[stop]")
{
  // Guards against periods that are shorter than the time of the load balancer.
  const Duration drain = GENERATE(Duration(900ms), 1800ms, 7200ms, 27s);
  const StopSchedule schedule(kBegin, drain, 2500ms);
  INFO(ToMilliseconds(drain).count());
  CHECK(schedule.PhaseAt(kBegin) == StopPhase::LeavingRotation);
  CHECK(schedule.End() == kBegin + drain);
  CHECK(schedule.ClosingAt() > kBegin + drain / 2);
  CHECK(schedule.ClosingAt() < schedule.FinalAnswersAt());
  CHECK(schedule.FinalAnswersAt() < schedule.End());
  CHECK(schedule.End() - schedule.ClosingAt() <= 1s);
  auto phase = StopPhase::LeavingRotation;
  for (auto now = kBegin; now <= schedule.End(); now += 10ms) {
    CHECK(schedule.PhaseAt(now) >= phase);
    phase = schedule.PhaseAt(now);
  }
  CHECK(phase == StopPhase::Over);
}

TEST_CASE("A stop without a load balancer ends as soon as its work does", "[stop]")
{
  // Guards against an idle program that waits for a load balancer that it does not have.
  const StopSchedule schedule(kBegin, 10s, 0s);
  CHECK(schedule.PhaseAt(kBegin) == StopPhase::Draining);
}

TEST_CASE("A stop that is shortened lets no request begin and gives final answers",
          "[stop]")
{
  // Guards against a second signal after which requests end without an answer.
  StopSchedule schedule(kBegin, 10s, 0s);
  schedule.Shorten(kBegin + 1s, 250ms);
  CHECK(schedule.PhaseAt(kBegin + 1s) == StopPhase::Closing);
  CHECK(schedule.End() == kBegin + 1250ms);
  CHECK(schedule.FinalAnswersAt() > kBegin + 1s);
  CHECK(schedule.FinalAnswersAt() < schedule.End());
  schedule.Shorten(kBegin + 1100ms, 250ms);
  CHECK(schedule.End() == kBegin + 1250ms);
}

TEST_CASE("A request begins in a stop only if its answer ends in time", "[stop]")
{
  // Guards against answers that the end of the drain cuts off, and against callers that
  // are rejected although there is time for them.
  const StopSchedule schedule(kBegin, 7600ms, 2500ms);
  const auto mayBegin = [&schedule](Duration aAfterSignal,
                                    std::optional<Duration> aLongest) {
    const ExpectedAnswer answer{ kBegin + 60s, aLongest, {} };
    return schedule.LeavesTimeFor(answer, kBegin + aAfterSignal);
  };
  CHECK_FALSE(mayBegin(0s, std::nullopt));
  CHECK(mayBegin(2400ms, 4s));
  CHECK_FALSE(mayBegin(2600ms, 4s));
  CHECK(mayBegin(2600ms, 2900ms));
  CHECK_FALSE(mayBegin(2800ms, 3s));
  CHECK_FALSE(mayBegin(7600ms, 1ms));
  CHECK_FALSE(mayBegin(0s, 8s));
}

TEST_CASE("A request whose deadline is before the end needs no estimate", "[stop]")
{
  // Guards against a plain call that has no time left for its final answer.
  const StopSchedule schedule(kBegin, 8s, 2500ms);
  CHECK(schedule.LeavesTimeFor({ kBegin + 7s, {}, {} }, kBegin));
  CHECK_FALSE(schedule.LeavesTimeFor({ kBegin + 8s, {}, {} }, kBegin));
}

TEST_CASE("The largest answer to a request must fit once callers reach other VMs",
          "[stop]")
{
  // Guards against a rare long answer that is cut, as the latest ones were short.
  const StopSchedule schedule(kBegin, 7600ms, 2500ms);
  const ExpectedAnswer answer{ kBegin + 60s, 1s, 4s };
  CHECK(schedule.LeavesTimeFor(answer, kBegin + 2s));
  CHECK_FALSE(schedule.LeavesTimeFor(answer, kBegin + 3s));
  const ExpectedAnswer unseen{ kBegin + 60s, {}, 4s };
  CHECK(schedule.LeavesTimeFor(unseen, kBegin + 2s));
  CHECK_FALSE(schedule.LeavesTimeFor(unseen, kBegin + 3500ms));
}

TEST_CASE("A request that may have run is not given up while its answer may end in time",
          "[stop]")
{
  // Guards against an attempt that is cut, and against one that is not made although
  // nobody else can make it.
  const StopSchedule schedule(kBegin, 7600ms, 2500ms);
  const ExpectedAnswer answer{ kBegin + 60s, 3s, 6s };
  CHECK_FALSE(schedule.LeavesTimeFor(answer, kBegin + 3500ms));
  CHECK(schedule.MayEndInTime(answer, kBegin + 3500ms));
  CHECK_FALSE(schedule.MayEndInTime(answer, kBegin + 4600ms));
  CHECK(schedule.MayEndInTime({ kBegin + 60s, {}, {} }, kBegin + 3s));
  CHECK(schedule.MayEndInTime({ kBegin + 7s, {}, {} }, kBegin));
}

TEST_CASE("A request that comes late in a stop leaves time for a silence of its server",
          "[stop]")
{
  // Guards against streams that a short silence of their engine carries beyond the drain.
  const StopSchedule schedule(kBegin, 7600ms, 2500ms);
  const ExpectedAnswer answer{ kBegin + 60s, 400ms, {} };
  CHECK(schedule.LeavesTimeFor(answer, kBegin + 4900ms));
  CHECK_FALSE(schedule.LeavesTimeFor(answer, kBegin + 5s));
  const StopSchedule shorter(kBegin, 3600ms, 2500ms);
  CHECK(shorter.LeavesTimeFor(answer, kBegin + 2900ms));
  CHECK_FALSE(shorter.LeavesTimeFor(answer, kBegin + 3100ms));
}

TEST_CASE("Requests that other VMs can serve leave a reserve for slower answers",
          "[stop]")
{
  // Guards against a long drain of which every moment is planned with, and against
  // rejections in a short one.
  const auto [drain, reserve] = GENERATE(table<Duration, Duration>(
    { { 1800ms, 0ms }, { 3600ms, 0ms }, { 7600ms, 400ms }, { 27s, 400ms } }));
  INFO(ToMilliseconds(drain).count());
  const StopSchedule schedule(kBegin, drain, Duration(drain / 2));
  const auto timeLeft = schedule.FinalAnswersAt() - kBegin;
  const auto mayBegin = [&schedule](Duration aExpected) {
    return schedule.LeavesTimeFor({ kBegin + 60s, aExpected, {} }, kBegin);
  };
  CHECK(mayBegin(timeLeft - reserve));
  CHECK_FALSE(mayBegin(timeLeft - reserve + 1ms));
  CHECK(schedule.MayEndInTime({ kBegin + 60s, timeLeft, {} }, kBegin));
}
