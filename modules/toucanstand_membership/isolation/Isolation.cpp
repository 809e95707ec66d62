#include "isolation/Isolation.h"

#include <algorithm>
#include <array>
#include <utility>

#include <nlohmann/json.hpp>

namespace toucanstand {

const char* Name(IsolatedServing aPolicy)
{
  return aPolicy == IsolatedServing::Refuse ? "refuse" : "continue";
}

const char* Name(ServingState aState)
{
  constexpr std::array kNames = {
    "serving", "serving-isolated", "unsynchronized", "isolated"
  };
  return kNames.at(static_cast<std::size_t>(aState));
}

Isolation::Isolation(VmId aSelf, TimePoint aStart, Duration aLimit)
  : self(std::move(aSelf))
  , start(aStart)
  , limit(aLimit)
{
}

void Isolation::SetQuorum(EntryQuorum aQuorum)
{
  this->quorum = std::move(aQuorum);
  std::erase_if(this->peers, [this](const auto& aPeer) {
    return !this->quorum.Contains(aPeer.first);
  });
}

void Isolation::SetPolicy(IsolatedServing aPolicy)
{
  this->policy = aPolicy;
}

void Isolation::SetRevision(std::int64_t aRevision)
{
  this->revision = std::max(this->revision, aRevision);
  this->Promote(this->store);
  for (auto& [vm, contact] : this->peers) {
    this->Promote(contact);
  }
  this->Synchronize();
}

void Isolation::StoreAnswered(TimePoint aAskedAt, std::int64_t aRevision)
{
  this->Record(this->store, aAskedAt, aRevision);
  this->Synchronize();
}

void Isolation::PeerAnswered(const VmId& aVm,
                             TimePoint aAskedAt,
                             std::int64_t aRevision,
                             bool aSynchronized)
{
  if (!aSynchronized || aVm == this->self || !this->quorum.Contains(aVm)) {
    return;
  }
  this->Record(this->peers[aVm], aAskedAt, aRevision);
  this->Synchronize();
}

bool Isolation::NeedsStoreRead(TimePoint aNow) const
{
  return !this->synchronized || !this->HasContact(aNow - this->limit / 2);
}

ServingState Isolation::State(TimePoint aNow) const
{
  if (this->synchronized && this->HasContact(aNow - this->limit)) {
    return ServingState::Serving;
  }
  // Without a configuration there is nothing that the exception could have allowed.
  if (this->policy == IsolatedServing::Continue && this->revision > 0) {
    return ServingState::ServingIsolated;
  }
  return this->synchronized ? ServingState::Isolated : ServingState::Unsynchronized;
}

bool Isolation::MayServe(TimePoint aNow) const
{
  const auto state = this->State(aNow);
  return state == ServingState::Serving || state == ServingState::ServingIsolated;
}

nlohmann::json Isolation::Describe(TimePoint aNow) const
{
  nlohmann::json description = { { "state", Name(this->State(aNow)) },
                                 { "policy", Name(this->policy) },
                                 { "synchronized", this->synchronized },
                                 { "entry_vms", this->quorum.Vms().size() },
                                 { "majority", this->quorum.Majority() },
                                 { "peers_in_contact",
                                   this->PeersSince(aNow - this->limit) } };
  if (this->store.coveredAt) {
    description["store_age_ms"] = ToMilliseconds(aNow - *this->store.coveredAt).count();
  }
  return description;
}

void Isolation::Record(Contact& aContact,
                       TimePoint aAskedAt,
                       std::int64_t aRevision) const
{
  if (aRevision <= this->revision) {
    aContact.coveredAt = std::max(aContact.coveredAt.value_or(aAskedAt), aAskedAt);
    return;
  }
  if (!aContact.aheadAt || *aContact.aheadAt < aAskedAt) {
    aContact.aheadAt = aAskedAt;
    aContact.aheadRevision = aRevision;
  }
}

void Isolation::Promote(Contact& aContact) const
{
  if (aContact.aheadAt && aContact.aheadRevision <= this->revision) {
    aContact.coveredAt =
      std::max(aContact.coveredAt.value_or(*aContact.aheadAt), *aContact.aheadAt);
    aContact.aheadAt.reset();
  }
}

void Isolation::Synchronize()
{
  // The own vote does not count: it may have been given to a revision now forgotten.
  this->synchronized =
    this->synchronized || this->store.coveredAt.has_value() ||
    (!this->quorum.Vms().empty() &&
     this->PeersSince(this->start + this->limit) >= this->quorum.Majority());
}

std::size_t Isolation::PeersSince(TimePoint aTime) const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(this->peers, [aTime](const auto& aPeer) {
      return aPeer.second.coveredAt && *aPeer.second.coveredAt >= aTime;
    }));
}

bool Isolation::HasContact(TimePoint aSince) const
{
  if (this->store.coveredAt && *this->store.coveredAt >= aSince) {
    return true;
  }
  const std::size_t own = this->quorum.Contains(this->self) ? 1 : 0;
  return !this->quorum.Vms().empty() &&
         this->PeersSince(aSince) + own >= this->quorum.Majority();
}

} // namespace toucanstand
