#include <array>
#include <functional>
#include <map>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

#include "lifecycle/ShutdownSequence.h"

using namespace toucanstand;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr ShutdownSequence::Periods kPeriods{ 400ms, 50ms, 100ms };
/// Handlers that follow one another, as the reads and writes of one answer do.
constexpr int kSteps = 200;

/// A stop whose program has work that goes on step by step.
class LateStop
{
public:
  explicit LateStop(int aSteps, ShutdownSequence::Periods aPeriods = kPeriods)
    : remaining(aSteps)
    , stall(aPeriods.overrun)
    , shutdown(this->loop, aPeriods, RepeatedSignal::IsIgnored)
  {
    ShutdownHooks hooks;
    hooks.advance = [this](StopPhase aPhase, TimePoint) {
      this->remainingAt.try_emplace(aPhase, this->remaining);
    };
    hooks.isBusy = [this] { return this->remaining > 0; };
    this->shutdown.SetHooks(std::move(hooks));
  }

  /// Lets the loop stand still from one time to the other after the begin, and the work
  /// become ready meanwhile.
  void Run(Duration aPauseBegin, Duration aPauseEnd)
  {
    asio::steady_timer pause(this->loop, aPauseBegin);
    pause.async_wait([&](const boost::system::error_code&) {
      std::this_thread::sleep_for(aPauseEnd - aPauseBegin);
      this->Step();
    });
    this->shutdown.Begin();
    this->loop.run();
  }

  asio::io_context loop;
  int remaining;
  /// Work that is left when the process does not run for a while.
  int stallAt = -1;
  Duration stall;
  /// Work that was left when the phase began.
  std::map<StopPhase, int> remainingAt;
  ShutdownSequence shutdown;

private:
  void Step()
  {
    if (this->remaining > 0) {
      // Takes some time, so that the steps outlast the interval of the phases.
      const bool isStalled = this->remaining == this->stallAt;
      std::this_thread::sleep_for(isStalled ? this->stall : 200us);
      --this->remaining;
      asio::post(this->loop, [this] { this->Step(); });
    }
  }
};

} // namespace

TEST_CASE("Work that became ready while the loop stood still ends before answers are due",
          "[stop]")
{
  // Guards against a drain that ends by the clock while its last answers can be read.
  LateStop late(kSteps);
  late.Run(200ms, 410ms);
  CHECK(late.remainingAt.at(StopPhase::FinalAnswers) == 0);
  CHECK(late.shutdown.Outcome() == ExitCode::Success);
}

TEST_CASE("Work that became ready just before the end of a drain is not cut off",
          "[stop]")
{
  // Guards against the same in a process that already gives final answers.
  LateStop late(kSteps);
  late.Run(392ms, 410ms);
  CHECK(late.remaining == 0);
  CHECK(late.shutdown.Outcome() == ExitCode::Success);
}

TEST_CASE("Work that became ready after final answers were asked for is not cut off",
          "[stop]")
{
  // Guards against the same at the end of a drain whose last phase began in time.
  LateStop late(kSteps, { 2000ms, 50ms, 800ms });
  late.Run(1985ms, 2010ms);
  CHECK(late.remaining == 0);
  CHECK(late.shutdown.Outcome() == ExitCode::Success);
}

TEST_CASE("Work that is ready ends although the processor is taken away meanwhile",
          "[stop]")
{
  // Guards against a time for ready work that passes while the process does not run.
  constexpr int kFewSteps = kSteps / 4;
  LateStop late(kFewSteps, { 2000ms, 50ms, 800ms });
  late.stallAt = kFewSteps - 2;
  late.Run(1500ms, 1955ms);
  CHECK(late.remainingAt.at(StopPhase::FinalAnswers) == 0);
  CHECK(late.shutdown.Outcome() == ExitCode::Success);
}

TEST_CASE("A loop that is never idle does not keep a stop from its end", "[stop]")
{
  // Guards against a process that outlives its stop period because it is busy.
  constexpr int kEndless = 1'000'000;
  LateStop late(kEndless);
  const auto begin = BootClock::now();
  late.Run(200ms, 300ms);
  const auto took = BootClock::now() - begin;
  CHECK(took >= kPeriods.drain);
  CHECK(took < kPeriods.drain + kPeriods.overrun + 150ms);
  CHECK(late.shutdown.Outcome() == ExitCode::Failure);
}

TEST_CASE("The drain of a process that saw its signal late ends earlier", "[stop]")
{
  // Guards against a process that is killed before it gives its final answers.
  auto periods = kPeriods;
  periods.signalDelay = 300ms;
  asio::io_context loop;
  ShutdownSequence shutdown(loop, periods, RepeatedSignal::IsIgnored);
  loop.run_for(500ms);
  const bool isLate = GENERATE(true, false);
  if (isLate) {
    std::this_thread::sleep_for(1s);
    // The loop's own timers may be seen before the signal.
    loop.poll();
  }
  const auto begin = BootClock::now();
  shutdown.Begin();
  const auto expected = kPeriods.drain - (isLate ? periods.signalDelay : Duration(0));
  CHECK(shutdown.Schedule()->End() <= begin + expected + 20ms);
  CHECK(shutdown.Schedule()->End() >= begin + expected - 20ms);
}
