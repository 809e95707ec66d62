#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "errors/Result.h"
#include "groups/ReplicaGroup.h"

namespace toucanstand {

/// Where a replica group is in its life.
enum class GroupState
{
  /// Members have been ordered into the group; not all of them report it yet.
  Forming,
  /// Every member reported the current generation.
  Serving,
  /// Takes no new work; changes once the work in flight has finished.
  Draining,
};

/// Name of a state in the record and in dumps.
[[nodiscard]] const char* Name(GroupState aState);

/// A replica group as the record holds it.
struct GroupEntry
{
  /// Members are in ascending order, so that a group derived from the members' own
  /// reports has the same first member.
  ReplicaGroup group;
  GroupState state = GroupState::Forming;
  /// Number of members that the formation asked for.
  std::size_t size = 0;

  friend bool operator==(const GroupEntry&, const GroupEntry&) = default;
};

/// A control order that tells a server to join its group at the group's generation. It
/// stays in the record until every member reports the group.
struct PendingOrder
{
  ServerId server;
  /// Store revision of the write in which the order first appeared; 0 in that write
  /// itself, because the revision is known only after it.
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
  /// Number of the write within that run. With the nonce it identifies the write, which
  /// settles a write whose reply was lost.
  std::uint64_t writeNumber = 0;
  /// Number of the next new group. Ids are never used again, so that a group id and a
  /// generation always mean the same members.
  std::uint64_t nextGroup = 1;
  std::vector<GroupEntry> groups;
  std::vector<PendingOrder> orders;

  /// The group with the id, or null.
  [[nodiscard]] const GroupEntry* Find(const GroupId& aGroup) const;

  /// The group that the server is a member of, or null.
  [[nodiscard]] const GroupEntry* GroupOf(const ServerId& aServer) const;

  /// Whether groups and orders are the same, whoever wrote them.
  [[nodiscard]] bool HasSameContent(const DomainRecord& aOther) const;
};

/// Why a record was rejected.
enum class RecordError
{
  TooLarge,
  /// Not JSON, or a key is missing, unknown, of another type or out of range.
  Malformed,
  UnsupportedVersion,
  /// The record belongs to another fabric domain than its key.
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

/// The first rule that the record breaks; nothing when it is consistent. R2 rests on it:
/// it passes only when no server is in two groups.
[[nodiscard]] std::optional<RecordError> FindRecordError(const DomainRecord& aRecord);

/// JSON text of the record.
[[nodiscard]] std::string FormatDomainRecord(const DomainRecord& aRecord);

/// Reads and checks the JSON text.
///
/// @param aRevision store revision of the value; becomes the fence of orders that the
///   value introduced. 0 leaves them without a fence.
[[nodiscard]] Result<DomainRecord, RecordError> ParseDomainRecord(
  const std::string& aText,
  std::int64_t aRevision);

/// Gives the orders that were introduced by a write the revision of that write.
void AssignFences(DomainRecord& aRecord, std::int64_t aRevision);

/// Groups that may take new work if their members report them: all but draining ones.
[[nodiscard]] std::vector<ReplicaGroup> GroupsOpenForWork(const DomainRecord& aRecord);

} // namespace toucanstand
