#include <catch2/catch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "http/HttpClient.h"
#include "http/HttpServer.h"
#include "support/RawServer.h"

using namespace toucanstand;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

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

TEST_CASE("An answer to HEAD has the head of the whole answer and no body", "[http]")
{
  // Guards against a body that the caller takes for the next answer on the connection.
  Fixture fixture;
  const auto reply = fixture.Raw("HEAD / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
                                 "Connection: close\r\n\r\nbody");
  CHECK(reply.find("Content-Length: 4") != std::string::npos);
  CHECK(reply.ends_with("\r\n\r\n"));
}

TEST_CASE("A request without exactly one Host field is rejected", "[http]")
{
  // RFC 9112, section 3.2.
  Fixture fixture;
  CHECK(fixture.Raw("GET / HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 400"));
  fixture.loop.restart();
  CHECK(fixture.Raw("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n")
          .starts_with("HTTP/1.1 400"));
}

TEST_CASE("A request whose body has no known end is rejected", "[http]")
{
  // Guards against a request that is hidden in the body of another one, RFC 9112, section
  // 6.3: without chunked as its last transfer coding the body has no known end.
  const std::string coding = GENERATE("gzip", "identity", "chunked, gzip", "");
  Fixture fixture;
  const auto reply =
    fixture.Raw("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: " + coding +
                "\r\n\r\n"
                "POST /hidden HTTP/1.1\r\nHost: a\r\n"
                "Content-Length: 6\r\n\r\nhidden");
  CHECK(reply.starts_with("HTTP/1.1 400"));
  CHECK(reply.find("Toucanstand-Outcome: not-run") != std::string::npos);
  CHECK(reply.find("HTTP/1.1", 1) == std::string::npos);
}

TEST_CASE("A kept connection obeys the limits in force when its request comes", "[http]")
{
  // Guards against a proper request that is rejected for the limits of an earlier
  // configuration, and against one beyond the limits that is let in.
  const std::size_t before = GENERATE(100U, 1000U);
  const std::size_t after = 1100U - before;
  Fixture fixture;
  fixture.limits.bodyBytes = before;
  HttpServer server(fixture.loop, fixture.limits, Echo, fixture.metrics);
  const auto endpoint = *server.Listen({ "127.0.0.1", 0 });
  std::string reply;
  RunUntilDone(fixture.loop, [&]() -> Task<> {
    asio::ip::tcp::socket socket(fixture.loop);
    const asio::ip::tcp::endpoint remote(asio::ip::make_address(endpoint.address),
                                         endpoint.port);
    co_await socket.async_connect(remote, asio::use_awaitable);
    const std::string first =
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nfirst";
    co_await asio::async_write(socket, asio::buffer(first), asio::use_awaitable);
    co_await asio::async_read_until(
      socket, asio::dynamic_buffer(reply), "first", asio::use_awaitable);
    reply.clear();
    // The session waits for its next request before the limits change.
    asio::steady_timer timer(fixture.loop, 20ms);
    co_await timer.async_wait(asio::use_awaitable);
    fixture.limits.bodyBytes = after;
    server.SetLimits(fixture.limits);
    const std::string second = "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                               "Content-Length: 500\r\n\r\n" +
                               std::string(500, 'x');
    co_await asio::async_write(socket, asio::buffer(second), asio::use_awaitable);
    boost::system::error_code error;
    co_await asio::async_read(socket,
                              asio::dynamic_buffer(reply),
                              asio::redirect_error(asio::use_awaitable, error));
  }());
  server.Abort();
  CHECK(reply.starts_with(after >= 500 ? "HTTP/1.1 200" : "HTTP/1.1 413"));
}

TEST_CASE("Line ends before a request are ignored", "[http]")
{
  // Guards against rejecting the request after one that a caller closed with a line end,
  // RFC 9112, section 2.2.
  Fixture fixture;
  const auto reply = fixture.Raw("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n"
                                 "{}\r\n\r\n"
                                 "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
                                 "Connection: close\r\n\r\nlast");
  CHECK(reply.find("HTTP/1.1 400") == std::string::npos);
  CHECK(reply.ends_with("last"));
}

