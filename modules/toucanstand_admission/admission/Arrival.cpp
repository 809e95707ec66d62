#include "admission/Arrival.h"

namespace toucanstand {

const char* Name(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::QueueFull:
      return "queue-full";
    case RefusalReason::DeadlineTooClose:
      return "deadline-too-close";
    case RefusalReason::AccountOverShare:
      return "account-over-share";
    case RefusalReason::Draining:
      return "draining";
    case RefusalReason::NoCapacity:
      return "no-capacity";
    case RefusalReason::Malformed:
      return "malformed";
  }
  return "unknown";
}

} // namespace toucanstand
