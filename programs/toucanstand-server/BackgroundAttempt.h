#pragma once

#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Call.h"
#include "http/Task.h"

namespace toucanstand {

/// An attempt that runs beside the coroutine that started it.
class BackgroundAttempt
{
public:
  using Failure = std::optional<FailedAttempt>;

  /// An exception counts as a broken connection and is logged.
  /// @param aOwner object that the attempt uses; is kept until its end
  BackgroundAttempt(boost::asio::io_context& aLoop,
                    std::shared_ptr<const void> aOwner,
                    Task<Failure> aAttempt);

  [[nodiscard]] bool HasEnded() const { return this->state->hasEnded; }

  /// How the attempt failed; empty while it runs, and if it did not fail.
  [[nodiscard]] const Failure& FailedWith() const { return this->state->failure; }

  /// Waits for the end of the attempt. @returns how it failed
  Task<Failure> Wait();

private:
  struct State
  {
    explicit State(boost::asio::io_context& aLoop)
      : end(aLoop, boost::asio::steady_timer::time_point::max())
    {
    }
    /// Never expires; is cancelled at the end of the attempt.
    boost::asio::steady_timer end;
    bool hasEnded = false;
    Failure failure;
  };

  std::shared_ptr<State> state;
};

} // namespace toucanstand
