#include "isolation/IsolationDetector.h"

#include <algorithm>
#include <array>
#include <utility>

#include <nlohmann/json.hpp>

namespace toucanstand {

const char* Name(IsolationPolicy aPolicy)
{
  return aPolicy == IsolationPolicy::Refuse ? "refuse" : "continue";
}

const char* Name(ServingState aState)
{
  constexpr std::array kNames = {
    "serving", "serving-isolated", "unsynchronized", "isolated"
  };
  return kNames.at(static_cast<std::size_t>(aState));
}

IsolationDetector::IsolationDetector(VmId aSelf, TimePoint aStart, Duration aTimeout)
  : self(std::move(aSelf))
  , start(aStart)
  , timeout(aTimeout)
{
}

void IsolationDetector::SetQuorum(EntryQuorum aQuorum)
{
  this->quorum = std::move(aQuorum);
  std::erase_if(this->peers, [this](const auto& aPeer) {
    return !this->quorum.Contains(aPeer.first);
  });
}

void IsolationDetector::SetPolicy(IsolationPolicy aPolicy)
{
  this->policy = aPolicy;
}

void IsolationDetector::SetRevision(std::int64_t aRevision)
{
  this->revision = std::max(this->revision, aRevision);
  this->PromoteIfInForce(this->store);
  for (auto& [vm, contact] : this->peers) {
    this->PromoteIfInForce(contact);
  }
  this->UpdateSynchronized();
}

void IsolationDetector::OnStoreAnswer(TimePoint aSentAt, std::int64_t aRevision)
{
  this->RecordContact(this->store, aSentAt, aRevision);
  this->UpdateSynchronized();
}

void IsolationDetector::OnPeerAnswer(const VmId& aVm,
                                     TimePoint aSentAt,
                                     std::int64_t aRevision,
                                     bool aSynchronized)
{
  if (!aSynchronized || aVm == this->self || !this->quorum.Contains(aVm)) {
    return;
  }
  this->RecordContact(this->peers[aVm], aSentAt, aRevision);
  this->UpdateSynchronized();
}

bool IsolationDetector::NeedsStoreRead(TimePoint aNow) const
{
  return !this->synchronized || !this->HasContactSince(aNow - this->timeout / 2);
}

ServingState IsolationDetector::State(TimePoint aNow) const
{
  if (this->synchronized && this->HasContactSince(aNow - this->timeout)) {
    return ServingState::Serving;
  }
  // The exception that sets this policy is part of the configuration, so a node without
  // a configuration must not use it.
  if (this->policy == IsolationPolicy::Continue && this->revision > 0) {
    return ServingState::ServingIsolated;
  }
  return this->synchronized ? ServingState::Isolated : ServingState::Unsynchronized;
}

bool IsolationDetector::MayServe(TimePoint aNow) const
{
  const auto state = this->State(aNow);
  return state == ServingState::Serving || state == ServingState::ServingIsolated;
}

nlohmann::json IsolationDetector::Describe(TimePoint aNow) const
{
  nlohmann::json description = { { "state", Name(this->State(aNow)) },
                                 { "policy", Name(this->policy) },
                                 { "synchronized", this->synchronized },
                                 { "entry_vms", this->quorum.Vms().size() },
                                 { "majority", this->quorum.Majority() },
                                 { "peers_in_contact",
                                   this->PeersInContactSince(aNow - this->timeout) } };
  if (this->store.upToDateAt) {
    description["store_age_ms"] = ToMilliseconds(aNow - *this->store.upToDateAt).count();
  }
  return description;
}

void IsolationDetector::RecordContact(Contact& aContact,
                                      TimePoint aSentAt,
                                      std::int64_t aRevision) const
{
  if (aRevision <= this->revision) {
    aContact.upToDateAt = std::max(aContact.upToDateAt.value_or(aSentAt), aSentAt);
    return;
  }
  if (!aContact.aheadAt || *aContact.aheadAt < aSentAt) {
    aContact.aheadAt = aSentAt;
    aContact.aheadRevision = aRevision;
  }
}

void IsolationDetector::PromoteIfInForce(Contact& aContact) const
{
  if (aContact.aheadAt && aContact.aheadRevision <= this->revision) {
    aContact.upToDateAt =
      std::max(aContact.upToDateAt.value_or(*aContact.aheadAt), *aContact.aheadAt);
    aContact.aheadAt.reset();
  }
}

void IsolationDetector::UpdateSynchronized()
{
  // This node does not count itself: before its restart it may have confirmed a revision
  // that it no longer knows.
  this->synchronized =
    this->synchronized || this->store.upToDateAt.has_value() ||
    (!this->quorum.Vms().empty() &&
     this->PeersInContactSince(this->start + this->timeout) >= this->quorum.Majority());
}

std::size_t IsolationDetector::PeersInContactSince(TimePoint aTime) const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(this->peers, [aTime](const auto& aPeer) {
      return aPeer.second.upToDateAt && *aPeer.second.upToDateAt >= aTime;
    }));
}

bool IsolationDetector::HasContactSince(TimePoint aSince) const
{
  if (this->store.upToDateAt && *this->store.upToDateAt >= aSince) {
    return true;
  }
  const std::size_t own = this->quorum.Contains(this->self) ? 1 : 0;
  return !this->quorum.Vms().empty() &&
         this->PeersInContactSince(aSince) + own >= this->quorum.Majority();
}

} // namespace toucanstand
