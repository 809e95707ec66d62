#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "groups/ReplicaGroup.h"
#include "machines/BackendServer.h"
#include "observation/Observation.h"
#include "time/BootClock.h"

namespace toucanstand {

// Events. The request id of a reply is that of the action that it answers.

/// This controller acquired the domain's lease.
struct LeaseGained
{};

/// The lease expired or was revoked.
struct LeaseLost
{};

/// Reply to ReadRecord.
struct RecordReadReply
{
  std::uint64_t requestId = 0;
  /// False when the request failed or timed out.
  bool answered = false;
  /// Store revision of the value; 0 when the key does not exist.
  std::int64_t revision = 0;
  std::string text;
};

enum class WriteOutcome
{
  Committed,
  /// The record's revision is not the expected one.
  Conflict,
  /// No reply: the write may have been applied, or may still be applied later.
  Unknown,
};

/// Reply to WriteRecord.
struct WriteReply
{
  std::uint64_t requestId = 0;
  WriteOutcome outcome = WriteOutcome::Unknown;
  /// Store revision of the new value when committed.
  std::int64_t revision = 0;
};

/// The servers of the domain and their latest observations. Replaces the previous list of
/// servers; an observation older than the one already held is ignored.
struct ObservationsChanged
{
  std::vector<BackendServer> servers;
  std::vector<Observation> observations;
};

enum class OrderOutcome
{
  Accepted,
  /// The server has already accepted an order with a higher fencing token.
  Stale,
  Refused,
  /// No reply: the order may have been applied, or may still be applied later.
  Unknown,
};

/// Reply to SendOrder.
struct OrderReply
{
  ServerId server;
  std::int64_t fence = 0;
  OrderOutcome outcome = OrderOutcome::Unknown;
};

/// Periodic timer event, expected several times per second.
struct Tick
{};

using ControllerEvent = std::variant<LeaseGained,
                                     LeaseLost,
                                     RecordReadReply,
                                     WriteReply,
                                     ObservationsChanged,
                                     OrderReply,
                                     Tick>;

// Actions.

/// Read the domain's record.
struct ReadRecord
{
  std::uint64_t requestId = 0;
};

/// Compare-and-swap of the domain's record: writes only if its revision is
/// `expectedRevision`; 0 requires that the record does not exist.
struct WriteRecord
{
  std::uint64_t requestId = 0;
  std::int64_t expectedRevision = 0;
  std::string text;
};

/// Order a server to join a group.
struct SendOrder
{
  ServerId server;
  std::int64_t fence = 0;
  /// The group, generation and members to join.
  ReplicaGroup group;
  /// Deadline of the request: it must be aborted then, so that the order can't be applied
  /// later.
  TimePoint expiresAt{};
};

/// Release the lease, so that another controller can acquire it.
struct ReleaseLease
{};

using ControllerAction = std::variant<ReadRecord, WriteRecord, SendOrder, ReleaseLease>;

} // namespace toucanstand
