#include "contracts/RoutingStrategy.h"

namespace toucanstand {

const char* Name(RoutingStrategy aStrategy)
{
  switch (aStrategy) {
    case RoutingStrategy::RoundRobin:
      return "round-robin";
    case RoutingStrategy::LeastOutstanding:
      return "least-outstanding";
    case RoutingStrategy::TwoChoices:
      return "two-choices";
    case RoutingStrategy::LeastTwoChoices:
      return "least-two-choices";
  }
  return "unknown";
}

} // namespace toucanstand
