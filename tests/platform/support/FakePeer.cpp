#include "support/FakePeer.h"

#include <boost/asio/buffer.hpp>

#include "serialization/Datagram.h"

namespace toucanstand {

namespace asio = boost::asio;
using asio::ip::udp;

FakePeer::FakePeer()
  : socket(this->loop, udp::endpoint(asio::ip::address_v4::loopback(), 0))
{
  this->socket.non_blocking(true);
}

Endpoint FakePeer::Address() const
{
  const auto local = this->socket.local_endpoint();
  return { local.address().to_string(), local.port() };
}

void FakePeer::Send(const std::vector<std::uint8_t>& aBytes, const Endpoint& aTo)
{
  this->socket.send_to(asio::buffer(aBytes),
                       { asio::ip::make_address(aTo.address), aTo.port });
}

std::optional<std::vector<std::uint8_t>> FakePeer::TakeDatagram()
{
  std::vector<std::uint8_t> bytes(kMostDatagramBytes);
  boost::system::error_code error;
  bytes.resize(this->socket.receive(asio::buffer(bytes), 0, error));
  return error ? std::nullopt : std::optional(std::move(bytes));
}

} // namespace toucanstand
