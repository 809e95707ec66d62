#pragma once

#include <functional>

namespace toucanstand {

/// Lets one coroutine end the waiting of another on the same loop.
class CancelSwitch
{
public:
  /// Ends the current wait, and every later one at once.
  void Trip();

  [[nodiscard]] bool IsTripped() const { return this->tripped; }

  /// Sets what Trip() does while a wait is in progress; calls it at once when tripped.
  void Arm(std::function<void()> aAction);
  void Disarm();

private:
  std::function<void()> action;
  bool tripped = false;
};

} // namespace toucanstand
