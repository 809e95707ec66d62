#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "groups/ReplicaGroup.h"
#include "identifiers/Identifiers.h"
#include "network/Endpoint.h"

namespace toucanstand {

/// What an engine is told to do.
enum class OrderKind
{
  /// Become a member of a group, loading the model's weights if needed.
  Join,
  /// The head of a complete group starts to serve.
  Open,
  /// The head finishes its work and takes no more.
  Close,
  /// Leave the group at once.
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
  /// By rank; for Join.
  std::vector<ServerId> members;
  /// Engines reject an order with a lower number than one that they have seen.
  std::int64_t fence = 0;
};

/// What became of an order.
enum class EngineOrderReply
{
  /// The engine carries it out.
  Begun,
  /// The engine's state is already the ordered one.
  Done,
  /// It does not fit the engine's state.
  WrongState,
  /// A higher fence or generation was seen.
  Outdated,
  /// Another server has the address.
  WrongServer,
  /// The engine does not know such an order.
  Rejected,
  /// Nothing listens at the address: the engine has ended.
  ConnectionRefused,
  /// It may have been carried out, or may be later.
  Unknown,
};

/// Name of a reply for logs and metrics.
[[nodiscard]] const char* Name(EngineOrderReply aReply);

} // namespace toucanstand
