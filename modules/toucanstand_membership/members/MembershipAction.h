#pragma once

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "messages/MembershipMessage.h"
#include "network/Endpoint.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Requests that the message is sent to another node.
struct SendMessage
{
  Endpoint to;
  MembershipMessage message;
};

/// Reports that a member was added, changed its state or started to leave.
struct MemberChanged
{
  MemberDelta member;
};

/// Reports that a message was received from another node, with the configuration revision
/// in force at that node.
struct PeerMessageReceived
{
  Vm peer;
  std::int64_t revision = 0;
  bool synchronized = false;
  /// When the probe was sent that this message answers directly; empty otherwise.
  std::optional<TimePoint> probeSentAt;
};

/// Reports that another node sent a notice that is new, or that extends a known one.
struct NoticeReceived
{
  Notice notice;
};

using MembershipAction =
  std::variant<SendMessage, MemberChanged, PeerMessageReceived, NoticeReceived>;
using MembershipActions = std::vector<MembershipAction>;

} // namespace toucanstand
