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
  const auto existing = this->observations.find(aObservation.server);
  // Two observers poll each server. This one does not send its observations while it
  // receives the same state from the other, which halves the traffic. Its own polls don't
  // extend that time: otherwise two observers whose observations crossed on the network
  // could each rely on the other, and neither would ever send again.
  const auto peerObserved = this->peerObservedAt.find(aObservation.server);
  const bool isDuplicate = existing != this->observations.end() &&
                           peerObserved != this->peerObservedAt.end() &&
                           HasSameState(existing->second, aObservation) &&
                           aNow - peerObserved->second < kDuplicateSuppressionTime;
  const bool changed = this->Record(aObservation);
  if (!isDuplicate) {
    this->peerObservedAt.erase(aObservation.server);
    this->unsent.insert(aObservation.server);
  }
  return changed;
}

bool ObservationTable::RecordPollFailure(const ServerId& aServer,
                                         PollFailure aFailure,
                                         TimePoint aNow)
{
  const auto existing = this->observations.find(aServer);
  const bool exists = existing != this->observations.end();
  if (exists && aFailure == PollFailure::NoAnswer && existing->second.reachable &&
      aNow - existing->second.observedAt < kReachableValidity) {
    return false;
  }
  Observation observation;
  if (exists) {
    observation = existing->second;
  }
  observation.server = aServer;
  observation.reachable = false;
  observation.observedAt = aNow;
  return this->RecordOwn(observation, aNow);
}

bool ObservationTable::RecordReceived(const Observation& aObservation)
{
  const auto existing = this->observations.find(aObservation.server);
  if (existing != this->observations.end() &&
      existing->second.observedAt >= aObservation.observedAt) {
    return false;
  }
  this->peerObservedAt[aObservation.server] = aObservation.observedAt;
  this->unsent.erase(aObservation.server);
  return this->Record(aObservation);
}

void ObservationTable::RetainOnly(const std::set<ServerId>& aServers)
{
  std::erase_if(this->observations,
                [&](const auto& aEntry) { return !aServers.contains(aEntry.first); });
  const auto isGone = [&](const ServerId& aServer) {
    return !aServers.contains(aServer);
  };
  std::erase_if(this->peerObservedAt,
                [&](const auto& aEntry) { return !aServers.contains(aEntry.first); });
  std::erase_if(this->unsent, isGone);
}

std::vector<Observation> ObservationTable::TakeUnsent()
{
  std::vector<Observation> unsentObservations;
  unsentObservations.reserve(this->unsent.size());
  for (const auto& server : this->unsent) {
    unsentObservations.push_back(this->observations.at(server));
  }
  this->unsent.clear();
  return unsentObservations;
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
