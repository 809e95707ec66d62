#include <catch2/catch.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "http/HttpClient.h"
#include "http/HttpServer.h"
#include "support/RawServer.h"

using namespace toucanstand;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/// Sends every connection to one proxy after the direct one failed.
class OneProxy final : public ConnectionPaths
{
public:
  bool MayConnectDirectly(const Endpoint&, TimePoint) override
  {
    return this->triesDirect;
  }
  void OnDirectConnect(const Endpoint&, bool aConnected, TimePoint) override
  {
    this->directFailures += aConnected ? 0 : 1;
  }
  std::optional<Endpoint> NextProxy(const std::vector<Endpoint>& aTried,
                                    TimePoint,
                                    TimePoint) override
  {
    return aTried.empty() ? std::optional(this->proxy) : std::nullopt;
  }
  void OnProxied(const Endpoint&,
                 const Endpoint&,
                 ProxyResult aResult,
                 TimePoint) override
  {
    this->lastResult = aResult;
  }

  // NOLINTBEGIN(misc-non-private-member-variables-in-classes): observed by the tests
  Endpoint proxy;
  bool triesDirect = true;
  int directFailures = 0;
  std::optional<ProxyResult> lastResult;
  // NOLINTEND(misc-non-private-member-variables-in-classes)
};

/// A server, a proxy that reaches it, and a client that does not.
struct TunnelFixture
{
  TunnelFixture()
  {
    this->serverEndpoint = *this->server.Listen({ "127.0.0.1", 0 });
    this->paths.proxy = *this->proxy.Listen({ "127.0.0.1", 0 });
    asio::ip::tcp::acceptor closedPort(this->loop,
                                       { asio::ip::address_v4::loopback(), 0 });
    this->unreachable = { "127.0.0.1", closedPort.local_endpoint().port() };
    this->client.SetPaths(&this->paths);
  }

  Task<> ServeTunnel(HttpExchange& aExchange)
  {
    if (!this->tunnelFailure.empty()) {
      HttpResponse response;
      response.status = 502;
      response.headers.Add(std::string(kTunnelFailureField), this->tunnelFailure);
      co_await aExchange.Respond(std::move(response));
      co_return;
    }
    asio::ip::tcp::socket socket(this->loop);
    co_await socket.async_connect(
      { asio::ip::make_address("127.0.0.1"), this->serverEndpoint.port },
      asio::as_tuple(asio::use_awaitable));
    co_await aExchange.RelayTo(std::move(socket));
    ++this->endedTunnels;
  }

