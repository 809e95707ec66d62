#include "support/ConnectionFront.h"

#include <array>
#include <string>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <linux/filter.h>
#include <sys/socket.h>

#include "http/ByteRelay.h"

namespace toucanstand {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kCopyBytes = 8192;

void Close(tcp::socket& aSocket)
{
  boost::system::error_code ignored;
  aSocket.close(ignored);
}

void Reset(tcp::socket& aSocket)
{
  boost::system::error_code ignored;
  aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
  Close(aSocket);
}

/// Passes requests on. Any end of the caller's bytes ends the server's connection.
Task<> PassRequests(tcp::socket& aCaller, tcp::socket& aServer)
{
  std::array<char, kCopyBytes> bytes{};
  while (true) {
    auto [readError, count] =
      co_await aCaller.async_read_some(asio::buffer(bytes), kAwait);
    if (readError) {
      break;
    }
    auto [writeError, written] =
      co_await asio::async_write(aServer, asio::buffer(bytes.data(), count), kAwait);
    if (writeError) {
      break;
    }
  }
  Close(aServer);
  Close(aCaller);
}

std::string HeadWithoutFraming(const http::response<http::buffer_body>& aResponse)
{
  std::string head =
    "HTTP/1.1 " + std::to_string(aResponse.result_int()) + " OK\r\nConnection: close\r\n";
  for (const auto& field : aResponse) {
    const bool isFraming = field.name() == http::field::transfer_encoding ||
                           field.name() == http::field::content_length ||
                           field.name() == http::field::connection;
    if (!isFraming) {
      head +=
        std::string(field.name_string()) + ": " + std::string(field.value()) + "\r\n";
    }
  }
  return head + "\r\n";
}

/// @returns true when the whole answer has been passed on
Task<bool> PassBody(tcp::socket& aServer,
                    beast::flat_buffer& aBuffer,
                    http::response_parser<http::buffer_body>& aParser,
                    tcp::socket& aCaller)
{
  std::array<char, kCopyBytes> bytes{};
  while (!aParser.is_done()) {
    aParser.get().body().data = bytes.data();
    aParser.get().body().size = bytes.size();
    auto [readError, used] =
      co_await http::async_read_some(aServer, aBuffer, aParser, kAwait);
    if (readError && readError != http::error::need_buffer) {
      co_return false;
    }
    const auto count = bytes.size() - aParser.get().body().size;
    auto [writeError, written] =
      co_await asio::async_write(aCaller, asio::buffer(bytes.data(), count), kAwait);
    if (writeError) {
      co_return false;
    }
  }
  co_return true;
}

Task<> PassAnswersWithoutFraming(tcp::socket& aServer, tcp::socket& aCaller)
{
  beast::flat_buffer buffer;
  while (true) {
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    auto [headError, used] =
      co_await http::async_read_header(aServer, buffer, parser, kAwait);
    if (headError) {
      Close(aCaller);
      co_return;
    }
    const bool isSigned = parser.get().count("X-Engine-Stamp") > 0;
    if (!isSigned) {
      // Unsigned answers, for example to orders, are short.
      http::response_parser<http::string_body> whole(std::move(parser));
      auto [bodyError, received] =
        co_await http::async_read(aServer, buffer, whole, kAwait);
      auto [writeError, written] =
        co_await http::async_write(aCaller, whole.get(), kAwait);
      if (bodyError || writeError) {
        Reset(aCaller);
        co_return;
      }
      continue;
    }
    const auto head = HeadWithoutFraming(parser.get());
    auto [writeError, written] =
      co_await asio::async_write(aCaller, asio::buffer(head), kAwait);
    const bool isWhole =
      !writeError && co_await PassBody(aServer, buffer, parser, aCaller);
    if (!isWhole) {
      Reset(aCaller);
      co_return;
    }
    boost::system::error_code ignored;
    aCaller.shutdown(tcp::socket::shutdown_send, ignored);
    co_return;
  }
}

} // namespace

ConnectionFront::ConnectionFront(asio::io_context& aLoop, const Endpoint& aServer)
  : loop(aLoop)
  , server(asio::ip::make_address(aServer.address), aServer.port)
  , acceptor(aLoop, { asio::ip::address_v4::loopback(), 0 })
{
  asio::co_spawn(this->loop, this->Accept(), asio::detached);
}

Endpoint ConnectionFront::Address() const
{
  return { "127.0.0.1", this->acceptor.local_endpoint().port() };
}

void ConnectionFront::DropAttempts(bool aDrop)
{
  // A filter that accepts no packet; it applies to the listener only.
  sock_filter none{ BPF_RET | BPF_K, 0, 0, 0 };
  const sock_fprog program{ 1, &none };
  ::setsockopt(this->acceptor.native_handle(),
               SOL_SOCKET,
               aDrop ? SO_ATTACH_FILTER : SO_DETACH_FILTER,
               &program,
               sizeof(program));
}

Task<> ConnectionFront::Accept()
{
  while (true) {
    auto [error, caller] = co_await this->acceptor.async_accept(kAwait);
    if (error) {
      co_return;
    }
    tcp::socket connection(this->loop);
    auto [connectError] = co_await connection.async_connect(this->server, kAwait);
    if (connectError) {
      Reset(caller);
      continue;
    }
    asio::co_spawn(this->loop,
                   Pass(std::move(caller), std::move(connection), this->removesFraming),
                   asio::detached);
  }
}

Task<> ConnectionFront::Pass(tcp::socket aCaller,
                             tcp::socket aServer,
                             bool aRemovesFraming)
{
  using namespace asio::experimental::awaitable_operators;
  if (!aRemovesFraming) {
    co_await RelayBytes(aCaller, aServer);
    co_return;
  }
  co_await (PassAnswersWithoutFraming(aServer, aCaller) &&
            PassRequests(aCaller, aServer));
}

} // namespace toucanstand
