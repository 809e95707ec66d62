#include "ReservedPorts.h"

#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace toucanstand {

using boost::asio::ip::tcp;

struct ReservedPorts::Sockets
{
  boost::asio::io_context loop;
  std::vector<tcp::acceptor> bound;
};

ReservedPorts::ReservedPorts()
  : sockets(std::make_unique<Sockets>())
{
}

ReservedPorts::~ReservedPorts() = default;

Endpoint ReservedPorts::Reserve()
{
  tcp::acceptor acceptor(this->sockets->loop, tcp::v4());
  acceptor.set_option(tcp::acceptor::reuse_address(true));
  acceptor.bind({ boost::asio::ip::make_address("127.0.0.1"), 0 });
  const auto port = acceptor.local_endpoint().port();
  this->sockets->bound.push_back(std::move(acceptor));
  return { "127.0.0.1", port };
}

} // namespace toucanstand
