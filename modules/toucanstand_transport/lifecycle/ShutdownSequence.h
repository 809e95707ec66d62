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

/// Planned stop on SIGTERM or SIGINT under one absolute deadline.
///
/// The signal handlers are installed by the constructor, before the program is ready.
/// A second signal shortens the remaining time to a floor of 250 ms. The program ends
/// as soon as nothing is in flight.
class ShutdownSequence
{
public:
  /// @param aGracePeriod longest time for work in flight after the first signal.
  ShutdownSequence(boost::asio::io_context& aLoop, Duration aGracePeriod);

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
  TimePoint deadline{};
  ShutdownHooks hooks;
  bool draining = false;
  ExitCode outcome = ExitCode::Success;
};

} // namespace toucanstand
