#pragma once

#include <functional>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "time/BootClock.h"

namespace toucanstand {

/// Calls back when a state machine's next event is due.
class ModelTimer
{
public:
  ModelTimer(boost::asio::io_context& aLoop, std::function<void()> aOnDue);

  /// Replaces the time that was set before; nothing disarms the timer.
  void Arm(std::optional<TimePoint> aDue);

private:
  boost::asio::steady_timer timer;
  std::optional<TimePoint> armedFor;
  std::function<void()> onDue;
};

} // namespace toucanstand
