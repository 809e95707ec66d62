#include <string>
#include <thread>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "http/ConnectionStopTable.h"
#include "http/HttpServer.h"

using namespace toucanstand;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

Task<> Succeed(HttpExchange& aExchange)
{
  HttpResponse response;
  response.status = 200;
  co_await aExchange.Respond(std::move(response));
}

/// A server whose loop runs only when a test says so, and one caller.
class StoppingServer
{
public:
  StoppingServer()
    : server(this->loop, HttpServerLimits{}, Succeed, this->metrics)
    , caller(this->callerLoop)
  {
    const auto endpoint = *this->server.Listen({ "127.0.0.1", 0 });
    this->caller.connect({ asio::ip::make_address("127.0.0.1"), endpoint.port });
    this->caller.non_blocking(true);
    this->loop.run_for(50ms);
  }

  ~StoppingServer()
  {
    this->server.Abort();
    this->loop.run_for(50ms);
  }

  void Send(const std::string& aBytes)
  {
    asio::write(this->caller, asio::buffer(aBytes));
  }

  void Advance(StopPhase aPhase) { this->server.AdvanceStop(aPhase, BootClock::now()); }

  /// Returns everything that has arrived.
  std::string Receive()
  {
    std::string text(65536, ' ');
    boost::system::error_code error;
    text.resize(this->caller.read_some(asio::buffer(text), error));
    return text;
  }

  asio::io_context loop;
  MetricsRegistry metrics;
  HttpServer server;

private:
  asio::io_context callerLoop;
  asio::ip::tcp::socket caller;
};

const std::string kArrivingHead =
  "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

TEST_CASE("A quiet connection on which a request has arrived keeps a stop waiting",
          "[stop]")
{
  // Guards against a process that ends between the arrival of a request and its read.
  StoppingServer stopping;
  std::this_thread::sleep_for(kQuietTime);
  stopping.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  stopping.Advance(StopPhase::Draining);
  CHECK(stopping.server.IsBusy());
}

TEST_CASE("A request that arrives while its quiet connection is being closed is answered",
          "[stop]")
{
  // Guards against a request that is lost between the decision to close and the close.
  StoppingServer stopping;
  std::this_thread::sleep_for(kQuietTime);
  stopping.Advance(StopPhase::Draining);
  stopping.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  stopping.loop.run_for(50ms);
  CHECK(stopping.Receive().starts_with("HTTP/1.1 200"));
}

TEST_CASE("A rejection of a request that arrives after a HEAD request has its body",
          "[stop]")
{
  // Guards against an answer that is framed by the method of an earlier request.
  StoppingServer stopping;
  stopping.Send("HEAD / HTTP/1.1\r\nHost: a\r\n\r\n");
  stopping.loop.run_for(50ms);
  CHECK(stopping.Receive().starts_with("HTTP/1.1 200"));
  stopping.Send(kArrivingHead);
  stopping.loop.run_for(50ms);
  stopping.Advance(StopPhase::FinalAnswers);
  stopping.loop.run_for(50ms);
  const auto answer = stopping.Receive();
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(answer.ends_with("}"));
}

TEST_CASE("A request that is arriving is rejected wherever its read stands", "[stop]")
{
  // Guards against a rejection that is lost while a finished read is still queued.
  const auto steps = GENERATE(range(0, 24));
  INFO("handlers run before final answers are due: " << steps);
  StoppingServer stopping;
  const std::string chunk(3000, 'x');
  std::string body;
  for (int number = 0; number < 6; ++number) {
    body += "bb8\r\n" + chunk + "\r\n";
  }
  stopping.Send(kArrivingHead + body);
  for (int step = 0; step < steps; ++step) {
    stopping.loop.restart();
    stopping.loop.poll_one();
  }
  for (int tick = 0; tick < 10; ++tick) {
    stopping.Advance(StopPhase::FinalAnswers);
    stopping.loop.restart();
    stopping.loop.run_for(5ms);
  }
  CHECK(stopping.Receive().starts_with("HTTP/1.1 503"));
}

TEST_CASE("An answer that its caller does not take leaves one line, whatever is written "
          "after it",
          "[http]")
{
  // Guards against a write that fails later and looks like a caller that left.
  asio::io_context loop;
  MetricsRegistry metrics;
  HttpServerLimits limits;
  limits.writeTimeout = 100ms;
  HttpServer server(
    loop,
    limits,
    [](HttpExchange& aExchange) -> Task<> {
      co_await aExchange.BeginStream(200, {});
      co_await aExchange.WriteChunk(std::string(32U << 20U, 'x'));
      co_await aExchange.FinishStream();
    },
    metrics);
  std::vector<std::string> cuts;
  server.SetCutListener(
    [&cuts](const CutRequest& aCut) { cuts.push_back(aCut.endedBy); });
  const auto endpoint = *server.Listen({ "127.0.0.1", 0 });
  asio::io_context callerLoop;
  asio::ip::tcp::socket caller(callerLoop);
  caller.connect({ asio::ip::make_address("127.0.0.1"), endpoint.port });
  asio::write(caller, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
  loop.run_for(500ms);
  CHECK(cuts == std::vector<std::string>{ "write_timeout" });
}

TEST_CASE("An answer that is written whole is not cut off by the end of a stop", "[stop]")
{
  // Guards against a line about a lost request that is not lost.
  asio::io_context loop;
  MetricsRegistry metrics;
  HttpServer server(
    loop,
    HttpServerLimits{},
    [&loop](HttpExchange& aExchange) -> Task<> {
      co_await Succeed(aExchange);
      asio::steady_timer work(loop, 200ms);
      co_await work.async_wait(asio::use_awaitable);
    },
    metrics);
  int cuts = 0;
  server.SetCutListener([&cuts](const CutRequest&) { ++cuts; });
  const auto endpoint = *server.Listen({ "127.0.0.1", 0 });
  asio::io_context callerLoop;
  asio::ip::tcp::socket caller(callerLoop);
  caller.connect({ asio::ip::make_address("127.0.0.1"), endpoint.port });
  asio::write(caller, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
  loop.run_for(50ms);
  CHECK(caller.available() > 0);
  CHECK(server.CountUnfinished().withoutAnswer == 0);
  server.AdvanceStop(StopPhase::Over, BootClock::now());
  loop.run_for(50ms);
  CHECK(cuts == 0);
}
