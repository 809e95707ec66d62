#include "http/CancelSwitch.h"

#include <utility>

namespace toucanstand {

void CancelSwitch::Trip()
{
  this->tripped = true;
  if (const auto armed = std::exchange(this->action, nullptr)) {
    armed();
  }
}

void CancelSwitch::Arm(std::function<void()> aAction)
{
  if (this->tripped) {
    aAction();
    return;
  }
  this->action = std::move(aAction);
}

void CancelSwitch::Disarm()
{
  this->action = nullptr;
}

} // namespace toucanstand
