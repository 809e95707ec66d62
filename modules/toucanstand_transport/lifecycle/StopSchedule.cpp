#include "lifecycle/StopSchedule.h"

#include <algorithm>
#include <array>

namespace toucanstand {

const char* Name(StopPhase aPhase)
{
  constexpr std::array kNames = { "serving", "leaving_rotation", "draining",
                                  "closing", "final_answers",    "over" };
  return kNames.at(static_cast<std::size_t>(aPhase));
}

StopSchedule::StopSchedule(TimePoint aBegin,
                           Duration aDrainPeriod,
                           Duration aRotationTime)
  : begin(aBegin)
  , rotationEnd(aBegin + aRotationTime)
  , end(aBegin + aDrainPeriod)
{
  const double closingSeconds =
    std::min(ToSeconds(aDrainPeriod) * kClosingShare, ToSeconds(kMaxClosingTime));
  this->closingAt = this->end - FromSeconds(closingSeconds);
  this->finalAnswersAt = this->end - FromSeconds(closingSeconds * kFinalAnswersShare);
  const auto longPart = std::max(aDrainPeriod - kShortDrain, Duration::zero());
  this->reserve = std::min(FromSeconds(ToSeconds(longPart) * kReserveShare), kMaxReserve);
}

void StopSchedule::Shorten(TimePoint aNow, Duration aPeriod)
{
  this->end = std::min(this->end, aNow + aPeriod);
  this->closingAt = std::min(this->closingAt, aNow);
  this->finalAnswersAt =
    std::min(this->finalAnswersAt,
             this->end - FromSeconds(ToSeconds(aPeriod) * kFinalAnswersShare));
}

bool StopSchedule::LeavesTimeFor(const ExpectedAnswer& aAnswer, TimePoint aNow) const
{
  if (aAnswer.deadline <= this->finalAnswersAt) {
    return true;
  }
  const bool isUnknown = !aAnswer.byLatest && !aAnswer.byLargestSize;
  const auto timeLeft = this->finalAnswersAt - this->reserve - aNow;
  if (isUnknown || !Fits(aAnswer, timeLeft)) {
    return false;
  }
  if (this->PhaseAt(aNow) == StopPhase::LeavingRotation) {
    return true;
  }
  const auto longest = std::max(aAnswer.byLatest.value_or(Duration::zero()),
                                aAnswer.byLargestSize.value_or(Duration::zero()));
  return longest + this->MarginFor(longest, aNow) <= timeLeft;
}

Duration StopSchedule::MarginFor(Duration aExpected, TimePoint aNow) const
{
  const Duration margin = FromSeconds(ToSeconds(aExpected) * (kAnswerTimeMargin - 1));
  const bool isLate = aNow > this->rotationEnd + kArrivalTime;
  return isLate ? margin + kServerPause : margin;
}

bool StopSchedule::MayEndInTime(const ExpectedAnswer& aAnswer, TimePoint aNow) const
{
  return aAnswer.deadline <= this->finalAnswersAt ||
         Fits(aAnswer, this->finalAnswersAt - aNow);
}

bool StopSchedule::Fits(const ExpectedAnswer& aAnswer, Duration aTimeLeft)
{
  const auto expected = aAnswer.byLatest ? aAnswer.byLatest : aAnswer.byLargestSize;
  return !expected || *expected <= aTimeLeft;
}

StopPhase StopSchedule::PhaseAt(TimePoint aNow) const
{
  if (aNow >= this->end) {
    return StopPhase::Over;
  }
  if (aNow >= this->finalAnswersAt) {
    return StopPhase::FinalAnswers;
  }
  if (aNow >= this->closingAt) {
    return StopPhase::Closing;
  }
  return aNow >= this->rotationEnd ? StopPhase::Draining : StopPhase::LeavingRotation;
}

} // namespace toucanstand
