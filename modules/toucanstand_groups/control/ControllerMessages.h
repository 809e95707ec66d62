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

// Events. A ticket is the one of the action that the event answers.

/// This controller acquired the domain's lease.
struct LeaseGained
{};

/// The lease expired or was taken away.
struct LeaseLost
{};

/// Reply to ReadRecord.
struct RecordReadReply
{
  std::uint64_t requestId = 0;
  /// False when the store gave no answer.
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
  /// No reply: the write may have taken effect, or may still do so.
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

/// The servers of the domain and what was last observed of them. Replaces the list of
/// servers; older observations of a server are ignored.
struct ObservationsChanged
{
  std::vector<BackendServer> servers;
  std::vector<Observation> observations;
};

enum class OrderOutcome
{
  Accepted,
  /// The server has taken an order with a higher fencing number.
  Stale,
  Refused,
  /// No reply: the order may have taken effect, or may still do so.
  Unknown,
};

/// Reply to SendOrder.
struct OrderReply
{
  ServerId server;
  std::int64_t fence = 0;
  OrderOutcome outcome = OrderOutcome::Unknown;
};

/// Time has passed. Expected several times per second.
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

/// Write the domain's record if it still has the revision; 0 means if it does not exist.
struct WriteRecord
{
  std::uint64_t requestId = 0;
  std::int64_t expectedRevision = 0;
  std::string text;
};

/// Send a control order to a server.
struct SendOrder
{
  ServerId server;
  std::int64_t fence = 0;
  /// The group, generation and members to join.
  ReplicaGroup group;
  /// The exchange must be given up at this time, so that no order takes effect later.
  TimePoint expiresAt{};
};

/// Give the lease back, so that another controller can try.
struct ReleaseLease
{};

using ControllerAction = std::variant<ReadRecord, WriteRecord, SendOrder, ReleaseLease>;

} // namespace toucanstand
