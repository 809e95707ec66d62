#include "acceptance/AcceptanceTracker.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace toucanstand {

const char* Name(AcceptanceState aState)
{
  return aState == AcceptanceState::Pending ? "pending" : "accepted";
}

AcceptanceTracker::AcceptanceTracker(Duration aConfirmationWindow)
  : confirmationWindow(aConfirmationWindow)
{
}

void AcceptanceTracker::SetQuorum(EntryQuorum aQuorum)
{
  this->quorum = std::move(aQuorum);
}

void AcceptanceTracker::TrackRevision(std::int64_t aRevision)
{
  if (aRevision <= this->revision) {
    return;
  }
  this->revision = aRevision;
  this->state = AcceptanceState::Pending;
  this->confirmations.clear();
}

void AcceptanceTracker::AddConfirmation(const VmId& aVm,
                                        TimePoint aAskedAt,
                                        std::int64_t aRevision)
{
  if (aRevision < this->revision || !this->quorum.Contains(aVm)) {
    return;
  }
  const auto [confirmation, isNew] = this->confirmations.emplace(aVm, aAskedAt);
  confirmation->second = std::max(confirmation->second, aAskedAt);
}

AcceptanceState AcceptanceTracker::Update(TimePoint aNow)
{
  const auto confirmed = this->quorum.Vms().size() - this->UnconfirmedVms(aNow).size();
  if (this->revision > 0 && !this->quorum.Vms().empty() &&
      confirmed >= this->quorum.Majority()) {
    this->state = AcceptanceState::Accepted;
  }
  return this->state;
}

std::vector<VmId> AcceptanceTracker::UnconfirmedVms(TimePoint aNow) const
{
  std::vector<VmId> missing;
  std::ranges::copy_if(
    this->quorum.Vms(), std::back_inserter(missing), [this, aNow](const VmId& aVm) {
      return !this->HasRecentConfirmation(aVm, aNow);
    });
  return missing;
}

nlohmann::json AcceptanceTracker::Describe(TimePoint aNow) const
{
  nlohmann::json missing = nlohmann::json::array();
  for (const auto& vm : this->UnconfirmedVms(aNow)) {
    missing.push_back(vm.Value());
  }
  return { { "revision", this->revision },
           { "state", Name(this->state) },
           { "entry_vms", this->quorum.Vms().size() },
           { "majority", this->quorum.Majority() },
           { "missing", std::move(missing) } };
}

bool AcceptanceTracker::HasRecentConfirmation(const VmId& aVm, TimePoint aNow) const
{
  const auto found = this->confirmations.find(aVm);
  return found != this->confirmations.end() &&
         found->second >= aNow - this->confirmationWindow;
}

} // namespace toucanstand
