#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "ServingState.h"
#include "http/HttpExchange.h"

namespace toucanstand {

/// Connects other entry VMs to backend servers that they do not reach themselves. Carries
/// bytes only: the VM that asked decides about the request and its repetition.
class TunnelService
{
public:
  /// Tunnels beyond this number are rejected, so that peers can't take the memory and
  /// connections that this VM needs for its own callers.
  static constexpr std::size_t kMaxTunnels = 128;
  /// Like a connection for a caller of this VM; see CallSender::kConnectTimeout.
  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(200);

  explicit TunnelService(ServingState& aState);

  /// Serves a request for a tunnel until the tunnel ends.
  Task<> Serve(HttpExchange& aExchange);

  /// Accepts no further tunnels; those in use end with their requests.
  void Drain() { this->draining = true; }

  [[nodiscard]] std::size_t TunnelCount() const { return this->tunnelCount; }

private:
  struct Rejection
  {
    int status = 503;
    const char* reason = "";
  };

  [[nodiscard]] std::optional<Rejection> Check(const std::optional<Endpoint>& aServer);
  /// Null if no server is registered with the endpoint.
  [[nodiscard]] const ServerEntry* FindServer(const Endpoint& aEndpoint) const;
  /// @returns the failure; nothing if the socket is connected
  Task<std::optional<HttpFailure>> Connect(boost::asio::ip::tcp::socket& aSocket,
                                           Endpoint aServer);

  ServingState& state;
  std::size_t tunnelCount = 0;
  bool draining = false;
};

} // namespace toucanstand
