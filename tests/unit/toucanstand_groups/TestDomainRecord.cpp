#include <catch2/catch.hpp>

#include "records/DomainRecord.h"

using namespace toucanstand;

namespace {

GroupEntry Entry(const std::string& aId, std::vector<ServerId> aMembers)
{
  GroupEntry entry;
  entry.group.id = GroupId(aId);
  entry.group.generation = 3;
  entry.group.pool = PoolId("p");
  entry.group.domain = DomainId("d");
  entry.size = aMembers.size();
  entry.group.members = std::move(aMembers);
  return entry;
}

DomainRecord ValidRecord()
{
  DomainRecord record;
  record.domain = DomainId("d");
  record.controller = "c";
  record.groups = { Entry("d-1", { ServerId("a"), ServerId("b") }),
                    Entry("d-2", { ServerId("c"), ServerId("d") }) };
  record.groups[1].state = GroupState::Serving;
  record.orders = { { ServerId("a"), 4 }, { ServerId("b"), 0 } };
  return record;
}

} // namespace

TEST_CASE("A record round-trips through JSON, and new orders get the revision as fence",
          "[groups]")
{
  // Guards against a fencing token that is too low, so that engines reject the order as
  // stale.
  const auto parsed = ParseDomainRecord(FormatDomainRecord(ValidRecord()), 9);
  REQUIRE(parsed);
  CHECK(parsed->groups == ValidRecord().groups);
  CHECK(parsed->orders[0].fence == 4);
  CHECK(parsed->orders[1].fence == 9);
}

TEST_CASE("Each inconsistency of a record is rejected with its reason", "[groups]")
{
  // Guards against a record in which a server is a member of two groups, or from which
  // orders can't be sent.
  using Change = void (*)(DomainRecord&);
  const std::vector<std::pair<RecordError, Change>> changes = {
    { RecordError::ServerInTwoGroups,
      [](auto& aRecord) { aRecord.groups[1].group.members[0] = ServerId("b"); } },
    { RecordError::ServerInTwoGroups,
      [](auto& aRecord) { aRecord.groups[0].group.members[1] = ServerId("a"); } },
    { RecordError::DuplicateGroup,
      [](auto& aRecord) { aRecord.groups[1].group.id = GroupId("d-1"); } },
    { RecordError::GenerationNotPositive,
      [](auto& aRecord) { aRecord.groups[0].group.generation = 0; } },
    { RecordError::SizeMismatch, [](auto& aRecord) { aRecord.groups[0].size = 3; } },
    { RecordError::MembersNotSorted,
      [](auto& aRecord) {
        std::swap(aRecord.groups[1].group.members[0], aRecord.groups[1].group.members[1]);
      } },
    { RecordError::OrderMismatch, [](auto& aRecord) { aRecord.orders.pop_back(); } },
    { RecordError::OrderMismatch,
      [](auto& aRecord) { aRecord.groups[0].state = GroupState::Serving; } },
  };
  for (const auto& [error, change] : changes) {
    INFO(Name(error));
    auto record = ValidRecord();
    change(record);
    CHECK(FindRecordError(record) == error);
    CHECK(ParseDomainRecord(FormatDomainRecord(record), 1).LastReason() == error);
  }
}

TEST_CASE("Malformed, unknown and oversized records are rejected as a whole", "[groups]")
{
  // Guards against reading the record of a later version partly and then overwriting it.
  auto text = FormatDomainRecord(ValidRecord());
  const auto reasonOf = [](const std::string& aText) {
    return ParseDomainRecord(aText, 1).LastReason();
  };
  CHECK(reasonOf("[]") == RecordError::Malformed);
  CHECK(reasonOf(text.substr(0, text.size() - 1) + R"(,"surplus":1})") ==
        RecordError::Malformed);
  CHECK(reasonOf(std::string(DomainRecord::kMaximumBytes + 1, ' ')) ==
        RecordError::TooLarge);
  text.replace(text.find("\"version\":1"), 11, "\"version\":2");
  CHECK(reasonOf(text) == RecordError::UnsupportedVersion);
}
