#include <array>
#include <functional>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "http/ByteRelay.h"
#include "http/SocketOptions.h"
#include "time/BootClock.h"

using namespace toucanstand;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// The two ends of a connection.
struct SocketPair
{
  explicit SocketPair(asio::io_context& aLoop)
    : outer(aLoop)
    , inner(aLoop)
  {
    tcp::acceptor acceptor(aLoop, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    this->outer.connect(acceptor.local_endpoint());
    acceptor.accept(this->inner);
  }

  /// The end of a caller or a server.
  tcp::socket outer;
  /// The end of the relay.
  tcp::socket inner;
};

/// A relay whose loop runs only when the test lets it.
struct Fixture
{
  Fixture()
  {
    asio::co_spawn(
      this->loop, RelayBytes(this->caller.inner, this->server.inner), asio::detached);
  }

  void RunUntil(const std::function<bool()>& aCondition)
  {
    const auto deadline = BootClock::now() + 5s;
    while (!aCondition() && BootClock::now() < deadline) {
      this->loop.run_one_for(20ms);
    }
    REQUIRE(aCondition());
  }

  /// Lets the server send bytes and the caller receive them.
  void SendToCaller(const std::string& aBytes)
  {
    asio::write(this->server.outer, asio::buffer(aBytes));
    this->RunUntil([&] { return this->caller.outer.available() >= aBytes.size(); });
    std::string received(aBytes.size(), '\0');
    asio::read(this->caller.outer, asio::buffer(received));
    CHECK(received == aBytes);
    // Until the relay waits for both connections.
    this->loop.poll();
  }

  /// Lets the caller send bytes that the relay finds when its loop runs.
  void SendToServer()
  {
    asio::write(this->caller.outer, asio::buffer(std::string("more of the request")));
  }

  void ResetServer()
  {
    SetResetOnClose(this->server.outer, true);
    this->server.outer.close();
  }

  /// How the connection ends for the caller.
  boost::system::error_code WaitForEnd()
  {
    this->caller.outer.non_blocking(true);
    boost::system::error_code end = asio::error::would_block;
    this->RunUntil([&] {
      std::array<char, 16> bytes{};
      if (end == asio::error::would_block) {
        this->caller.outer.read_some(asio::buffer(bytes), end);
      }
      return end != asio::error::would_block;
    });
    return end;
  }

  asio::io_context loop;
  SocketPair caller{ loop };
  SocketPair server{ loop };
};

} // namespace

TEST_CASE("A reset of the server that a write meets first stays a reset", "[relay]")
{
  // Guards against a part of a body without a length whose end looks orderly, as the
  // write has taken the error of the connection and the read sees only its end.
  const bool resetsFirst = GENERATE(false, true);
  INFO("reset before the bytes " << resetsFirst);
  Fixture fixture;
  fixture.SendToCaller("part");
  // The loop finds both events at once, in the order in which they came.
  if (resetsFirst) {
    fixture.ResetServer();
  }
  fixture.SendToServer();
  if (!resetsFirst) {
    fixture.ResetServer();
  }
  CHECK(fixture.WaitForEnd() == asio::error::connection_reset);
}

TEST_CASE("A server that ends its answer in order does so for the caller too", "[relay]")
{
  // Guards against a whole body without a length that looks broken off.
  Fixture fixture;
  fixture.SendToCaller("whole");
  fixture.SendToServer();
  fixture.server.outer.shutdown(tcp::socket::shutdown_send);
  CHECK(fixture.WaitForEnd() == asio::error::eof);
}
