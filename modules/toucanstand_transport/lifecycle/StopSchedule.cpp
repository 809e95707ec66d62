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
