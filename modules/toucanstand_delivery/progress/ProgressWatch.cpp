#include "progress/ProgressWatch.h"

#include <nlohmann/json.hpp>

namespace toucanstand {

ProgressWatch::ProgressWatch(ProgressLimits aLimits, TimePoint aNow)
  : limits(aLimits)
  , deadline(aNow + aLimits.first)
{
}

void ProgressWatch::OnProgress(TimePoint aNow)
{
  if (this->state == State::Judged) {
    return;
  }
  this->state = State::Watching;
  this->deadline = aNow + this->limits.between;
}

ProgressAction ProgressWatch::OnTime(TimePoint aNow)
{
  if (this->state == State::Judged || aNow < this->deadline) {
    return ProgressAction::None;
  }
  if (this->state == State::Probing) {
    return this->OnProbeResult(false);
  }
  this->state = State::Probing;
  this->deadline = aNow + this->limits.probe;
  return ProgressAction::Probe;
}

ProgressAction ProgressWatch::OnProbeResult(bool aAnswered)
{
  if (this->state != State::Probing) {
    return ProgressAction::None;
  }
  this->state = State::Judged;
  return aAnswered ? ProgressAction::CloseConnection : ProgressAction::SuspectServer;
}

TimePoint ProgressWatch::NextCheck() const
{
  return this->state == State::Judged ? TimePoint::max() : this->deadline;
}

nlohmann::json ProgressWatch::Describe() const
{
  return { { "probing", this->state == State::Probing },
           { "judged", this->state == State::Judged } };
}

} // namespace toucanstand
