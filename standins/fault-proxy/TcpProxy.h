#pragma once

#include <cstdint>
#include <list>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <nlohmann/json_fwd.hpp>

#include "ProxyConnection.h"
#include "network/Endpoint.h"

namespace toucanstand {

/// One mapping: listens on one address and forwards to another, with faults.
class TcpProxy
{
public:
  /// Listens at once. @throws boost::system::system_error when the address is in use
  TcpProxy(boost::asio::io_context& aContext, Endpoint aListen, Endpoint aTarget);

  /// The address with the port in use.
  [[nodiscard]] Endpoint Local() const { return this->listen; }
  [[nodiscard]] const ProxyFaults& Faults() const { return *this->faults; }

  void SetFaults(const ProxyFaults& aFaults);

  /// Makes the connections that are open now silent for good; new ones work.
  void BlackholeOpen();

  [[nodiscard]] nlohmann::json Describe() const;

private:
  void Open();
  boost::asio::awaitable<void> Accept();
  void ForgetClosed();

  boost::asio::io_context& context;
  Endpoint listen;
  Endpoint target;
  std::shared_ptr<ProxyFaults> faults = std::make_shared<ProxyFaults>();
  /// Bound without listening, so that the port stays taken while connections are refused.
  boost::asio::ip::tcp::socket reservedPort;
  boost::asio::ip::tcp::acceptor acceptor;
  std::list<std::weak_ptr<ProxyConnection>> connections;
  std::uint64_t accepted = 0;
};

} // namespace toucanstand
