#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include "network/Endpoint.h"

namespace toucanstand {

/// Stands for another entry VM: sends and receives datagrams at an endpoint of its own.
class FakePeer
{
public:
  FakePeer();

  [[nodiscard]] Endpoint Address() const;
  void Send(const std::vector<std::uint8_t>& aBytes, const Endpoint& aTo);
  /// Returns the next datagram; nothing if none has arrived.
  std::optional<std::vector<std::uint8_t>> TakeDatagram();

private:
  boost::asio::io_context loop;
  boost::asio::ip::udp::socket socket;
};

} // namespace toucanstand
