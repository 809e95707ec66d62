#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "errors/Result.h"
#include "http/HttpServer.h"
#include "metrics/MetricsRegistry.h"
#include "network/Endpoint.h"

namespace toucanstand {

/// One message between processes of the system.
struct Message
{
  /// What the body is, for example `probe`.
  std::string type;
  /// Where the sender receives messages.
  Endpoint from;
  /// Echoed in a reply; 0 when none is expected.
  std::uint64_t correlation = 0;
  nlohmann::json body;
};

/// Sends and receives messages over nng push/pull sockets, one push socket for each
/// destination so that a slow one delays nobody else.
///
/// Sending never waits: what can't be queued is dropped and counted. Messages that are
/// oversized, malformed or of another version are counted and ignored.
///
/// A destroyed port sends and delivers nothing more, but its endpoint stays in use until
/// the process ends.
class MessagePort
{
public:
  using Listener = std::function<void(const Message&)>;

  /// @param aMetrics must outlive the port.
  MessagePort(boost::asio::io_context& aLoop, MetricsRegistry& aMetrics);
  ~MessagePort();
  MessagePort(const MessagePort&) = delete;
  MessagePort& operator=(const MessagePort&) = delete;

  /// Starts to receive. Port 0 picks a free one. @returns the endpoint listened on,
  /// which becomes the `from` of sent messages.
  Result<Endpoint, ListenFailure> Listen(const Endpoint& aEndpoint, Listener aListener);

  /// Sets the `from` of sent messages, where it differs from the endpoint listened on.
  void Advertise(Endpoint aEndpoint);

  void Send(const Endpoint& aTo,
            const std::string& aType,
            const nlohmann::json& aBody,
            std::uint64_t aCorrelation = 0);

  /// Replaces the connection to a destination, for one that went silent.
  void Reconnect(const Endpoint& aTo);

  /// Endpoint listened on.
  [[nodiscard]] const Endpoint& Address() const;

private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

} // namespace toucanstand
