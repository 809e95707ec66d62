#include "attempts/AttemptMeaning.h"

namespace toucanstand {

AttemptFailure FailureOf(HttpFailure aFailure)
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

AttemptEnd EndOf(AttemptFailure aFailure, AttemptEnd aSilence)
{
  switch (aFailure) {
    case AttemptFailure::ConnectRefused:
    case AttemptFailure::ConnectTimedOut:
      return AttemptEnd::ConnectFailed;
    case AttemptFailure::NoAnswerBeforeDeadline:
      return AttemptEnd::Slow;
    case AttemptFailure::SilentConnection:
      return aSilence;
    case AttemptFailure::RefusedAsNotRun:
      return AttemptEnd::Refused;
    case AttemptFailure::CallerLeft:
      return AttemptEnd::Abandoned;
    default:
      return AttemptEnd::Broken;
  }
}

} // namespace toucanstand
