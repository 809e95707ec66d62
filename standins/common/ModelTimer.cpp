#include "common/ModelTimer.h"

namespace toucanstand {

ModelTimer::ModelTimer(boost::asio::io_context& aLoop, std::function<void()> aOnDue)
  : timer(aLoop)
  , onDue(std::move(aOnDue))
{
}

void ModelTimer::Arm(std::optional<TimePoint> aDue)
{
  if (aDue == this->armedFor) {
    return;
  }
  this->armedFor = aDue;
  if (!aDue) {
    this->timer.cancel();
    return;
  }
  this->timer.expires_after(*aDue - BootClock::now());
  this->timer.async_wait([this, due = *aDue](const boost::system::error_code& aError) {
    // A wait that was replaced can still complete without an error.
    if (!aError && this->armedFor == due) {
      this->armedFor.reset();
      this->onDue();
    }
  });
}

} // namespace toucanstand
