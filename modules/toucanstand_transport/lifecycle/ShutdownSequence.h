#pragma once

#include <functional>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "commandline/CommandLine.h"
#include "lifecycle/StopSchedule.h"
#include "time/BootClock.h"

namespace toucanstand {

/// What the end of a planned stop leaves undone.
struct UnfinishedWork
{
  /// Requests that are arriving, or whose answers are not written to their end.
  std::size_t cutOff = 0;
  /// Requests that may have run and got an error as their final answer.
  std::size_t answeredWithError = 0;
  /// Answers that were written and that their callers have not received.
  std::size_t notReceived = 0;
  /// Connections of other VMs to backend servers that lead through this one.
  std::size_t tunnels = 0;

  [[nodiscard]] std::size_t Total() const
  {
    return this->cutOff + this->answeredWithError + this->notReceived + this->tunnels;
  }
};

/// What a program does during its planned stop. Any hook may be empty.
struct ShutdownHooks
{
  /// The stop begins. Called once.
  std::function<void()> beginDrain;
  /// Called at each new phase, and repeatedly until the end.
  std::function<void(StopPhase aPhase, TimePoint aNow)> advance;
  /// True while work is in flight.
  std::function<bool()> isBusy;
  /// What the stop has left without a whole answer, or would now. Called once, at the
  /// end; any work in flight counts as one request when empty.
  std::function<UnfinishedWork()> countUnfinished;
};

/// What a second signal does to a stop in progress.
enum class RepeatedSignal
{
  /// The remaining time is cut to 250 ms.
  Shortens,
  /// Several parts of a platform may ask for the same stop: the deadline stays.
  IsIgnored,
};

/// Planned stop on SIGTERM or SIGINT under one absolute deadline.
///
/// The signal handlers are installed by the constructor, before the program is ready.
/// The program ends as soon as nothing is in flight, but not before the load balancer has
/// had time to notice.
class ShutdownSequence
{
public:
  /// Times of a stop, from the first signal.
  struct Periods
  {
    /// Longest time for work in flight.
    Duration drain{ 0 };
    /// Time until the load balancer sends no more connections.
    Duration rotation{ 0 };
    /// Longest time beyond the drain for work that is ready, in a process that runs late.
    Duration overrun = std::chrono::milliseconds(50);
    /// The drain is shortened by the time that a signal may have waited for a late loop,
    /// and by this much at most.
    Duration signalDelay{ 0 };
  };

  ShutdownSequence(boost::asio::io_context& aLoop,
                   Periods aPeriods,
                   RepeatedSignal aRepeated = RepeatedSignal::Shortens);

  void SetHooks(ShutdownHooks aHooks);

  /// Starts the stop as the first signal does.
  void Begin();

  /// To be called when work has ended; ends the loop when draining and nothing is left.
  void NoteProgress();

  [[nodiscard]] bool IsDraining() const { return this->schedule.has_value(); }

  /// Times of the stop; nothing before it.
  [[nodiscard]] const std::optional<StopSchedule>& Schedule() const
  {
    return this->schedule;
  }

  /// Failure when requests were left without a whole answer.
  [[nodiscard]] ExitCode Outcome() const { return this->outcome; }

private:
  void WaitForSignal();
  void ShortenDeadline();
  void OnCheck();
  /// Runs the handlers that are ready, and those that become ready by them.
  void RunReadyHandlers();
  void Advance();
  void EndIfDone(TimePoint aNow);
  [[nodiscard]] StopPhase NextPhase(TimePoint aNow) const;
  void RecordCutOff();
  [[nodiscard]] bool IsBusy() const;
  void ArmCheck();
  /// Records, until the stop begins, when the loop ran.
  void ArmServingCheck();
  /// Longest time for which the signal may have waited.
  [[nodiscard]] Duration SignalDelay(TimePoint aNow) const;

  boost::asio::io_context& loop;
  boost::asio::signal_set signals;
  boost::asio::steady_timer checkTimer;
  Periods periods;
  RepeatedSignal repeated;
  std::optional<StopSchedule> schedule;
  ShutdownHooks hooks;
  StopPhase phase = StopPhase::Serving;
  std::optional<TimePoint> overSince;
  /// The last two times at which the loop ran before the stop. The later one may be of
  /// the same turn as the signal.
  std::optional<TimePoint> ranAt;
  std::optional<TimePoint> ranBefore;
  ExitCode outcome = ExitCode::Success;
};

} // namespace toucanstand
