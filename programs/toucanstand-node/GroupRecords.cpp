#include "GroupRecords.h"

#include "permission/ServingPermission.h"

namespace toucanstand {

bool GroupRecords::Offer(const DomainId& aDomain,
                         const std::string& aText,
                         std::int64_t aRevision)
{
  const auto held = this->copies.find(aDomain);
  if (held != this->copies.end() && held->second.revision >= aRevision) {
    return false;
  }
  const auto record = ParseDomainRecord(aText, aRevision);
  if (!record || record->domain != aDomain) {
    return false;
  }
  this->copies[aDomain] = { aText, aRevision };
  this->groups[aDomain] = GroupsOpenForWork(*record);
  return true;
}

std::map<ServerId, std::string> GroupRecords::GroupOf() const
{
  std::map<ServerId, std::string> groupOf;
  for (const auto& [domain, list] : this->groups) {
    for (const auto& group : list) {
      for (const auto& member : group.members) {
        groupOf.emplace(member, group.id.Value());
      }
    }
  }
  return groupOf;
}

std::vector<Candidate> GroupRecords::Candidates(
  const std::map<ServerId, Observation>& aObservations,
  const PlatformList& aList,
  TimePoint aNow) const
{
  std::vector<ReplicaGroup> known;
  for (const auto& [domain, list] : this->groups) {
    known.insert(known.end(), list.begin(), list.end());
  }
  return PermittedCandidates(
    DeriveGroups(known, aObservations, aList), aObservations, aList, aNow);
}

} // namespace toucanstand