  Task<> Fetch(std::optional<Result<HttpResponse, HttpFailure>>& aResult)
  {
    HttpRequest request;
    request.method = "POST";
    request.body = std::string(100'000, 'q');
    const HttpDeadlines deadlines;
    aResult = co_await this->client.Fetch(
      this->unreachable, std::move(request), deadlines, 4U << 20U, ConnectionUse::Single);
  }

  Result<HttpResponse, HttpFailure> Fetch()
  {
    std::optional<Result<HttpResponse, HttpFailure>> result;
    asio::co_spawn(this->loop, this->Fetch(result), asio::detached);
    this->RunUntil([&result] { return result.has_value(); });
    return *result;
  }

  void RunUntil(const std::function<bool()>& aCondition)
  {
    const auto deadline = BootClock::now() + 5s;
    while (!aCondition() && BootClock::now() < deadline) {
      this->loop.run_one_for(20ms);
    }
    REQUIRE(aCondition());
  }

  asio::io_context loop;
  MetricsRegistry metrics;
  HttpServer::Handler handler = [](HttpExchange& aExchange) -> Task<> {
    HttpResponse response;
    response.body = "length " + std::to_string(aExchange.Request().body.size()) +
                    std::string(200'000, 'a');
    co_await aExchange.Respond(std::move(response));
  };
  HttpServer server{ loop,
                     HttpServerLimits{},
                     [this](HttpExchange& aExchange) { return this->handler(aExchange); },
                     metrics };
  HttpServer proxy{ loop,
                    HttpServerLimits{},
                    [this](HttpExchange& aExchange) {
                      return this->ServeTunnel(aExchange);
                    },
                    metrics };
  OneProxy paths;
  HttpClient client{ loop, metrics };
  Endpoint serverEndpoint;
  Endpoint unreachable;
  std::string tunnelFailure;
  int endedTunnels = 0;
};

} // namespace

TEST_CASE("A server that refuses a direct connection is reached through a peer",
          "[tunnel]")
{
  TunnelFixture fixture;
  const auto response = fixture.Fetch();
  REQUIRE(response.HasValue());
  CHECK(response->body == "length 100000" + std::string(200'000, 'a'));
  CHECK(fixture.paths.directFailures == 1);
  CHECK(fixture.paths.lastResult == ProxyResult::Connected);
  fixture.RunUntil([&] { return fixture.endedTunnels == 1; });

  fixture.paths.triesDirect = false;
  CHECK(fixture.Fetch().HasValue());
  CHECK(fixture.paths.directFailures == 1);
}

TEST_CASE("A response that breaks off behind a tunnel does not look complete", "[tunnel]")
{
  TunnelFixture fixture;
  fixture.handler = [](HttpExchange& aExchange) -> Task<> {
    co_await aExchange.BeginStream(200, {});
    co_await aExchange.WriteChunk("part");
    aExchange.BreakOff();
  };
  const auto response = fixture.Fetch();
  REQUIRE(!response.HasValue());
  CHECK(response.LastReason() == HttpFailure::BrokenInBody);
}

TEST_CASE("A part of a body is not whole when the upload through a tunnel breaks",
          "[tunnel]")
{
  // Guards against a reset behind a peer that looks like the end of a body without a
  // length.
  const std::string part = GENERATE("", "part of a body");
  TunnelFixture fixture;
  const RawServer server(fixture.loop,
                         { { "HTTP/1.1 200 OK\r\n\r\n" + part }, RawAnswer::End::Reset });
  fixture.serverEndpoint = server.Address();
  HttpClient client(fixture.loop, fixture.metrics, UnframedBody::EndsWithConnection);
  client.SetPaths(&fixture.paths);
  std::optional<Result<HttpResponse, HttpFailure>> result;
  const auto fetch = [&]() -> Task<> {
    HttpRequest request;
    request.method = "POST";
    request.body = std::string(16U << 20U, 'q');
    const HttpDeadlines deadlines;
    result = co_await client.Fetch(
      fixture.unreachable, std::move(request), deadlines, 1024, ConnectionUse::Single);
  };
  asio::co_spawn(fixture.loop, fetch(), asio::detached);
  fixture.RunUntil([&result] { return result.has_value(); });
  CHECK(fixture.paths.lastResult == ProxyResult::Connected);
  CHECK(!result->HasValue());
}

TEST_CASE("A server behind a tunnel stops when its caller leaves", "[tunnel]")
{
  TunnelFixture fixture;
  bool started = false;
  bool callerGone = false;
  fixture.handler = [&](HttpExchange& aExchange) -> Task<> {
    aExchange.OnCallerGone([&callerGone] { callerGone = true; });
    started = true;
    asio::steady_timer timer(fixture.loop, 3s);
    while (!callerGone && timer.expiry() > std::chrono::steady_clock::now()) {
      asio::steady_timer pause(fixture.loop, 5ms);
      co_await pause.async_wait(asio::use_awaitable);
    }
  };
  CancelSwitch cancel;
  std::optional<bool> failed;
  const auto open = [&]() -> Task<> {
    HttpRequest request;
    const HttpDeadlines deadlines;
    auto opened = co_await fixture.client.Open(
      fixture.unreachable, std::move(request), deadlines, ConnectionUse::Single, cancel);
    failed = !opened.HasValue();
  };
  asio::co_spawn(fixture.loop, open(), asio::detached);
  fixture.RunUntil([&] { return started; });
  cancel.Trip();
  fixture.RunUntil([&] { return failed.has_value() && callerGone; });
  CHECK(*failed);
}

TEST_CASE("A connection that a peer can't make either fails as not sent", "[tunnel]")
{
  TunnelFixture fixture;
  fixture.tunnelFailure = "connect_timed_out";
  auto response = fixture.Fetch();
  REQUIRE(!response.HasValue());
  CHECK(NothingWasSent(response.LastReason()));
  CHECK(fixture.paths.lastResult == ProxyResult::DestinationTimedOut);

  fixture.tunnelFailure = "something else";
  response = fixture.Fetch();
  REQUIRE(!response.HasValue());
  CHECK(response.LastReason() == HttpFailure::ConnectRefused);
  CHECK(fixture.paths.lastResult == ProxyResult::Unavailable);
}
