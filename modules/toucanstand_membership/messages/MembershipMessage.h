#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "members/Member.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Subject of a notice.
enum class NoticeKind
{
  /// A quarantined request: no server may run it, because it crashed several. The key is
  /// its fingerprint in decimal.
  Quarantine,
  /// A leaving backend server, which must get no new work. The key is the server's id.
  LeavingServer,
};

/// Name of a kind in messages and state dumps.
[[nodiscard]] const char* Name(NoticeKind aKind);

/// A fact of limited lifetime that is distributed to all nodes.
struct Notice
{
  NoticeKind kind = NoticeKind::Quarantine;
  std::string key;
  /// Remaining lifetime; the receiver counts it from the receipt of the message.
  Duration remaining{};

  friend bool operator==(const Notice&, const Notice&) = default;
};

/// Part that all membership messages have in common.
struct MessageHeader
{
  Vm sender;
  Incarnation incarnation = 0;
  bool leaving = false;
  /// Configuration revision in force at the sender; 0 when it has none.
  std::int64_t revision = 0;
  /// Whether the sender's revision counts towards a majority.
  /// @see IsolationDetector::IsSynchronized
  bool synchronized = false;
  std::vector<MemberDelta> deltas;
  std::vector<Notice> notices;

  friend bool operator==(const MessageHeader&, const MessageHeader&) = default;
};

/// Asks the receiver for a ProbeAck.
struct Probe
{
  MessageHeader header;
  std::uint64_t sequence = 0;
  /// The sender has just started and requests the full list of members.
  bool join = false;

  friend bool operator==(const Probe&, const Probe&) = default;
};

/// Answers a Probe, or reports that the target of a ProbeRequest has answered.
struct ProbeAck
{
  MessageHeader header;
  /// Sequence number of the Probe or ProbeRequest that it answers.
  std::uint64_t sequence = 0;
  /// VM that answered: the sender, or the target of the ProbeRequest.
  VmId subject;

  friend bool operator==(const ProbeAck&, const ProbeAck&) = default;
};

/// Asks the receiver to probe the target and to report the answer by a ProbeAck.
struct ProbeRequest
{
  MessageHeader header;
  std::uint64_t sequence = 0;
  Vm target;

  friend bool operator==(const ProbeRequest&, const ProbeRequest&) = default;
};

using MembershipMessage = std::variant<Probe, ProbeAck, ProbeRequest>;

/// The header of any membership message.
[[nodiscard]] const MessageHeader& HeaderOf(const MembershipMessage& aMessage);

} // namespace toucanstand
