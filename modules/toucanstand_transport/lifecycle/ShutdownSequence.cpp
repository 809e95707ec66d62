#include "lifecycle/ShutdownSequence.h"

#include <algorithm>
#include <csignal>

#include <spdlog/spdlog.h>

namespace toucanstand {

namespace {

/// Time that is left for work in flight after a second signal.
constexpr Duration kShortenedPeriod = std::chrono::milliseconds(250);
/// How often a drain looks for the end of work that nobody reported.
constexpr Duration kCheckInterval = std::chrono::milliseconds(20);

std::chrono::steady_clock::duration TimerDuration(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
    std::max(aDuration, Duration::zero()));
}

} // namespace

ShutdownSequence::ShutdownSequence(boost::asio::io_context& aLoop,
                                   Duration aGracePeriod,
                                   RepeatedSignal aRepeated)
  : loop(aLoop)
  , signals(aLoop, SIGTERM, SIGINT)
  , deadlineTimer(aLoop)
  , checkTimer(aLoop)
  , gracePeriod(aGracePeriod)
  , repeated(aRepeated)
{
  std::signal(SIGPIPE, SIG_IGN);
  this->WaitForSignal();
}

void ShutdownSequence::SetHooks(ShutdownHooks aHooks)
{
  this->hooks = std::move(aHooks);
}

void ShutdownSequence::Begin()
{
  if (this->draining) {
    return;
  }
  this->draining = true;
  this->deadline = BootClock::now() + this->gracePeriod;
  spdlog::info("draining, deadline in {} ms", ToMilliseconds(this->gracePeriod).count());
  if (this->hooks.beginDrain) {
    this->hooks.beginDrain();
  }
  this->ArmDeadline();
  this->NoteProgress();
  this->ArmCheck();
}

void ShutdownSequence::NoteProgress()
{
  if (!this->draining || (this->hooks.isBusy && this->hooks.isBusy())) {
    return;
  }
  spdlog::info("stopped");
  this->loop.stop();
}

void ShutdownSequence::WaitForSignal()
{
  this->signals.async_wait([this](const boost::system::error_code& aError, int) {
    if (aError) {
      return;
    }
    if (!this->draining) {
      this->Begin();
    } else if (this->repeated == RepeatedSignal::Shortens) {
      this->ShortenDeadline();
    }
    this->WaitForSignal();
  });
}

void ShutdownSequence::ShortenDeadline()
{
  this->deadline = std::min(this->deadline, BootClock::now() + kShortenedPeriod);
  spdlog::info("second signal, drain shortened");
  this->ArmDeadline();
}

void ShutdownSequence::ArmDeadline()
{
  this->deadlineTimer.expires_after(TimerDuration(this->deadline - BootClock::now()));
  this->deadlineTimer.async_wait([this](const boost::system::error_code& aError) {
    if (aError) {
      return;
    }
    spdlog::warn("drain deadline passed with work in flight");
    this->outcome = ExitCode::Failure;
    this->loop.stop();
  });
}

void ShutdownSequence::ArmCheck()
{
  this->checkTimer.expires_after(TimerDuration(kCheckInterval));
  this->checkTimer.async_wait([this](const boost::system::error_code& aError) {
    if (aError) {
      return;
    }
    this->NoteProgress();
    this->ArmCheck();
  });
}

} // namespace toucanstand
