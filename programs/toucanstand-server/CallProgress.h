#pragma once

#include <optional>
#include <string>

#include "Call.h"
#include "ServingState.h"

namespace toucanstand {

/// State of a call across all its attempts. Also sends the final error response if no
/// attempt succeeds.
struct CallProgress
{
  CallProgress(ServingState& aState, Call& aCall);

  /// Ends the call without a successful response. The caller gets a response that states
  /// whether the request may have run: "not run", the last backend server's error
  /// response, or "unknown". A response that has already started is cut off.
  ///
  /// @param aRetryAfter minimum Retry-After if the call has not run
  Task<CallResult> GiveUp(std::string aReason, Duration aRetryAfter);

  /// True if a planned stop leaves no time for another attempt and the call has not run,
  /// so that another VM can serve it.
  [[nodiscard]] bool MustLeaveToOtherVms(TimePoint aNow) const;

  /// True if a planned stop would cut a stream off that begins now. Its caller then gets
  /// a whole answer instead of a part of the stream.
  [[nodiscard]] bool IsTooLateToStream(TimePoint aNow) const;

  /// True if another server that begins to answer after this time could end the answer
  /// before the deadline and the end of a planned stop.
  [[nodiscard]] bool LeavesTimeToContinue(Duration aFirstEvent, TimePoint aNow) const;

  /// Records that a request is sent to a backend server or group.
  void BeginAttempt(const std::string& aDestination, TimePoint aSentAt);

  /// Records the end of an attempt beside the last one, which goes on.
  void EndParallelAttempt(AttemptFailure aFailure, const std::string& aDestination);

  /// Records the failure of the last attempt. @returns what to do next
  [[nodiscard]] RetryDecision EndAttempt(FailedAttempt aFailedAttempt, TimePoint aNow);

  void CountRejection(AttemptFailure aFailure);

  /// Records the arrival of complete stream events. The first call sets the time to first
  /// byte.
  /// @param aCount events of all attempts so far
  void RecordEvents(std::size_t aCount, TimePoint aNow);

  [[nodiscard]] CallResult MakeResult(CallOutcome aOutcome,
                                      int aStatus,
                                      std::string aReason = "") const;

  ServingState& state;
  Call& call;
  AttemptTracker tracker;
  /// Backend server or group of the last attempt.
  std::string destination;
  /// Error response of the last attempt's backend server, if it sent one.
  std::optional<HttpResponse> lastServerError;
  /// Measured from the arrival of the call.
  std::optional<Duration> timeToFirstByte;
  std::optional<TimePoint> lastEventsAt;
  /// Complete stream events that have arrived.
  std::size_t eventCount = 0;
  Duration maxEventGap{ 0 };
  /// True once the head of the response has been sent to the caller.
  bool responseStarted = false;
};

} // namespace toucanstand
