#include "support/RawServer.h"

#include <exception>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "http/SocketOptions.h"

namespace toucanstand {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
/// The kernel enlarges the buffer of a socket that does not set it, until it holds a
/// whole upload.
constexpr int kReceiveBufferBytes = 4096;
constexpr std::size_t kMostBodyBytes = 1024;

} // namespace

void RunUntilDone(asio::io_context& aLoop, Task<> aTask)
{
  asio::co_spawn(aLoop, std::move(aTask), [&aLoop](std::exception_ptr aError) {
    aLoop.stop();
    if (aError) {
      std::rethrow_exception(aError);
    }
  });
  aLoop.run_for(std::chrono::seconds(20));
}

RawServer::RawServer(asio::io_context& aLoop, RawAnswer aAnswer)
  : acceptor(aLoop)
  , answer(std::move(aAnswer))
{
  const tcp::endpoint any(asio::ip::address_v4::loopback(), 0);
  this->acceptor.open(any.protocol());
  this->acceptor.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
  this->acceptor.bind(any);
  this->acceptor.listen();
  asio::co_spawn(aLoop, this->Serve(), asio::detached);
}

Endpoint RawServer::Address() const
{
  return { "127.0.0.1", this->acceptor.local_endpoint().port() };
}

Task<> RawServer::Serve()
{
  auto [acceptError, socket] = co_await this->acceptor.async_accept(kAwait);
  if (acceptError) {
    co_return;
  }
  std::string request(16, '\0');
  co_await socket.async_read_some(asio::buffer(request), kAwait);
  asio::steady_timer timer(this->acceptor.get_executor());
  for (const auto& piece : this->answer.pieces) {
    co_await asio::async_write(socket, asio::buffer(piece), kAwait);
    timer.expires_after(kPieceInterval);
    co_await timer.async_wait(kAwait);
  }
  if (this->answer.end == RawAnswer::End::Reset) {
    SetResetOnClose(socket, true);
    co_return;
  }
  boost::system::error_code ignored;
  socket.shutdown(tcp::socket::shutdown_send, ignored);
  std::string rest;
  co_await asio::async_read(socket, asio::dynamic_buffer(rest), kAwait);
}

Result<HttpResponse, HttpFailure> FetchRaw(RawAnswer aAnswer,
                                           UnframedBody aUnframed,
                                           HttpRequest aRequest)
{
  asio::io_context loop;
  MetricsRegistry metrics;
  const RawServer server(loop, std::move(aAnswer));
  HttpClient client(loop, metrics, aUnframed);
  Result<HttpResponse, HttpFailure> result(HttpFailure::Cancelled);
  RunUntilDone(loop, [&]() -> Task<> {
    const HttpDeadlines deadlines;
    result = co_await client.Fetch(server.Address(),
                                   std::move(aRequest),
                                   deadlines,
                                   kMostBodyBytes,
                                   ConnectionUse::Single);
  }());
  return result;
}

} // namespace toucanstand
