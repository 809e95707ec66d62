#pragma once

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "messages/MembershipMessage.h"
#include "network/Endpoint.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Send a message to another node.
struct SendMessage
{
  Endpoint to;
  MembershipMessage message;
};

/// A member appeared, changed its state or began to leave.
struct MemberChanged
{
  MemberDelta member;
};

/// A message arrived from a member.
struct PeerMessageReceived
{
  Vm peer;
  std::int64_t revision = 0;
  bool synchronized = false;
  /// Set when the message answers a probe of this node: when that probe was sent.
  std::optional<TimePoint> probeSentAt;
};

/// A notice was learned that was not known here.
struct NoticeReceived
{
  Notice notice;
};

using MembershipAction =
  std::variant<SendMessage, MemberChanged, PeerMessageReceived, NoticeReceived>;
using MembershipActions = std::vector<MembershipAction>;

} // namespace toucanstand
