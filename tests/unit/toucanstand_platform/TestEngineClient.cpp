#include <catch2/catch.hpp>

#include <optional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "http/HttpServer.h"
#include "platform/EngineClient.h"

using namespace toucanstand;

namespace {

struct EngineAnswers
{
  EngineOrderReply order = EngineOrderReply::Unknown;
  ProbeOutcome probe = ProbeOutcome::Silent;
  /// Servers that said that they leave, once for each reply.
  std::vector<std::string> leaving;
  /// Times for which they want nothing, once for each reply that names one.
  std::vector<Duration> waits;
};

/// Sends an order and a probe to an engine that answers both in this way.
EngineAnswers Ask(int aStatus, const HttpHeaders& aHeaders, const std::string& aBody = "")
{
  boost::asio::io_context loop;
  MetricsRegistry metrics;
  HttpServer server(
    loop,
    HttpServerLimits{},
    [&](HttpExchange& aExchange) -> Task<> {
      HttpResponse response;
      response.status = aStatus;
      response.headers = aHeaders;
      response.body = aBody;
      co_await aExchange.Respond(std::move(response));
    },
    metrics);
  const auto endpoint = *server.Listen({ "127.0.0.1", 0 });
  platform::EngineClient client(loop, metrics);
  EngineAnswers answers;
  client.SetAskListener([&answers](const ServerId& aServer) {
    return [&answers, aServer](const ServerStatement& aStatement) {
      if (aStatement.isLeaving) {
        answers.leaving.push_back(aServer.Value());
      }
      if (aStatement.retryAfter) {
        answers.waits.push_back(*aStatement.retryAfter);
      }
    };
  });
  boost::asio::co_spawn(
    loop,
    [&]() -> Task<> {
      EngineOrder order;
      order.kind = OrderKind::Leave;
      order.server = ServerId("i-1");
      order.endpoint = endpoint;
      answers.order = co_await client.SendOrder(order);
      answers.probe = co_await client.Probe(ServerId("i-1"), endpoint);
    },
    [&loop](const std::exception_ptr&) { loop.stop(); });
  loop.run_for(std::chrono::seconds(5));
  server.Abort();
  return answers;
}

} // namespace

TEST_CASE("The answer to a client's request answers neither an order nor a probe",
          "[platform]")
{
  // Guards against an engine that sends an answer of an earlier request once more, which
  // would say that an order was carried out or refused.
  for (const int status : { 200, 202, 400, 409, 412, 421 }) {
    INFO(status);
    const auto own = Ask(status, {});
    CHECK(own.order != EngineOrderReply::Unknown);
    CHECK((own.probe == ProbeOutcome::Answered) == (status == 200));
    const auto foreign = Ask(status, { { "X-Attempt-Id", "id-1" } });
    CHECK(foreign.order == EngineOrderReply::Unknown);
    CHECK(foreign.probe == ProbeOutcome::OtherAnswer);
  }
}

TEST_CASE("The text of a reply to an order or a probe is not read", "[platform]")
{
  // Guards against an engine whose report or reply can't be parsed and counts as lost.
  const std::string brackets(60000, '[');
  for (const auto& text :
       std::vector{ std::string("{"), std::string("\xff\0\x01", 3), brackets }) {
    const auto answers = Ask(200, {}, text);
    CHECK(answers.order == EngineOrderReply::Done);
    CHECK(answers.probe == ProbeOutcome::Answered);
  }
}

namespace {

enum class Listener
{
  Closed,
  /// The kernel accepts connections and no process reads from them.
  Silent,
  EndsConnections,
};

ProbeOutcome ProbeListener(Listener aKind)
{
  namespace asio = boost::asio;
  using asio::ip::tcp;
  asio::io_context loop;
  MetricsRegistry metrics;
  tcp::acceptor acceptor(loop, { asio::ip::address_v4::loopback(), 0 });
  const Endpoint endpoint{ "127.0.0.1", acceptor.local_endpoint().port() };
  if (aKind == Listener::Closed) {
    acceptor.close();
  }
  if (aKind == Listener::EndsConnections) {
    acceptor.async_accept([](const boost::system::error_code&, tcp::socket) {});
  }
  platform::EngineClient client(loop, metrics);
  std::optional<ProbeOutcome> outcome;
  asio::co_spawn(
    loop,
    [&]() -> Task<> { outcome = co_await client.Probe(ServerId("i-1"), endpoint); },
    [&loop](const std::exception_ptr&) { loop.stop(); });
  loop.run_for(std::chrono::seconds(5));
  REQUIRE(outcome);
  return *outcome;
}

} // namespace

TEST_CASE("A probe tells a closed port, a broken connection and silence apart",
          "[platform]")
{
  // Guards against a silent server that counts as crashed.
  CHECK(ProbeListener(Listener::Closed) == ProbeOutcome::Refused);
  CHECK(ProbeListener(Listener::EndsConnections) == ProbeOutcome::Broken);
  CHECK(ProbeListener(Listener::Silent) == ProbeOutcome::Silent);
}

TEST_CASE("A probe tells another server and an error apart from an answer", "[platform]")
{
  // Guards against a server that answers with an error and counts as crashed.
  CHECK(Ask(421, {}).probe == ProbeOutcome::OtherServer);
  CHECK(Ask(500, {}).probe == ProbeOutcome::OtherAnswer);
  CHECK(Ask(503, {}).probe == ProbeOutcome::OtherAnswer);
}

TEST_CASE("An engine says in a reply to an order or a probe that it leaves", "[platform]")
{
  // Guards against an engine that is ordered into a group because only answers to
  // clients' requests are read, and against the reply of another one.
  const std::pair<std::string, std::string> leaving{ "Server-Leaving", "1" };
  for (const int status : { 200, 202, 409, 412, 503 }) {
    INFO(status);
    CHECK(Ask(status, { leaving }).leaving == std::vector<std::string>{ "i-1", "i-1" });
    CHECK(Ask(status, { leaving, { "X-Attempt-Id", "id-1" } }).leaving.empty());
  }
  CHECK(Ask(421, { leaving }).leaving.empty());
  CHECK(Ask(200, { { "Server-Leaving", "yes" } }).leaving.empty());
}

TEST_CASE("An engine names in a reply a time for which it wants nothing", "[platform]")
{
  // Guards against further orders to an engine that rejects them for a time.
  const HttpHeaders headers{ { "Retry-After", "3" } };
  const Duration three = std::chrono::seconds(3);
  CHECK(Ask(503, headers).waits == std::vector{ three, three });
  CHECK(Ask(503, headers).order == EngineOrderReply::Unknown);
  for (const int status : { 200, 202, 409, 421, 429 }) {
    INFO(status);
    CHECK(Ask(status, headers).waits.empty());
  }
}
