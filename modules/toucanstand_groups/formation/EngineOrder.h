#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "groups/ReplicaGroup.h"
#include "identifiers/Identifiers.h"
#include "network/Endpoint.h"

namespace toucanstand {

/// Kinds of control order for an engine. The head of a group is its member with rank 0.
enum class OrderKind
{
  /// Become a member of a group, loading the model's weights if necessary.
  Join,
  /// Accept requests; sent to the head of a complete group.
  Open,
  /// Finish the requests in flight and accept no new ones; sent to the head.
  Close,
  /// Leave the group immediately.
  Leave,
  /// Load a model's weights onto the host.
  Stage,
};

/// Name of a kind for logs and metrics.
[[nodiscard]] const char* Name(OrderKind aKind);

/// An order to one engine.
struct EngineOrder
{
  ServerId server;
  Endpoint endpoint;
  OrderKind kind = OrderKind::Join;
  GroupId group;
  Generation generation = 0;
  std::string model;
  /// Members in order of rank; only for Join.
  std::vector<ServerId> members;
  /// Fencing token: engines reject an order whose token is lower than one they have seen,
  /// so that an order that is delayed has no effect after a later one.
  std::int64_t fence = 0;
};

/// Result of an order.
enum class EngineOrderReply
{
  /// The engine has accepted the order and is executing it.
  Begun,
  /// The engine is in the ordered state.
  Done,
  /// The order is not valid in the engine's present state.
  WrongState,
  /// The engine has seen a higher fencing token or generation.
  Outdated,
  /// A different server listens at the address.
  WrongServer,
  /// The engine does not support the order.
  Rejected,
  /// Nothing listens at the address: the engine process has ended.
  ConnectionRefused,
  /// No reply: the order may have been executed, or may still be executed later.
  Unknown,
};

/// Name of a reply for logs and metrics.
[[nodiscard]] const char* Name(EngineOrderReply aReply);

} // namespace toucanstand
