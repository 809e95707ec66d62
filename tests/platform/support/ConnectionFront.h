#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "http/Task.h"
#include "network/Endpoint.h"

namespace toucanstand {

/// Accepts connections in place of a stand-in server and passes them on to it.
class ConnectionFront
{
public:
  ConnectionFront(boost::asio::io_context& aLoop, const Endpoint& aServer);
  ConnectionFront(const ConnectionFront&) = delete;
  ConnectionFront& operator=(const ConnectionFront&) = delete;

  [[nodiscard]] Endpoint Address() const;

  /// Lets attempts to connect go without a reply, as in a partition. Connections that are
  /// open stay usable.
  void DropAttempts(bool aDrop);

  /// Signed answers have neither a length nor chunks and end with their connection.
  /// Applies to new connections.
  bool removesFraming = false;

private:
  Task<> Accept();
  static Task<> Pass(boost::asio::ip::tcp::socket aCaller,
                     boost::asio::ip::tcp::socket aServer,
                     bool aRemovesFraming);

  boost::asio::io_context& loop;
  boost::asio::ip::tcp::endpoint server;
  boost::asio::ip::tcp::acceptor acceptor;
};

} // namespace toucanstand
