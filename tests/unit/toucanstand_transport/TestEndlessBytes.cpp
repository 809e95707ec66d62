#include <chrono>
#include <string>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "http/HttpClient.h"
#include "http/HttpServer.h"

using namespace toucanstand;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

// Peers that send bytes without end, or a byte now and then, instead of a message.

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
/// What the kernel may hold of a connection on loopback, and the program's own bounds. A
/// small VM has 160 MB.
constexpr std::size_t kMostTaken = 24U << 20U;
constexpr std::size_t kMostSent = 192U << 20U;

/// Sends a beginning and then a filler again and again until the other side closes.
Task<std::size_t> Flood(tcp::socket& aSocket, std::string aBeginning, std::string aFiller)
{
  std::string block;
  while (block.size() < (64U << 10U)) {
    block += aFiller;
  }
  std::size_t sent = 0;
  auto [error, first] =
    co_await asio::async_write(aSocket, asio::buffer(aBeginning), kAwait);
  sent += first;
  while (!error && sent < kMostSent) {
    auto [blockError, bytes] =
      co_await asio::async_write(aSocket, asio::buffer(block), kAwait);
    error = blockError;
    sent += bytes;
  }
  co_return sent;
}

/// A server whose every answer never ends.
class EndlessServer
{
public:
  EndlessServer(asio::io_context& aLoop,
                std::string aBeginning,
                std::string aFiller,
                std::chrono::milliseconds aPause)
    : acceptor(aLoop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    , beginning(std::move(aBeginning))
    , filler(std::move(aFiller))
    , pause(aPause)
  {
    asio::co_spawn(aLoop, this->Serve(), asio::detached);
  }

  [[nodiscard]] Endpoint Address() const
  {
    return { "127.0.0.1", this->acceptor.local_endpoint().port() };
  }

  std::size_t sent = 0;
  bool closedByClient = false;

private:
  Task<> Serve()
  {
    auto [error, socket] = co_await this->acceptor.async_accept(kAwait);
    if (error) {
      co_return;
    }
    if (this->pause == 0ms) {
      this->sent = co_await Flood(socket, this->beginning, this->filler);
    } else {
      co_await this->Trickle(socket);
    }
    this->closedByClient = true;
  }

  Task<> Trickle(tcp::socket& aSocket)
  {
    auto [error, first] =
      co_await asio::async_write(aSocket, asio::buffer(this->beginning), kAwait);
    asio::steady_timer timer(this->acceptor.get_executor());
    while (!error) {
      timer.expires_after(this->pause);
      co_await timer.async_wait(kAwait);
      auto [writeError, bytes] =
        co_await asio::async_write(aSocket, asio::buffer(this->filler), kAwait);
      error = writeError;
      this->sent += bytes;
    }
  }

  tcp::acceptor acceptor;
  std::string beginning;
  std::string filler;
  std::chrono::milliseconds pause;
};

struct Received
{
  bool succeeded = false;
  std::size_t sent = 0;
  bool closedByClient = false;
  Duration took{ 0 };
};

Received FetchFrom(const std::string& aBeginning,
                   const std::string& aFiller,
                   std::chrono::milliseconds aPause = 0ms,
                   std::size_t aMostBytes = 1U << 20U)
{
  asio::io_context loop;
  MetricsRegistry metrics;
  EndlessServer server(loop, aBeginning, aFiller, aPause);
  HttpClient client(loop, metrics, UnframedBody::EndsWithConnection);
  Received received;
  const auto startedAt = BootClock::now();
  asio::co_spawn(
    loop,
    [&]() -> Task<> {
      HttpDeadlines deadlines;
      deadlines.head = 2s;
      deadlines.progress = 2s;
      deadlines.body = 2s;
      HttpRequest request;
      request.method = "GET";
      request.target = "/";
      const auto answer = co_await client.Fetch(server.Address(),
                                                std::move(request),
                                                deadlines,
                                                aMostBytes,
                                                ConnectionUse::Single);
      received.succeeded = answer.HasValue();
      received.took = BootClock::now() - startedAt;
    },
    asio::detached);
  loop.run_for(8s);
  received.sent = server.sent;
  received.closedByClient = server.closedByClient;
  return received;
}

} // namespace

