#pragma once

#include <optional>
#include <string>

#include "Call.h"
#include "ServingState.h"

namespace toucanstand {

/// How far a call has come over all its attempts, and how it ends when none answers it.
struct CallProgress
{
  CallProgress(ServingState& aState, Call& aCall);

  /// Gives the caller the final answer that is true of the attempts made: not run, the
  /// last server's own failure, or unknown. An answer that has begun is broken off.
  ///
  /// @param aRetryAfter when to come back if the call has not run
  Task<CallResult> GiveUp(std::string aReason, Duration aRetryAfter);

  /// Whole events of a stream arrived. The first call also says that the answer begins.
  void RecordEvents(TimePoint aNow);

  [[nodiscard]] CallResult MakeResult(CallOutcome aOutcome,
                                      int aStatus,
                                      std::string aReason = "") const;

  ServingState& state;
  Call& call;
  AttemptTracker tracker;
  /// Of the last attempt.
  std::string destination;
  /// The last server's own failure, if it gave one.
  std::optional<HttpResponse> lastServerError;
  /// From the arrival of the call.
  std::optional<Duration> timeToFirstByte;
  std::optional<TimePoint> lastEventsAt;
  Duration maxEventGap{ 0 };
  /// Part of the answer has reached the caller.
  bool responseStarted = false;
};

} // namespace toucanstand
