#include <catch2/catch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "http/HttpClient.h"
#include "http/HttpServer.h"

using namespace toucanstand;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/// Runs a coroutine and the loop until it ends.
void RunUntilDone(asio::io_context& aLoop, Task<> aTask)
{
  asio::co_spawn(aLoop, std::move(aTask), [&aLoop](std::exception_ptr aError) {
    aLoop.stop();
    if (aError) {
      std::rethrow_exception(aError);
    }
  });
  aLoop.run_for(20s);
}

Task<> Echo(HttpExchange& aExchange)
{
  const std::string target = aExchange.Request().target;
  if (target == "/broken") {
    co_await aExchange.BeginStream(200, HttpHeaders());
    co_await aExchange.WriteChunk("part");
    aExchange.BreakOff();
    co_return;
  }
  if (target == "/stream") {
    co_await aExchange.BeginStream(200, HttpHeaders());
    co_await aExchange.WriteChunk("one ");
    co_await aExchange.WriteChunk("two");
    co_await aExchange.FinishStream();
    co_return;
  }
  co_await aExchange.Respond(JsonResponse(200, aExchange.Request().body));
}

struct Fixture
{
  asio::io_context loop;
  MetricsRegistry metrics;
  HttpServerLimits limits;

  Result<HttpResponse, HttpFailure> Fetch(const std::string& aTarget, std::string aBody)
  {
    HttpServer server(this->loop, this->limits, Echo, this->metrics);
    const auto endpoint = *server.Listen({ "127.0.0.1", 0 });
    HttpClient client(this->loop, this->metrics);
    Result<HttpResponse, HttpFailure> result(HttpFailure::Cancelled);
    RunUntilDone(this->loop, [&]() -> Task<> {
      const HttpDeadlines deadlines;
      HttpRequest request;
      request.method = "POST";
      request.target = aTarget;
      request.body = aBody;
      result = co_await client.Fetch(endpoint, request, deadlines);
    }());
    server.Abort();
    return result;
  }

  /// Sends raw bytes and returns everything that comes back until the server closes.
  std::string Raw(const std::string& aBytes)
  {
    HttpServer server(this->loop, this->limits, Echo, this->metrics);
    const auto endpoint = *server.Listen({ "127.0.0.1", 0 });
    std::string reply;
    RunUntilDone(this->loop, [&]() -> Task<> {
      asio::ip::tcp::socket socket(this->loop);
      const asio::ip::tcp::endpoint remote(asio::ip::make_address(endpoint.address),
                                           endpoint.port);
      co_await socket.async_connect(remote, asio::use_awaitable);
      co_await asio::async_write(socket, asio::buffer(aBytes), asio::use_awaitable);
      boost::system::error_code error;
      co_await asio::async_read(socket,
                                asio::dynamic_buffer(reply),
                                asio::redirect_error(asio::use_awaitable, error));
    }());
    server.Abort();
    return reply;
  }
};

} // namespace

TEST_CASE("A whole and a streamed answer arrive complete", "[http]")
{
  Fixture fixture;
  const auto whole = fixture.Fetch("/", "body");
  REQUIRE(whole);
  CHECK(whole->body == "body");
  fixture.loop.restart();
  const auto streamed = fixture.Fetch("/stream", "");
  REQUIRE(streamed);
  CHECK(streamed->body == "one two");
}

TEST_CASE("A stream that is broken off is not taken for a complete answer", "[http]")
{
  // Guards against passing a part of an answer on as the whole.
  Fixture fixture;
  const auto result = fixture.Fetch("/broken", "");
  REQUIRE_FALSE(result);
  CHECK(result.LastReason() == HttpFailure::BrokenInBody);
}

TEST_CASE("Nothing listening is reported as nothing sent", "[http]")
{
  asio::io_context loop;
  MetricsRegistry metrics;
  HttpClient client(loop, metrics);
  // A port that was just free: bound without listening, so that connects are refused.
  asio::ip::tcp::acceptor holder(loop, asio::ip::tcp::v4());
  holder.bind({ asio::ip::make_address("127.0.0.1"), 0 });
  Result<HttpResponse, HttpFailure> result(HttpFailure::Malformed);
  const Endpoint endpoint{ "127.0.0.1", holder.local_endpoint().port() };
  const HttpRequest request;
  const HttpDeadlines deadlines;
  RunUntilDone(loop, [&]() -> Task<> {
    result = co_await client.Fetch(endpoint, request, deadlines);
  }());
  REQUIRE_FALSE(result);
  CHECK(NothingWasSent(result.LastReason()));
}

TEST_CASE("Malformed and oversized requests get a typed error and a counter", "[http]")
{
  Fixture fixture;
  fixture.limits.bodyBytes = 100;
  CHECK(fixture.Raw("NONSENSE\r\n\r\n").starts_with("HTTP/1.1 400"));
  fixture.loop.restart();
  const auto large =
    fixture.Raw("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n");
  CHECK(large.starts_with("HTTP/1.1 413"));
  CHECK(large.find("Toucanstand-Outcome: not-run") != std::string::npos);
  fixture.loop.restart();
  const auto headers =
    fixture.Raw("GET / HTTP/1.1\r\nX: " + std::string(40000, 'x') + "\r\n\r\n");
  CHECK(headers.starts_with("HTTP/1.1 431"));
  CHECK(fixture.metrics.CounterValue("http_rejected_total{type=\"body_too_large\"}") ==
        1);
}

TEST_CASE("A caller that leaves while its answer is made is noticed", "[http]")
{
  // Guards against work going on for a caller that has gone.
  asio::io_context loop;
  MetricsRegistry metrics;
  bool noticed = false;
  HttpServer server(
    loop,
    HttpServerLimits{},
    [&](HttpExchange& aExchange) -> Task<> {
      asio::steady_timer forever(loop, 30s);
      aExchange.OnCallerGone([&] {
        noticed = true;
        forever.cancel();
      });
      boost::system::error_code ignored;
      co_await forever.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
      loop.stop();
    },
    metrics);
  const auto endpoint = *server.Listen({ "127.0.0.1", 0 });
  asio::ip::tcp::socket socket(loop);
  socket.connect({ asio::ip::make_address(endpoint.address), endpoint.port });
  asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
  asio::post(loop, [&] { socket.close(); });
  loop.run_for(20s);
  CHECK(noticed);
}
