#include "TcpProxy.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace toucanstand {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr auto kAcceptRetry = std::chrono::milliseconds(10);

tcp::endpoint ToAsio(const Endpoint& aEndpoint)
{
  return { asio::ip::make_address(aEndpoint.address), aEndpoint.port };
}

} // namespace

TcpProxy::TcpProxy(asio::io_context& aContext, Endpoint aListen, Endpoint aTarget)
  : context(aContext)
  , listen(std::move(aListen))
  , target(std::move(aTarget))
  , reservedPort(aContext)
  , acceptor(aContext)
{
  const auto endpoint = ToAsio(this->listen);
  this->reservedPort.open(endpoint.protocol());
  this->reservedPort.set_option(tcp::socket::reuse_address(true));
  this->reservedPort.bind(endpoint);
  this->listen.port = this->reservedPort.local_endpoint().port();
  this->Open();
}

void TcpProxy::SetFaults(const ProxyFaults& aFaults)
{
  const bool refusedBefore = this->faults->refuse;
  *this->faults = aFaults;
  if (aFaults.refuse && !refusedBefore) {
    this->acceptor.close();
  }
  if (!aFaults.refuse && refusedBefore) {
    this->Open();
  }
  for (const auto& weak : this->connections) {
    const auto connection = weak.lock();
    if (connection && aFaults.refuse) {
      connection->Reset();
    } else if (connection) {
      connection->FaultsChanged();
    }
  }
}

void TcpProxy::BlackholeOpen()
{
  for (const auto& weak : this->connections) {
    if (const auto connection = weak.lock()) {
      connection->Blackhole();
    }
  }
}

nlohmann::json TcpProxy::Describe() const
{
  std::uint64_t open = 0;
  std::uint64_t blackholed = 0;
  for (const auto& weak : this->connections) {
    const auto connection = weak.lock();
    if (connection && connection->IsOpen()) {
      ++open;
      blackholed += connection->IsBlackholed() ? 1 : 0;
    }
  }
  return { { "listen", this->listen.Text() },
           { "target", this->target.Text() },
           { "cut_to_target", this->faults->cutToTarget },
           { "cut_to_client", this->faults->cutToClient },
           { "refuse", this->faults->refuse },
           { "delay_ms", ToMilliseconds(this->faults->delay).count() },
           { "accepted", this->accepted },
           { "open", open },
           { "blackholed", blackholed } };
}

void TcpProxy::Open()
{
  const auto endpoint = ToAsio(this->listen);
  this->acceptor = tcp::acceptor(this->context, endpoint, true);
  asio::co_spawn(this->context, this->Accept(), asio::detached);
}

asio::awaitable<void> TcpProxy::Accept()
{
  while (this->acceptor.is_open()) {
    error_code error;
    auto socket = co_await this->acceptor.async_accept(
      asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      // For example out of descriptors, which a retry at once would not cure.
      asio::steady_timer timer(this->context, kAcceptRetry);
      co_await timer.async_wait(asio::use_awaitable);
      continue;
    }
    ++this->accepted;
    this->ForgetClosed();
    const auto connection =
      std::make_shared<ProxyConnection>(std::move(socket), this->faults);
    this->connections.push_back(connection);
    asio::co_spawn(this->context, connection->Run(ToAsio(this->target)), asio::detached);
  }
}

void TcpProxy::ForgetClosed()
{
  this->connections.remove_if([](const std::weak_ptr<ProxyConnection>& aConnection) {
    const auto connection = aConnection.lock();
    return !connection || !connection->IsOpen();
  });
}

} // namespace toucanstand
