#include "ProxyConnection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace toucanstand {

namespace asio = boost::asio;
using asio::use_awaitable;
using boost::system::error_code;
using WaitClock = asio::steady_timer::clock_type;

namespace {

constexpr std::size_t kReadBytes = 64UL * 1024;

// A direction with more delayed or held bytes stops reading, so that the sender's own
// flow control sets in.
constexpr std::size_t kMostQueuedBytes = 4UL * 1024 * 1024;

void ResetSocket(asio::ip::tcp::socket& aSocket)
{
  error_code ignored;
  aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
  aSocket.close(ignored);
}

} // namespace

ProxyConnection::ProxyConnection(Socket aClient,
                                 std::shared_ptr<const ProxyFaults> aFaults)
  : client(std::move(aClient))
  , target(this->client.get_executor())
  , faults(std::move(aFaults))
  , change(this->client.get_executor(), WaitClock::time_point::max())
{
  this->directions[0].from = &this->client;
  this->directions[0].to = &this->target;
  this->directions[0].cut = &ProxyFaults::cutToTarget;
  this->directions[1].from = &this->target;
  this->directions[1].to = &this->client;
  this->directions[1].cut = &ProxyFaults::cutToClient;
}

asio::awaitable<void> ProxyConnection::Run(asio::ip::tcp::endpoint aTarget)
{
  const auto self = this->shared_from_this();
  error_code error;
  co_await this->target.async_connect(aTarget,
                                      asio::redirect_error(use_awaitable, error));
  if (error || !this->client.is_open()) {
    this->Reset();
    co_return;
  }
  error_code ignored;
  this->client.set_option(asio::ip::tcp::no_delay(true), ignored);
  this->target.set_option(asio::ip::tcp::no_delay(true), ignored);
  const auto executor = this->client.get_executor();
  // Each loop holds the connection; the last one to end destroys it.
  const auto start = [&executor, self](auto aLoop, Direction& aDirection) {
    asio::co_spawn(
      executor,
      [self, aLoop, &aDirection]() { return (self.get()->*aLoop)(aDirection); },
      asio::detached);
  };
  for (auto& direction : this->directions) {
    start(&ProxyConnection::Read, direction);
    start(&ProxyConnection::Write, direction);
  }
}

void ProxyConnection::Blackhole()
{
  this->blackholed = true;
}

void ProxyConnection::Reset()
{
  ResetSocket(this->client);
  ResetSocket(this->target);
  this->change.cancel();
}

void ProxyConnection::FaultsChanged()
{
  this->change.cancel();
}

asio::awaitable<void> ProxyConnection::Read(Direction& aDirection)
{
  const auto self = this->shared_from_this();
  while (this->client.is_open()) {
    if (aDirection.queuedBytes > kMostQueuedBytes) {
      co_await this->WaitForChange();
      continue;
    }
    std::vector<char> bytes(kReadBytes);
    error_code error;
    const auto size = co_await aDirection.from->async_read_some(
      asio::buffer(bytes), asio::redirect_error(use_awaitable, error));
    if (error && error != asio::error::eof) {
      // A reset is passed on at once, unless the network would have lost it.
      if (!this->IsHeld(aDirection)) {
        this->Reset();
      }
      co_return;
    }
    bytes.resize(error ? 0 : size);
    aDirection.queuedBytes += bytes.size();
    aDirection.chunks.push_back(
      { WaitClock::now() + this->faults->delay, std::move(bytes) });
    this->change.cancel();
    if (error) {
      co_return;
    }
  }
}

asio::awaitable<void> ProxyConnection::Write(Direction& aDirection)
{
  const auto self = this->shared_from_this();
  while (this->client.is_open()) {
    if (aDirection.chunks.empty() || this->IsHeld(aDirection)) {
      co_await this->WaitForChange();
      continue;
    }
    const auto due = aDirection.chunks.front().due;
    if (due > WaitClock::now()) {
      asio::steady_timer timer(this->client.get_executor(), due);
      error_code ignored;
      co_await timer.async_wait(asio::redirect_error(use_awaitable, ignored));
      continue;
    }
    const auto chunk = std::move(aDirection.chunks.front());
    aDirection.chunks.pop_front();
    aDirection.queuedBytes -= chunk.bytes.size();
    error_code error;
    if (chunk.bytes.empty()) {
      aDirection.to->shutdown(Socket::shutdown_send, error);
      aDirection.to = nullptr;
      break;
    }
    co_await asio::async_write(*aDirection.to,
                               asio::buffer(chunk.bytes),
                               asio::redirect_error(use_awaitable, error));
    if (error) {
      this->Reset();
      co_return;
    }
    this->change.cancel();
  }
  const bool bothEnded =
    this->directions[0].to == nullptr && this->directions[1].to == nullptr;
  if (bothEnded) {
    this->Close();
  }
}

asio::awaitable<void> ProxyConnection::WaitForChange()
{
  error_code ignored;
  co_await this->change.async_wait(asio::redirect_error(use_awaitable, ignored));
}

bool ProxyConnection::IsHeld(const Direction& aDirection) const
{
  return this->blackholed || (*this->faults).*(aDirection.cut);
}

void ProxyConnection::Close()
{
  error_code ignored;
  this->client.close(ignored);
  this->target.close(ignored);
  this->change.cancel();
}

} // namespace toucanstand
