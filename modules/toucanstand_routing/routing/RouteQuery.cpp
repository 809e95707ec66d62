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

const char* Name(RouteOutcome aOutcome)
{
  switch (aOutcome) {
    case RouteOutcome::Answered:
      return "answered";
    case RouteOutcome::Refused:
      return "refused";
    case RouteOutcome::ConnectFailed:
      return "connect-failed";
    case RouteOutcome::Broken:
      return "broken";
    case RouteOutcome::Slow:
      return "slow";
    case RouteOutcome::Abandoned:
      return "abandoned";
    case RouteOutcome::DeadConnection:
      return "dead-connection";
  }
  return "unknown";
}

} // namespace toucanstand
