#pragma once

#include "identifiers/Identifiers.h"
#include "network/Endpoint.h"

namespace toucanstand {

/// Whether a backend server rejects a control order with an old fencing number.
enum class FencingSupport
{
  Checked,
  Ignored,
};

/// What a backend server does.
enum class ServerKind
{
  /// A member of a replica group of a model.
  Engine,
  /// An instance of a plain service; serves alone.
  Service,
};

/// One backend server as the platform's list describes it.
struct BackendServer
{
  ServerId id;
  PoolId pool;
  ZoneId zone;
  DomainId domain;
  Endpoint endpoint;
  ServerKind kind = ServerKind::Engine;
  FencingSupport fencing = FencingSupport::Ignored;
  /// Once true it stays true for this server.
  bool leaving = false;

  friend bool operator==(const BackendServer&, const BackendServer&) = default;
};

} // namespace toucanstand
