#include "records/DomainRecord.h"

#include <algorithm>
#include <array>
#include <functional>
#include <set>
#include <unordered_set>
#include <utility>

#include <nlohmann/json.hpp>

#include "settings/SettingsReader.h"

namespace toucanstand {

namespace {

constexpr std::array<std::pair<GroupState, const char*>, 3> kStateNames = {
  { { GroupState::Forming, "forming" },
    { GroupState::Serving, "serving" },
    { GroupState::Draining, "draining" } }
};

GroupState ParseState(const std::string& aName)
{
  const auto found = std::ranges::find(
    kStateNames, aName, [](const auto& aPair) { return std::string(aPair.second); });
  return found == kStateNames.end() ? GroupState::Forming : found->first;
}

std::string ReadId(SettingsReader& aReader, std::string_view aKey)
{
  std::string id = aReader.Text(aKey);
  if (id.empty() || id.size() > DomainRecord::kMaximumIdLength) {
    aReader.Reject(aKey, SettingsRule::InRange, "1 to 128 characters");
  }
  return id;
}

GroupEntry ReadGroup(SettingsReader& aReader, const DomainId& aDomain)
{
  GroupEntry entry;
  entry.group.id = GroupId(ReadId(aReader, "id"));
  entry.group.generation =
    static_cast<Generation>(aReader.Whole("generation", 0, INT64_MAX));
  entry.group.pool = PoolId(ReadId(aReader, "pool"));
  entry.group.domain = aDomain;
  entry.state = ParseState(aReader.Choice("state", { "forming", "serving", "draining" }));
  entry.size =
    static_cast<std::size_t>(aReader.Whole("size", 1, DomainRecord::kMaximumMembers));
  for (auto& member : aReader.TextList("members")) {
    if (member.empty() || member.size() > DomainRecord::kMaximumIdLength) {
      aReader.Reject("members", SettingsRule::InRange, "ids of 1 to 128 characters");
    }
    entry.group.members.emplace_back(std::move(member));
  }
  return entry;
}

/// Whether two items of the range have the same projected value.
template<typename Range, typename Projection>
bool HasDuplicates(const Range& aRange, Projection aProjection)
{
  std::unordered_set<std::string> seen;
  return !std::ranges::all_of(aRange, [&seen, &aProjection](const auto& aItem) {
    return seen.insert(std::invoke(aProjection, aItem).Value()).second;
  });
}

std::optional<RecordError> CheckGroup(const GroupEntry& aEntry)
{
  if (aEntry.group.generation == 0) {
    return RecordError::GenerationNotPositive;
  }
  if (aEntry.group.members.empty() || aEntry.group.members.size() != aEntry.size ||
      aEntry.size > DomainRecord::kMaximumMembers) {
    return RecordError::SizeMismatch;
  }
  if (!std::ranges::is_sorted(aEntry.group.members)) {
    return RecordError::MembersNotSorted;
  }
  return std::nullopt;
}

} // namespace

const char* Name(GroupState aState)
{
  return std::ranges::find(
           kStateNames, aState, &std::pair<GroupState, const char*>::first)
    ->second;
}

const char* Name(RecordError aError)
{
  // In the order of the enumeration. DuplicateGroup is reported as "group-twice".
  constexpr std::array kNames = { "too-large",
                                  "malformed",
                                  "unsupported-version",
                                  "wrong-domain",
                                  "group-twice",
                                  "server-in-two-groups",
                                  "generation-not-positive",
                                  "size-mismatch",
                                  "members-not-sorted",
                                  "order-mismatch" };
  return kNames.at(static_cast<std::size_t>(aError));
}

const GroupEntry* DomainRecord::Find(const GroupId& aGroup) const
{
  const auto found = std::ranges::find(
    this->groups, aGroup, [](const auto& aEntry) { return aEntry.group.id; });
  return found == this->groups.end() ? nullptr : &*found;
}

const GroupEntry* DomainRecord::GroupOf(const ServerId& aServer) const
{
  const auto found = std::ranges::find_if(this->groups, [&aServer](const auto& aEntry) {
    return std::ranges::binary_search(aEntry.group.members, aServer);
  });
  return found == this->groups.end() ? nullptr : &*found;
}

bool DomainRecord::HasSameContent(const DomainRecord& aOther) const
{
  return this->groups == aOther.groups && this->orders == aOther.orders;
}

std::optional<RecordError> FindRecordError(const DomainRecord& aRecord)
{
  if (HasDuplicates(aRecord.groups, [](const auto& aEntry) { return aEntry.group.id; })) {
    return RecordError::DuplicateGroup;
  }
  std::vector<ServerId> members;
  std::vector<ServerId> forming;
  for (const auto& entry : aRecord.groups) {
    if (const auto error = CheckGroup(entry)) {
      return error;
    }
    const auto& added = entry.group.members;
    members.insert(members.end(), added.begin(), added.end());
    if (entry.state == GroupState::Forming) {
      forming.insert(forming.end(), added.begin(), added.end());
    }
  }
  if (HasDuplicates(members, std::identity{})) {
    return RecordError::ServerInTwoGroups;
  }
  std::vector<ServerId> ordered;
  std::ranges::transform(
    aRecord.orders, std::back_inserter(ordered), &PendingOrder::server);
  std::ranges::sort(forming);
  std::ranges::sort(ordered);
  if (forming != ordered) {
    return RecordError::OrderMismatch;
  }
  return std::nullopt;
}

std::string FormatDomainRecord(const DomainRecord& aRecord)
{
  nlohmann::json document = {
    { "version", DomainRecord::kVersion }, { "domain", aRecord.domain.Value() },
    { "controller", aRecord.controller },  { "write", aRecord.writeNumber },
    { "next_group", aRecord.nextGroup },   { "groups", nlohmann::json::array() },
    { "orders", nlohmann::json::array() }
  };
  for (const auto& entry : aRecord.groups) {
    auto members = nlohmann::json::array();
    for (const auto& member : entry.group.members) {
      members.push_back(member.Value());
    }
    document["groups"].push_back({ { "id", entry.group.id.Value() },
                                   { "generation", entry.group.generation },
                                   { "pool", entry.group.pool.Value() },
                                   { "state", Name(entry.state) },
                                   { "size", entry.size },
                                   { "members", std::move(members) } });
  }
  for (const auto& order : aRecord.orders) {
    document["orders"].push_back(
      { { "server", order.server.Value() }, { "fence", order.fence } });
  }
  return document.dump();
}

Result<DomainRecord, RecordError> ParseDomainRecord(const std::string& aText,
                                                    std::int64_t aRevision)
{
  if (aText.size() > DomainRecord::kMaximumBytes) {
    return RecordError::TooLarge;
  }
  const auto document = nlohmann::json::parse(aText, nullptr, false);
  if (document.is_discarded() || !document.is_object()) {
    return RecordError::Malformed;
  }
  SettingsReader reader(document);
  // The version is checked before the other keys, because another version may have
  // different ones.
  const auto version = reader.Whole("version", 1, INT64_MAX);
  if (reader.Errors().empty() && version != DomainRecord::kVersion) {
    return RecordError::UnsupportedVersion;
  }
  DomainRecord record;
  record.domain = DomainId(ReadId(reader, "domain"));
  record.controller = ReadId(reader, "controller");
  record.writeNumber = static_cast<std::uint64_t>(reader.Whole("write", 0, INT64_MAX));
  record.nextGroup = static_cast<std::uint64_t>(reader.Whole("next_group", 1, INT64_MAX));
  reader.ObjectList("groups", [&record](SettingsReader& aGroup) {
    record.groups.push_back(ReadGroup(aGroup, record.domain));
  });
  reader.ObjectList("orders", [&record](SettingsReader& aOrder) {
    record.orders.push_back(
      { ServerId(ReadId(aOrder, "server")), aOrder.Whole("fence", 0, INT64_MAX) });
  });
  reader.Finish();
  if (!reader.Errors().empty() || record.groups.size() > DomainRecord::kMaximumGroups) {
    return RecordError::Malformed;
  }
  if (const auto error = FindRecordError(record)) {
    return *error;
  }
  AssignFences(record, aRevision);
  return record;
}

void AssignFences(DomainRecord& aRecord, std::int64_t aRevision)
{
  for (auto& order : aRecord.orders) {
    order.fence = order.fence == 0 ? aRevision : order.fence;
  }
}

std::vector<ReplicaGroup> GroupsOpenForWork(const DomainRecord& aRecord)
{
  std::vector<ReplicaGroup> groups;
  for (const auto& entry : aRecord.groups) {
    if (entry.state != GroupState::Draining) {
      groups.push_back(entry.group);
    }
  }
  return groups;
}

} // namespace toucanstand
