#include "acceptance/Acceptance.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace toucanstand {

const char* Name(AcceptanceState aState)
{
  return aState == AcceptanceState::Pending ? "pending" : "accepted";
}

Acceptance::Acceptance(Duration aWindow)
  : window(aWindow)
{
}

void Acceptance::SetQuorum(EntryQuorum aQuorum)
{
  this->quorum = std::move(aQuorum);
}

void Acceptance::Begin(std::int64_t aRevision)
{
  if (aRevision <= this->revision) {
    return;
  }
  this->revision = aRevision;
  this->state = AcceptanceState::Pending;
  this->confirmations.clear();
}

void Acceptance::Confirm(const VmId& aVm, TimePoint aAskedAt, std::int64_t aRevision)
{
  if (aRevision < this->revision || !this->quorum.Contains(aVm)) {
    return;
  }
  const auto [entry, isNew] = this->confirmations.emplace(aVm, aAskedAt);
  entry->second = std::max(entry->second, aAskedAt);
}

AcceptanceState Acceptance::Update(TimePoint aNow)
{
  const auto confirmed = this->quorum.Vms().size() - this->Missing(aNow).size();
  if (this->revision > 0 && !this->quorum.Vms().empty() &&
      confirmed >= this->quorum.Majority()) {
    this->state = AcceptanceState::Accepted;
  }
  return this->state;
}

std::vector<VmId> Acceptance::Missing(TimePoint aNow) const
{
  std::vector<VmId> missing;
  std::ranges::copy_if(
    this->quorum.Vms(), std::back_inserter(missing), [this, aNow](const VmId& aVm) {
      return !this->HasConfirmed(aVm, aNow);
    });
  return missing;
}

nlohmann::json Acceptance::Describe(TimePoint aNow) const
{
  nlohmann::json missing = nlohmann::json::array();
  for (const auto& vm : this->Missing(aNow)) {
    missing.push_back(vm.Value());
  }
  return { { "revision", this->revision },
           { "state", Name(this->state) },
           { "entry_vms", this->quorum.Vms().size() },
           { "majority", this->quorum.Majority() },
           { "missing", std::move(missing) } };
}

bool Acceptance::HasConfirmed(const VmId& aVm, TimePoint aNow) const
{
  const auto found = this->confirmations.find(aVm);
  return found != this->confirmations.end() && found->second >= aNow - this->window;
}

} // namespace toucanstand
