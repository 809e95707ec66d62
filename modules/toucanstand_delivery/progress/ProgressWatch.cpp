#include "progress/ProgressWatch.h"

#include <nlohmann/json.hpp>

namespace toucanstand {

ProgressWatch::ProgressWatch(ProgressTimeouts aLimits, TimePoint aNow)
  : limits(aLimits)
  , deadline(aNow + aLimits.firstEvent)
{
}

void ProgressWatch::OnProgress(TimePoint aNow)
{
  if (this->state == State::Decided) {
    return;
  }
  this->state = State::Watching;
  this->deadline = aNow + this->limits.betweenEvents;
}

ProgressAction ProgressWatch::OnTime(TimePoint aNow)
{
  if (this->state == State::Decided || aNow < this->deadline) {
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
  this->state = State::Decided;
  return aAnswered ? ProgressAction::CloseConnection : ProgressAction::SuspectServer;
}

TimePoint ProgressWatch::NextCheck() const
{
  return this->state == State::Decided ? TimePoint::max() : this->deadline;
}

nlohmann::json ProgressWatch::Describe() const
{
  return { { "probing", this->state == State::Probing },
           { "judged", this->state == State::Decided } };
}

} // namespace toucanstand
