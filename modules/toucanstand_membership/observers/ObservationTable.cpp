#include "observers/ObservationTable.h"

namespace toucanstand {

namespace {

bool HasSameState(const Observation& aLeft, const Observation& aRight)
{
  return aLeft.reachable == aRight.reachable && aLeft.group == aRight.group &&
         aLeft.generation == aRight.generation && aLeft.leaving == aRight.leaving;
}

} // namespace

bool ObservationTable::RecordOwn(const Observation& aObservation, TimePoint aNow)
{
  const auto held = this->observations.find(aObservation.server);
  // Two observers poll each server. The second one stays silent while the first one's
  // observations arrive and say the same, which halves the traffic. Own polls do not
  // count as arrivals: each observer may take the other for the first one, and both
  // would then stay silent for good.
  const auto received = this->receivedAt.find(aObservation.server);
  const bool isKnown =
    held != this->observations.end() && received != this->receivedAt.end() &&
    HasSameState(held->second, aObservation) && aNow - received->second < kRepeatAfter;
  const bool changed = this->Record(aObservation);
  if (!isKnown) {
    this->receivedAt.erase(aObservation.server);
    this->unspread.insert(aObservation.server);
  }
  return changed;
}

bool ObservationTable::RecordFailure(const ServerId& aServer,
                                     PollFailure aFailure,
                                     TimePoint aNow)
{
  const auto held = this->observations.find(aServer);
  const bool known = held != this->observations.end();
  if (known && aFailure == PollFailure::NoAnswer && held->second.reachable &&
      aNow - held->second.observedAt < kReportPrecedence) {
    return false;
  }
  Observation observation;
  if (known) {
    observation = held->second;
  }
  observation.server = aServer;
  observation.reachable = false;
  observation.observedAt = aNow;
  return this->RecordOwn(observation, aNow);
}

bool ObservationTable::RecordReceived(const Observation& aObservation)
{
  const auto held = this->observations.find(aObservation.server);
  if (held != this->observations.end() &&
      held->second.observedAt >= aObservation.observedAt) {
    return false;
  }
  this->receivedAt[aObservation.server] = aObservation.observedAt;
  this->unspread.erase(aObservation.server);
  return this->Record(aObservation);
}

void ObservationTable::Retain(const std::set<ServerId>& aServers)
{
  std::erase_if(this->observations,
                [&](const auto& aEntry) { return !aServers.contains(aEntry.first); });
  const auto isGone = [&](const ServerId& aServer) {
    return !aServers.contains(aServer);
  };
  std::erase_if(this->receivedAt,
                [&](const auto& aEntry) { return !aServers.contains(aEntry.first); });
  std::erase_if(this->unspread, isGone);
}

std::vector<Observation> ObservationTable::TakeSpread()
{
  std::vector<Observation> spread;
  spread.reserve(this->unspread.size());
  for (const auto& server : this->unspread) {
    spread.push_back(this->observations.at(server));
  }
  this->unspread.clear();
  return spread;
}

bool ObservationTable::Record(const Observation& aObservation)
{
  const auto [entry, isNew] =
    this->observations.emplace(aObservation.server, aObservation);
  const bool changed = isNew || !HasSameState(entry->second, aObservation);
  entry->second = aObservation;
  return changed;
}

} // namespace toucanstand
