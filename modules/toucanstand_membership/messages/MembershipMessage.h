#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "members/Member.h"
#include "time/BootClock.h"

namespace toucanstand {

/// What a notice is about.
enum class NoticeKind
{
  /// A quarantined request fingerprint (R24); the key is the fingerprint in decimal.
  Quarantine,
  /// A backend server that leaves (R6); the key is the server's id.
  LeavingServer,
};

/// Name of a kind in messages and dumps.
[[nodiscard]] const char* Name(NoticeKind aKind);

/// A fact with a lifetime that every node should know.
struct Notice
{
  NoticeKind kind = NoticeKind::Quarantine;
  std::string key;
  /// Time for which it still holds; the receiver counts from its own receipt.
  Duration remaining{};

  friend bool operator==(const Notice&, const Notice&) = default;
};

/// What every membership message carries.
struct MessageHeader
{
  Vm sender;
  Incarnation incarnation = 0;
  bool leaving = false;
  /// Configuration revision in force at the sender; 0 when it has none.
  std::int64_t revision = 0;
  /// Whether the sender's revision counts for a quorum. @see Isolation::IsSynchronized
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
  /// The sender has just started and asks for the whole list of members.
  bool join = false;

  friend bool operator==(const Probe&, const Probe&) = default;
};

/// Answers a Probe, or reports that the target of a ProbeRequest answered.
struct ProbeAck
{
  MessageHeader header;
  /// Sequence number of the Probe or ProbeRequest that it answers.
  std::uint64_t sequence = 0;
  /// Member that answered: the sender, or the target of the request.
  VmId subject;

  friend bool operator==(const ProbeAck&, const ProbeAck&) = default;
};

/// Asks the receiver to probe the target and to report its answer.
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
