#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "errors/Result.h"
#include "groups/ReplicaGroup.h"

namespace toucanstand {

/// State of a replica group in the record.
enum class GroupState
{
  /// The members have orders to join the group; not all of them report it yet.
  Forming,
  /// Every member has reported the current generation.
  Serving,
  /// Takes no new work; is re-formed or removed once the work in flight has finished.
  Draining,
};

/// Name of a state in the record and in dumps.
[[nodiscard]] const char* Name(GroupState aState);

/// A replica group as stored in the record.
struct GroupEntry
{
  /// Members are sorted in ascending order, so that a group derived from the members' own
  /// reports has the same first member.
  ReplicaGroup group;
  GroupState state = GroupState::Forming;
  /// Number of members required when the group was formed.
  std::size_t size = 0;

  friend bool operator==(const GroupEntry&, const GroupEntry&) = default;
};

/// A control order that tells a server to join its group at the group's generation. It
/// stays in the record until every member reports the group.
struct PendingOrder
{
  ServerId server;
  /// Fencing token: the store revision of the write that introduced the order. It is 0 in
  /// that write itself, because its revision is known only afterwards.
  std::int64_t fence = 0;

  friend bool operator==(const PendingOrder&, const PendingOrder&) = default;
};

/// All replica groups of one fabric domain: the value of one store key, so that one
/// compare-and-swap covers every change of membership.
struct DomainRecord
{
  static constexpr std::int64_t kVersion = 1;
  /// The platform's store rejects larger values.
  static constexpr std::size_t kMaximumBytes = 1'000'000;
  static constexpr std::size_t kMaximumGroups = 4096;
  static constexpr std::size_t kMaximumMembers = 256;
  static constexpr std::size_t kMaximumIdLength = 128;

  DomainId domain;
  /// Nonce of the controller run that wrote the record.
  std::string controller;
  /// Sequence number of the write within that run. Together with the nonce it identifies
  /// the write, so that a read can show whether a write whose reply was lost was
  /// committed.
  std::uint64_t writeNumber = 0;
  /// Number of the next new group. Ids are never reused, so that a group id and a
  /// generation always identify the same members.
  std::uint64_t nextGroup = 1;
  std::vector<GroupEntry> groups;
  std::vector<PendingOrder> orders;

  /// The group with the id, or null.
  [[nodiscard]] const GroupEntry* Find(const GroupId& aGroup) const;

  /// The group that the server is a member of, or null.
  [[nodiscard]] const GroupEntry* GroupOf(const ServerId& aServer) const;

  /// Whether groups and orders are equal; the writer is not compared.
  [[nodiscard]] bool HasSameContent(const DomainRecord& aOther) const;
};

/// Why a record was rejected.
enum class RecordError
{
  TooLarge,
  /// Not JSON, or a key is missing, unknown, of another type or out of range.
  Malformed,
  UnsupportedVersion,
  /// The record names another fabric domain than its key.
  WrongDomain,
  DuplicateGroup,
  ServerInTwoGroups,
  GenerationNotPositive,
  SizeMismatch,
  MembersNotSorted,
  /// A forming group lacks an order for a member, or an order belongs to no forming
  /// group.
  OrderMismatch,
};

[[nodiscard]] const char* Name(RecordError aError);

/// Returns the first consistency rule that the record violates, or nothing when it is
/// consistent. In a consistent record no server is a member of two groups.
[[nodiscard]] std::optional<RecordError> FindRecordError(const DomainRecord& aRecord);

/// Serializes the record to JSON.
[[nodiscard]] std::string FormatDomainRecord(const DomainRecord& aRecord);

/// Parses and validates the JSON text of a record.
///
/// @param aRevision store revision of the value; becomes the fencing token of the orders
///   that the value introduced. 0 leaves them without a token.
[[nodiscard]] Result<DomainRecord, RecordError> ParseDomainRecord(
  const std::string& aText,
  std::int64_t aRevision);

/// Sets the fencing token of each order that has none to the revision of the write.
void AssignFences(DomainRecord& aRecord, std::int64_t aRevision);

/// Groups that may take new work if their members report them: all except draining ones.
[[nodiscard]] std::vector<ReplicaGroup> GroupsOpenForWork(const DomainRecord& aRecord);

} // namespace toucanstand
