#include "lifecycle/ShutdownSequence.h"

#include <algorithm>
#include <csignal>
#include <ctime>
#include <utility>

#include <spdlog/spdlog.h>

namespace toucanstand {

namespace {

/// Time that is left for work in flight after a second signal.
constexpr Duration kShortenedPeriod = std::chrono::milliseconds(250);
/// Interval at which a drain looks for its next phase and for the end of its work.
constexpr auto kCheckInterval = std::chrono::milliseconds(20);
/// Interval at which a process that serves records that its loop runs.
constexpr auto kServingInterval = std::chrono::milliseconds(100);
/// Least time for ready handlers: in a process that wakes after its drain, and as
/// processor time where the processor is taken away meanwhile.
constexpr Duration kMinReadyTime = std::chrono::milliseconds(25);
/// Most of the overrun, as a factor, that ready handlers get in the latter case.
constexpr double kStalledOverrun = 1.25;
/// Time after the end of the drain in which requests that were cut off are logged.
constexpr Duration kCutOffTime = std::chrono::milliseconds(50);

/// Processor time that this thread has used.
Duration ProcessorTime()
{
  timespec used{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
}

} // namespace

ShutdownSequence::ShutdownSequence(boost::asio::io_context& aLoop,
                                   Periods aPeriods,
                                   RepeatedSignal aRepeated)
  : loop(aLoop)
  , signals(aLoop, SIGTERM, SIGINT)
  , checkTimer(aLoop)
  , periods(aPeriods)
  , repeated(aRepeated)
{
  std::signal(SIGPIPE, SIG_IGN);
  this->WaitForSignal();
  if (this->periods.signalDelay > Duration::zero()) {
    this->ArmServingCheck();
  }
}

void ShutdownSequence::SetHooks(ShutdownHooks aHooks)
{
  this->hooks = std::move(aHooks);
}

void ShutdownSequence::Begin()
{
  if (this->schedule) {
    return;
  }
  const auto now = BootClock::now();
  const auto drain = this->periods.drain - this->SignalDelay(now);
  this->schedule.emplace(now, drain, this->periods.rotation);
  spdlog::info("draining, deadline in {} ms", ToMilliseconds(drain).count());
  if (this->hooks.beginDrain) {
    this->hooks.beginDrain();
  }
  this->Advance();
  this->ArmCheck();
}

void ShutdownSequence::NoteProgress()
{
  if (this->schedule) {
    this->EndIfDone(BootClock::now());
  }
}

void ShutdownSequence::OnCheck()
{
  // A phase takes away what the one before allowed. A loop that runs late must first see
  // what has arrived: an answer that lies in a socket is not one that did not come.
  if (this->NextPhase(BootClock::now()) != this->phase) {
    this->RunReadyHandlers();
  }
  // One of them may have ended the stop.
  if (!this->loop.stopped()) {
    this->Advance();
  }
}

void ShutdownSequence::RunReadyHandlers()
{
  const auto begin = BootClock::now();
  const auto latest = this->schedule->End() + this->periods.overrun;
  const auto until =
    std::max(std::min(begin + this->periods.overrun, latest), begin + kMinReadyTime);
  const auto lastUntil =
    std::max(until,
             this->schedule->End() +
               FromSeconds(ToSeconds(this->periods.overrun) * kStalledOverrun));
  const auto usedBefore = ProcessorTime();
  const auto mayGoOn = [&] {
    const auto now = BootClock::now();
    return now < until ||
           (now < lastUntil && ProcessorTime() - usedBefore < kMinReadyTime);
  };
  while (mayGoOn() && this->loop.poll_one() > 0) {
  }
}

void ShutdownSequence::Advance()
{
  const auto now = BootClock::now();
  this->phase = this->NextPhase(now);
  if (this->phase == StopPhase::Over && !this->overSince) {
    this->overSince = now;
    this->RecordCutOff();
  }
  if (this->hooks.advance) {
    this->hooks.advance(this->phase, now);
  }
  this->EndIfDone(now);
}

void ShutdownSequence::EndIfDone(TimePoint aNow)
{
  const bool mayEnd = this->phase >= StopPhase::Draining && !this->IsBusy();
  const bool mustEnd = this->overSince && aNow >= *this->overSince + kCutOffTime;
  if (!mayEnd && !mustEnd) {
    return;
  }
  if (!this->overSince) {
    this->RecordCutOff();
  }
  spdlog::info("stopped");
  this->loop.stop();
}

StopPhase ShutdownSequence::NextPhase(TimePoint aNow) const
{
  // A process that was suspended until after the deadline still gives final answers.
  const auto due = this->schedule->PhaseAt(aNow);
  const bool skipsAnswers =
    due == StopPhase::Over && this->phase < StopPhase::FinalAnswers;
  return skipsAnswers ? StopPhase::FinalAnswers : due;
}

bool ShutdownSequence::IsBusy() const
{
  return this->hooks.isBusy && this->hooks.isBusy();
}

void ShutdownSequence::RecordCutOff()
{
  UnfinishedWork unfinished;
  if (this->hooks.countUnfinished) {
    unfinished = this->hooks.countUnfinished();
  } else {
    unfinished.cutOff = this->IsBusy() ? 1 : 0;
  }
  if (unfinished.Total() > 0) {
    spdlog::warn("the drain left {} requests without a whole answer: {} cut off, {} "
                 "answered with an error, {} answers not received, {} tunnels of other "
                 "VMs",
                 unfinished.Total(),
                 unfinished.cutOff,
                 unfinished.answeredWithError,
                 unfinished.notReceived,
                 unfinished.tunnels);
    this->outcome = ExitCode::Failure;
  }
}

void ShutdownSequence::WaitForSignal()
{
  this->signals.async_wait([this](const boost::system::error_code& aError, int) {
    if (aError) {
      return;
    }
    if (!this->schedule) {
      this->Begin();
    } else if (this->repeated == RepeatedSignal::Shortens) {
      this->ShortenDeadline();
    }
    this->WaitForSignal();
  });
}

void ShutdownSequence::ShortenDeadline()
{
  this->schedule->Shorten(BootClock::now(), kShortenedPeriod);
  spdlog::info("second signal, drain shortened");
}

void ShutdownSequence::ArmCheck()
{
  this->checkTimer.expires_after(kCheckInterval);
  this->checkTimer.async_wait([this](const boost::system::error_code& aError) {
    if (aError) {
      return;
    }
    this->OnCheck();
    this->ArmCheck();
  });
}

void ShutdownSequence::ArmServingCheck()
{
  this->checkTimer.expires_after(kServingInterval);
  this->checkTimer.async_wait([this](const boost::system::error_code& aError) {
    if (aError || this->schedule) {
      return;
    }
    this->ranBefore = std::exchange(this->ranAt, BootClock::now());
    this->ArmServingCheck();
  });
}

Duration ShutdownSequence::SignalDelay(TimePoint aNow) const
{
  if (!this->ranBefore) {
    return Duration::zero();
  }
  const Duration late = aNow - *this->ranBefore - 2 * kServingInterval;
  return std::clamp(late, Duration::zero(), this->periods.signalDelay);
}

} // namespace toucanstand
