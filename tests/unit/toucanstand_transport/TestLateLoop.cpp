#include <array>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "http/HttpClient.h"

using namespace toucanstand;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

// An event loop that stands still for longer than a wait may last.

namespace {

/// More than one poll of the kernel reports.
constexpr int kStreams = 300;
constexpr Duration kLongestGap = 1s;

const std::string kHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kPiece = "5\r\nevent\r\n";

/// Connections of a server that sends when the test says so.
class ManualServer
{
public:
  ManualServer()
    : acceptor(this->loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
  {
  }

  [[nodiscard]] Endpoint Address() const
  {
    return { "127.0.0.1", this->acceptor.local_endpoint().port() };
  }

  /// Accepts the streams and sends the head and a first piece of each.
  void BeginStreams()
  {
    for (int number = 0; number < kStreams; ++number) {
      tcp::socket socket(this->loop);
      this->acceptor.accept(socket);
      std::string request;
      asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
      asio::write(socket, asio::buffer(kHead + kPiece));
      this->sockets.push_back(std::move(socket));
    }
  }

  void SendToAll(const std::string& aBytes)
  {
    for (auto& socket : this->sockets) {
      asio::write(socket, asio::buffer(aBytes));
    }
  }

private:
  asio::io_context loop;
  tcp::acceptor acceptor;
  std::vector<tcp::socket> sockets;
};

/// What became of the streams.
struct Counts
{
  int begun = 0;
  int overdue = 0;
  int ended = 0;
};

Task<> ReadStream(HttpClient& aClient, Endpoint aServer, Counts& aCounts)
{
  CancelSwitch never;
  HttpDeadlines deadlines;
  deadlines.extend = [&aCounts] {
    ++aCounts.overdue;
    return Duration::zero();
  };
  HttpRequest request;
  request.method = "GET";
  request.target = "/";
  auto opened = co_await aClient.Open(
    aServer, std::move(request), deadlines, ConnectionUse::Single, never);
  if (!opened) {
    co_return;
  }
  (*opened)->SetProgressTimeout(10s);
  auto piece = co_await (*opened)->Read(never);
  ++aCounts.begun;
  (*opened)->SetProgressTimeout(kLongestGap);
  while (piece && !piece->empty()) {
    piece = co_await (*opened)->Read(never);
  }
  aCounts.ended += piece ? 1 : 0;
}

} // namespace

TEST_CASE("Streams whose bytes came while the loop stood still do not count as silent",
          "[http]")
{
  // Guards against sound servers that a VM leaves because it ran late itself.
  ManualServer server;
  asio::io_context loop;
  MetricsRegistry metrics;
  HttpClient client(loop, metrics);
  Counts counts;
  for (int number = 0; number < kStreams; ++number) {
    asio::co_spawn(loop, ReadStream(client, server.Address(), counts), asio::detached);
  }
  std::thread begin([&server] { server.BeginStreams(); });
  while (counts.begun < kStreams) {
    loop.run_one_for(10ms);
  }
  begin.join();
  server.SendToAll(kPiece);
  std::this_thread::sleep_for(kLongestGap * 2);
  server.SendToAll("0\r\n\r\n");
  loop.run_for(5s);
  CHECK(counts.overdue == 0);
  CHECK(counts.ended == kStreams);
}
