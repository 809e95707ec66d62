#pragma once

#include <functional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "commandline/CommandLine.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Steps of a program's planned stop.
struct ShutdownHooks
{
  /// Stops taking new work. Called once.
  std::function<void()> beginDrain;
  /// True while work is in flight.
  std::function<bool()> isBusy;
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
/// The program ends as soon as nothing is in flight.
class ShutdownSequence
{
public:
  /// @param aGracePeriod longest time for work in flight after the first signal.
  ShutdownSequence(boost::asio::io_context& aLoop,
                   Duration aGracePeriod,
                   RepeatedSignal aRepeated = RepeatedSignal::Shortens);

  void SetHooks(ShutdownHooks aHooks);

  /// Starts the stop as the first signal does.
  void Begin();

  /// To be called when work has ended; ends the loop when draining and nothing is left.
  void NoteProgress();

  [[nodiscard]] bool IsDraining() const { return this->draining; }

  /// Failure when the deadline passed with work in flight.
  [[nodiscard]] ExitCode Outcome() const { return this->outcome; }

private:
  void WaitForSignal();
  void ShortenDeadline();
  void ArmDeadline();
  void ArmCheck();

  boost::asio::io_context& loop;
  boost::asio::signal_set signals;
  boost::asio::steady_timer deadlineTimer;
  boost::asio::steady_timer checkTimer;
  Duration gracePeriod;
  RepeatedSignal repeated;
  TimePoint deadline{};
  ShutdownHooks hooks;
  bool draining = false;
  ExitCode outcome = ExitCode::Success;
};

} // namespace toucanstand
