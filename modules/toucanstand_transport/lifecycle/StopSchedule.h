#pragma once

#include <optional>

#include "time/BootClock.h"

namespace toucanstand {

/// Phases of a planned stop, in order.
enum class StopPhase
{
  /// No stop was asked for.
  Serving,
  /// The load balancer may still send connections to this VM.
  LeavingRotation,
  /// The program ends as soon as no work is left.
  Draining,
  /// No request begins any more. One that is still arriving is rejected.
  Closing,
  /// A request without an answer gets its final one now.
  FinalAnswers,
  /// What is left is cut off.
  Over,
};

/// Name of a phase for logs.
[[nodiscard]] const char* Name(StopPhase aPhase);

/// When the answer to a request that has not begun may end.
struct ExpectedAnswer
{
  /// The caller waits no longer.
  TimePoint deadline;
  /// How long it may take, by the latest answers; nothing if unknown.
  std::optional<Duration> byLatest;
  /// How long the largest answer to the request should take; nothing if unknown.
  std::optional<Duration> byLargestSize;
};

/// Times of a planned stop, under one absolute deadline.
class StopSchedule
{
public:
  /// Time before the end of the drain from which no request begins: a share of the drain,
  /// and at most this long. Callers that send slowly receive their rejection in it.
  static constexpr double kClosingShare = 0.125;
  static constexpr Duration kMaxClosingTime = std::chrono::seconds(1);
  /// The last part of that time, in which final answers reach their callers.
  static constexpr double kFinalAnswersShare = 0.2;

  /// Time before the final answers that is kept for answers which take longer than
  /// expected: a share of what the drain has beyond a short one, and at most this long. A
  /// short drain has no time to spare.
  static constexpr Duration kShortDrain = std::chrono::milliseconds(3600);
  static constexpr double kReserveShare = 0.1;
  static constexpr Duration kMaxReserve = std::chrono::milliseconds(400);

  /// Factor on the expected time once the load balancer sends callers elsewhere: a server
  /// may slow down, and a rejected caller loses little by then.
  static constexpr double kAnswerTimeMargin = 1.5;
  /// Time after that in which requests of callers that connected before may still arrive.
  static constexpr Duration kArrivalTime = std::chrono::milliseconds(500);
  /// Longest silence of a server that goes on with its answer afterwards. Later requests
  /// begin only if it fits too.
  static constexpr Duration kServerPause = std::chrono::milliseconds(1500);

  /// @param aBegin time of the signal
  /// @param aDrainPeriod from the signal until what is left is cut off
  /// @param aRotationTime from the signal until the load balancer sends no more
  /// connections
  StopSchedule(TimePoint aBegin, Duration aDrainPeriod, Duration aRotationTime);

  /// Lets no further request begin, and the drain end after this time if it would end
  /// later.
  void Shorten(TimePoint aNow, Duration aPeriod);

  /// True if the answer can be expected to end in time, with a reserve. While callers
  /// still reach this VM only, the latest answers decide; later there must be a margin.
  [[nodiscard]] bool LeavesTimeFor(const ExpectedAnswer& aAnswer, TimePoint aNow) const;

  /// False if the answer can't end in time unless it is quicker than expected. For a
  /// request that may have run, so that no other VM can serve it in its place.
  [[nodiscard]] bool MayEndInTime(const ExpectedAnswer& aAnswer, TimePoint aNow) const;

  [[nodiscard]] StopPhase PhaseAt(TimePoint aNow) const;
  [[nodiscard]] TimePoint Begin() const { return this->begin; }
  [[nodiscard]] TimePoint ClosingAt() const { return this->closingAt; }
  [[nodiscard]] TimePoint FinalAnswersAt() const { return this->finalAnswersAt; }
  [[nodiscard]] TimePoint End() const { return this->end; }

private:
  /// Time that an answer is assumed to need beyond what is expected.
  [[nodiscard]] Duration MarginFor(Duration aExpected, TimePoint aNow) const;

  /// Time that is left for the expected answer.
  [[nodiscard]] static bool Fits(const ExpectedAnswer& aAnswer, Duration aTimeLeft);

  TimePoint begin;
  TimePoint rotationEnd;
  TimePoint closingAt;
  TimePoint finalAnswersAt;
  /// Before finalAnswersAt.
  Duration reserve{ 0 };
  TimePoint end;
};

} // namespace toucanstand
