#pragma once

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
  /// What has no answer yet gets its final answer now.
  FinalAnswers,
  /// What is left is cut off.
  Over,
};

/// Name of a phase for logs.
[[nodiscard]] const char* Name(StopPhase aPhase);

/// Times of a planned stop, under one absolute deadline.
class StopSchedule
{
public:
  /// Time before the end of the drain at which final answers are due, so that callers
  /// receive them: a share of the drain, and at most this long.
  static constexpr double kFinalAnswersShare = 0.125;
  static constexpr Duration kMaxFinalAnswersTime = std::chrono::seconds(1);

  /// @param aBegin time of the signal
  /// @param aDrainPeriod from the signal until what is left is cut off
  /// @param aRotationTime from the signal until the load balancer sends no more
  /// connections
  StopSchedule(TimePoint aBegin, Duration aDrainPeriod, Duration aRotationTime);

  /// Lets the drain end at this time, if it would end later.
  void Shorten(TimePoint aEnd);

  [[nodiscard]] StopPhase PhaseAt(TimePoint aNow) const;
  [[nodiscard]] TimePoint FinalAnswersAt() const { return this->finalAnswersAt; }
  [[nodiscard]] TimePoint End() const { return this->end; }

private:
  TimePoint rotationEnd;
  TimePoint finalAnswersAt;
  TimePoint end;
};

} // namespace toucanstand
