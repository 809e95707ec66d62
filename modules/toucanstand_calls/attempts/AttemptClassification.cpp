#include "attempts/AttemptClassification.h"

namespace toucanstand {

AttemptFailure ToAttemptFailure(HttpFailure aFailure)
{
  switch (aFailure) {
    case HttpFailure::ConnectRefused:
      return AttemptFailure::ConnectRefused;
    case HttpFailure::ConnectTimedOut:
      return AttemptFailure::ConnectTimedOut;
    case HttpFailure::SendBroken:
      return AttemptFailure::SendBroken;
    case HttpFailure::BrokenBeforeHead:
    case HttpFailure::HeadTimedOut:
      return AttemptFailure::BrokenBeforeHead;
    default:
      return AttemptFailure::BrokenInBody;
  }
}

RouteOutcome ToRouteOutcome(AttemptFailure aFailure, RouteOutcome aSilenceOutcome)
{
  if (IsAbandoned(aFailure)) {
    return RouteOutcome::Abandoned;
  }
  switch (aFailure) {
    case AttemptFailure::ConnectRefused:
    case AttemptFailure::ConnectTimedOut:
      return RouteOutcome::ConnectFailed;
    case AttemptFailure::NoAnswerBeforeDeadline:
      return RouteOutcome::Slow;
    case AttemptFailure::SilentConnection:
      return aSilenceOutcome;
    case AttemptFailure::RefusedAsNotRun:
      return RouteOutcome::Refused;
    default:
      return RouteOutcome::Broken;
  }
}

} // namespace toucanstand
