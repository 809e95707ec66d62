#include "routing/RouteQuery.h"

#include "routing/RouterSettings.h"

namespace toucanstand {

const char* Name(RouteRefusal aRefusal)
{
  switch (aRefusal) {
    case RouteRefusal::UnknownPool:
      return "unknown-pool";
    case RouteRefusal::NoCandidate:
      return "no-candidate";
    case RouteRefusal::AllExcluded:
      return "all-excluded";
    case RouteRefusal::Isolated:
      return "isolated";
  }
  return "unknown";
}

const char* Name(AttemptEnd aEnd)
{
  switch (aEnd) {
    case AttemptEnd::Answered:
      return "answered";
    case AttemptEnd::Refused:
      return "refused";
    case AttemptEnd::ConnectFailed:
      return "connect-failed";
    case AttemptEnd::Broken:
      return "broken";
    case AttemptEnd::Slow:
      return "slow";
    case AttemptEnd::Abandoned:
      return "abandoned";
    case AttemptEnd::DeadConnection:
      return "dead-connection";
  }
  return "unknown";
}

} // namespace toucanstand
