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
struct PeerHeard
{
  Vm peer;
  std::int64_t revision = 0;
  bool synchronized = false;
  /// Set when the message answers a probe of this node: when that probe was sent.
  std::optional<TimePoint> askedAt;
};

/// A notice was learned that was not known here.
struct NoticeLearned
{
  Notice notice;
};

using MembershipAction =
  std::variant<SendMessage, MemberChanged, PeerHeard, NoticeLearned>;
using MembershipActions = std::vector<MembershipAction>;

} // namespace toucanstand
