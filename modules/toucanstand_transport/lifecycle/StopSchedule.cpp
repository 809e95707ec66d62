#include "lifecycle/StopSchedule.h"

#include <algorithm>
#include <array>

namespace toucanstand {

const char* Name(StopPhase aPhase)
{
  constexpr std::array kNames = {
    "serving", "leaving_rotation", "draining", "final_answers", "over"
  };
  return kNames.at(static_cast<std::size_t>(aPhase));
}

StopSchedule::StopSchedule(TimePoint aBegin,
                           Duration aDrainPeriod,
                           Duration aRotationTime)
  : rotationEnd(aBegin + aRotationTime)
  , end(aBegin + aDrainPeriod)
{
  const Duration share = FromSeconds(ToSeconds(aDrainPeriod) * kFinalAnswersShare);
  this->finalAnswersAt = this->end - std::min(share, kMaxFinalAnswersTime);
}

void StopSchedule::Shorten(TimePoint aEnd)
{
  this->end = std::min(this->end, aEnd);
  this->finalAnswersAt = std::min(this->finalAnswersAt, this->end);
}

bool StopSchedule::LeavesTimeFor(const ExpectedAnswer& aAnswer, TimePoint aNow) const
{
  const auto lastEnd = aAnswer.isStream ? this->end : this->finalAnswersAt;
  if (aAnswer.deadline <= lastEnd) {
    return true;
  }
  const bool isLeavingRotation = this->PhaseAt(aNow) == StopPhase::LeavingRotation;
  const double margin = isLeavingRotation ? 1.0 : kAnswerTimeMargin;
  return aAnswer.longest &&
         aNow + FromSeconds(ToSeconds(*aAnswer.longest) * margin) <= lastEnd;
}

StopPhase StopSchedule::PhaseAt(TimePoint aNow) const
{
  if (aNow >= this->end) {
    return StopPhase::Over;
  }
  if (aNow >= this->finalAnswersAt) {
    return StopPhase::FinalAnswers;
  }
  return aNow >= this->rotationEnd ? StopPhase::Draining : StopPhase::LeavingRotation;
}

} // namespace toucanstand
