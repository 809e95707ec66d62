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
  Task<CallEnd> GiveUp(std::string aReason, Duration aRetryAfter);

  /// Whole events of a stream arrived. The first call also says that the answer begins.
  void NoteEvents(TimePoint aNow);

  [[nodiscard]] CallEnd End(CallOutcome aOutcome,
                            int aStatus,
                            std::string aReason = "") const;

  ServingState& state;
  Call& call;
  AttemptTracker tracker;
  /// Of the last attempt.
  std::string destination;
  /// The last server's own failure, if it gave one.
  std::optional<HttpResponse> serverFailure;
  /// From the arrival of the call.
  std::optional<Duration> firstByte;
  std::optional<TimePoint> lastEventsAt;
  Duration longestPause{ 0 };
  /// Part of the answer has reached the caller.
  bool answerBegun = false;
};

} // namespace toucanstand