TEST_CASE("Line ends alone do not keep a connection open", "[http]")
{
  // Guards against a caller that holds a connection with line ends.
  Fixture fixture;
  fixture.limits.idleTimeout = 100ms;
  fixture.limits.headerTimeout = 10s;
  const auto start = std::chrono::steady_clock::now();
  CHECK(fixture.Raw("\r\n").empty());
  CHECK(std::chrono::steady_clock::now() - start < 5s);
}

TEST_CASE("A target whose path may name another resource is rejected", "[http]")
{
  // Guards against a path that evades the contract of the route that it belongs to.
  for (const std::string target : { "/catalogue/../holds",
                                    "/catalogue/%2e%2E/holds",
                                    "/catalogue/..%2fholds",
                                    "/catalogue/..\\holds",
                                    "/catalogue/./holds",
                                    "/catalogue/..",
                                    "http://other/holds" }) {
    Fixture fixture;
    INFO(target);
    CHECK(fixture.Raw("GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n")
            .starts_with("HTTP/1.1 400"));
  }
  for (const std::string target : { "/a..b/...", "/a?path=/../b", "/%2", "/a%2Fb" }) {
    Fixture fixture;
    INFO(target);
    CHECK(
      fixture.Raw("GET " + target + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
        .starts_with("HTTP/1.1 200"));
  }
}

TEST_CASE("A field that is given twice is ambiguous only with two values", "[http]")
{
  // Guards against two servers that act on different keys of one request.
  HttpHeaders headers{ { "Key", "a" }, { "KEY", "a" } };
  CHECK_FALSE(headers.IsAmbiguous("key"));
  CHECK_FALSE(headers.IsAmbiguous("other"));
  headers.Add("key", "b");
  CHECK(headers.IsAmbiguous("Key"));
}

TEST_CASE("A caller that sends one byte and no more is not kept", "[http]")
{
  // Guards against connections that stay open for the idle time of a connection in use.
  Fixture fixture;
  fixture.limits.headerTimeout = 50ms;
  fixture.limits.idleTimeout = 20s;
  const auto startedAt = BootClock::now();
  CHECK(fixture.Raw("G").empty());
  CHECK(BootClock::now() - startedAt < 10s);
}

TEST_CASE("A body without a length ends with its connection only where that is allowed",
          "[http]")
{
  // Guards against a part of an answer that is taken for the whole, and against whole
  // answers of a service that states no length.
  const std::string reply = "HTTP/1.1 200 OK\r\n\r\nwhole";
  const auto accepted = FetchRaw({ { reply } }, UnframedBody::EndsWithConnection);
  REQUIRE(accepted.HasValue());
  CHECK(accepted->body == "whole");
  const auto refused = FetchRaw({ { reply } }, UnframedBody::Refuse);
  REQUIRE(!refused.HasValue());
  CHECK(refused.LastReason() == HttpFailure::BrokenInBody);
  CHECK(!FetchRaw({ { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nwhole" } },
                  UnframedBody::EndsWithConnection)
           .HasValue());
}

TEST_CASE("Interim responses are skipped, and a server that sends only these is left",
          "[http]")
{
  // Guards against an interim response that is taken for the final one.
  const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
  const std::string final = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
  std::string reply = final;
  for (int count = 0; count < 20; ++count) {
    INFO(count);
    const auto response = FetchRaw({ { reply } }, UnframedBody::Refuse);
    if (count <= 8) {
      REQUIRE(response.HasValue());
      CHECK(response->status == 200);
      CHECK(response->body == "whole");
      CHECK(!response->headers.Has("Link"));
    } else {
      REQUIRE(!response.HasValue());
      CHECK(response.LastReason() == HttpFailure::Malformed);
    }
    reply.insert(0, interim);
  }
  const auto unfinished = FetchRaw({ { interim } }, UnframedBody::EndsWithConnection);
  REQUIRE(!unfinished.HasValue());
  CHECK(unfinished.LastReason() == HttpFailure::BrokenBeforeHead);
}

TEST_CASE("A surplus answer on a kept connection does not answer the next request",
          "[http]")
{
  // Guards against a server that writes an answer twice, of which the second would answer
  // a later request.
  const auto answer = [](const std::string& aBody) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(aBody.size()) +
           "\r\n\r\n" + aBody;
  };
  asio::io_context loop;
  MetricsRegistry metrics;
  const asio::ip::tcp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
  asio::ip::tcp::acceptor acceptor(loop, any);
  const Endpoint endpoint{ "127.0.0.1", acceptor.local_endpoint().port() };
  std::vector<asio::ip::tcp::socket> accepted;
  const auto serve = [&](const std::string& aFirst,
                         const std::string& aSurplus) -> Task<> {
    auto socket = co_await acceptor.async_accept(asio::use_awaitable);
    std::string request(16, '\0');
    co_await socket.async_read_some(asio::buffer(request), asio::use_awaitable);
    co_await asio::async_write(socket, asio::buffer(aFirst), asio::use_awaitable);
    asio::steady_timer timer(loop, 20ms);
    co_await timer.async_wait(asio::use_awaitable);
    co_await asio::async_write(socket, asio::buffer(aSurplus), asio::use_awaitable);
    accepted.push_back(std::move(socket));
  };
  HttpClient client(loop, metrics);
  std::vector<std::string> bodies;
  RunUntilDone(loop, [&]() -> Task<> {
    const HttpDeadlines deadlines;
    for (const auto* body : { "one", "two" }) {
      const auto first = answer(body);
      const auto surplus = answer("surplus");
      asio::co_spawn(loop, serve(first, surplus), asio::detached);
      auto response = co_await client.Fetch(endpoint, HttpRequest(), deadlines);
      bodies.push_back(response ? response->body : "");
      asio::steady_timer timer(loop, 100ms);
      co_await timer.async_wait(asio::use_awaitable);
    }
  }());
  CHECK(bodies == std::vector<std::string>{ "one", "two" });
}

TEST_CASE("A wait for a server lasts as long as it is extended", "[http]")
{
  // Guards against a connection that is closed before its owner has decided to leave it,
  // and against one that is kept after that.
  const int extensions = GENERATE(0, 2, 20);
  INFO("extensions " << extensions);
  asio::io_context loop;
  MetricsRegistry metrics;
  HttpServer server(
    loop,
    HttpServerLimits{},
    [&loop](HttpExchange& aExchange) -> Task<> {
      asio::steady_timer timer(loop, std::chrono::milliseconds(200));
      co_await timer.async_wait(asio::use_awaitable);
      co_await aExchange.BeginStream(200, {});
      co_await aExchange.WriteChunk("first ");
      timer.expires_after(std::chrono::milliseconds(200));
      co_await timer.async_wait(asio::use_awaitable);
      co_await aExchange.WriteChunk("second");
      co_await aExchange.FinishStream();
    },
    metrics);
  const auto endpoint = *server.Listen({ "127.0.0.1", 0 });
  HttpClient client(loop, metrics);
  Result<HttpResponse, HttpFailure> result(HttpFailure::Cancelled);
  int asked = 0;
  RunUntilDone(loop, [&]() -> Task<> {
    HttpDeadlines deadlines;
    deadlines.head = deadlines.progress = std::chrono::milliseconds(50);
    deadlines.extend = [&] {
      return ++asked > extensions ? Duration::zero() : std::chrono::milliseconds(50);
    };
    result = co_await client.Fetch(endpoint, HttpRequest(), deadlines);
  }());
  server.Abort();
  const bool isLongEnough = extensions == 20;
  CHECK(result.HasValue() == isLongEnough);
  CHECK(asked <= extensions + 1);
  if (isLongEnough) {
    CHECK(result->body == "first second");
    CHECK(asked > 4);
  } else {
    CHECK(result.LastReason() == HttpFailure::HeadTimedOut);
  }
}