TEST_CASE("An answer without end costs bounded memory and time", "[http]")
{
  // Guards against a faulty server that fills the memory of its caller: a size line, an
  // extension of a chunk or trailers that never end, beside heads and bodies.
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const auto [beginning, filler] = GENERATE_COPY(table<std::string, std::string>(
    { { "", "x" },
      { "HTTP/1.1 200 ", "x" },
      { "HTTP/1.1 200 OK\r\n", "Name: value\r\n" },
      { "HTTP/1.1 200 OK\r\nName: ", "x" },
      { "HTTP/1.1 200 OK\r\n\r\n", "x" },
      { "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "x" },
      { "", "HTTP/1.1 100 Continue\r\n\r\n" },
      { chunked, "5\r\nhello\r\n" },
      { chunked, "0" },
      { chunked + "5;name=", "x" },
      { chunked + "5\r\nhello\r\n0;name=", "x" },
      { chunked + "5\r\nhello\r\n0\r\n", "Name: value\r\n" } }));
  INFO("beginning " << beginning << ", then " << filler);
  const auto received = FetchFrom(beginning, filler);
  CHECK(received.closedByClient);
  CHECK(received.sent <= kMostTaken);
  CHECK(received.took < 5s);
}

TEST_CASE("A body whose bytes are always ready ends at its deadline", "[http]")
{
  // Guards against a deadline that is checked only while the client waits for bytes.
  const auto received = FetchFrom("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                                  "5\r\nhello\r\n",
                                  0ms,
                                  kMostSent);
  CHECK(received.closedByClient);
  CHECK_FALSE(received.succeeded);
  CHECK(received.sent < kMostSent);
  CHECK(received.took >= 2s);
  CHECK(received.took < 5s);
}

TEST_CASE("An answer that comes a byte now and then ends in time", "[http]")
{
  // Guards against waits without end: each byte began the time for the next one anew.
  const auto [beginning, filler] = GENERATE(table<std::string, std::string>(
    { { "HTTP/1.1 200 OK\r\nName: ", "x" },
      { "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n", "x" } }));
  INFO("beginning " << beginning << ", then " << filler);
  const auto received = FetchFrom(beginning, filler, 300ms);
  CHECK(received.closedByClient);
  CHECK_FALSE(received.succeeded);
  CHECK(received.took < 5s);
}

TEST_CASE("A request without end costs bounded memory", "[http]")
{
  // Guards against callers that fill the memory of a small VM.
  const std::string chunked =
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
  const auto [beginning, filler] = GENERATE_COPY(table<std::string, std::string>(
    { { "GET /", "x" },
      { "GET / HTTP/1.1\r\nName: ", "x" },
      { chunked, "5\r\nhello\r\n" },
      { chunked, "0" },
      { chunked + "5;name=", "x" },
      { chunked + "5\r\nhello\r\n0\r\n", "Name: value\r\n" } }));
  INFO("beginning " << beginning << ", then " << filler);
  asio::io_context loop;
  MetricsRegistry metrics;
  HttpServer server(
    loop,
    HttpServerLimits{},
    [](HttpExchange& aExchange) -> Task<> {
      co_await aExchange.Respond(JsonResponse(200, "{}"));
    },
    metrics);
  const auto endpoint = *server.Listen({ "127.0.0.1", 0 });
  std::size_t sent = 0;
  bool closed = false;
  asio::co_spawn(
    loop,
    [&]() -> Task<> {
      tcp::socket socket(loop);
      const tcp::endpoint remote(asio::ip::make_address(endpoint.address), endpoint.port);
      co_await socket.async_connect(remote, kAwait);
      sent = co_await Flood(socket, beginning, filler);
      closed = sent < kMostSent;
      server.Abort();
      loop.stop();
    },
    asio::detached);
  loop.run_for(8s);
  CHECK(closed);
  CHECK(sent <= kMostTaken);
}
