#include <algorithm>
#include <cstdint>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "support/CallerConnection.h"
#include "support/PlatformStandin.h"

using namespace toucanstand;
using namespace std::chrono_literals;

// Clients that send requests far over the limits, or many that never end.

namespace {

constexpr std::size_t kMemory = 64;
/// 0.8 of the memory of the VM, in MiB.
constexpr std::size_t kMaxMemory = kMemory * 8 / 10;
constexpr std::size_t kMaxBody = 1U << 20U;
constexpr std::size_t kMaxConnections = 500;
/// Beside the connections of callers: listeners, the store, backend servers.
constexpr std::size_t kOtherDescriptors = 64;
constexpr std::size_t kClients = 64;
constexpr std::size_t kHeadClients = 100;
constexpr std::size_t kUnfinishedHeadClients = 400;
/// Fields of a head, which is limited to 16 KiB.
constexpr std::size_t kFieldBytes = 16000;
constexpr std::size_t kLargeChunk = 64U << 10U;
constexpr std::size_t kSmallChunk = 16;
constexpr auto kPatience = 10s;

std::string ChunkedHead()
{
  const HttpHeaders headers = { { "Host", "api.example" },
                                { "X-Attempt-Id", "uncontrolled" },
                                { "Authorization", "Bearer key-1" } };
  return ChunkedRequestHead("POST", "/holds/1", headers);
}

std::string AnnouncedHead(std::size_t aBytes)
{
  return "POST /holds/1 HTTP/1.1\r\nHost: api.example\r\nX-Attempt-Id: uncontrolled\r\n"
         "Authorization: Bearer key-1\r\nContent-Length: " +
         std::to_string(aBytes) + "\r\n\r\n";
}

std::string Repeated(const std::string& aText, std::size_t aBytes)
{
  std::string text;
  while (text.size() + aText.size() <= aBytes) {
    text += aText;
  }
  return text;
}

std::string Chunks(std::size_t aChunk, std::size_t aBytes)
{
  std::string text;
  const auto chunk = ChunkText(std::string(aChunk, 'x'));
  for (std::size_t sent = 0; sent + aChunk <= aBytes; sent += aChunk) {
    text += chunk;
  }
  return text;
}

/// Bytes that the kernel holds of the connections to a port of loopback.
std::size_t QueuedBytes(std::uint16_t aPort)
{
  constexpr int kListening = 0x0A;
  constexpr int kHexadecimal = 16;
  const auto portOf = [](const std::string& aAddress) {
    return std::stoul(aAddress.substr(aAddress.find(':') + 1), nullptr, kHexadecimal);
  };
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::getline(table, line);
  std::size_t bytes = 0;
  while (std::getline(table, line)) {
    std::istringstream fields(line);
    std::string number;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    fields >> number >> local >> remote >> state >> queues;
    const auto middle = queues.find(':');
    if (std::stoi(state, nullptr, kHexadecimal) == kListening) {
      continue;
    }
    if (portOf(local) == aPort) {
      bytes += std::stoul(queues.substr(middle + 1), nullptr, kHexadecimal);
    } else if (portOf(remote) == aPort) {
      bytes += std::stoul(queues.substr(0, middle), nullptr, kHexadecimal);
    }
  }
  return bytes;
}

/// A VM with little memory and a low limit of bodies.
class SmallVm
{
public:
  explicit SmallVm(std::size_t aMemory = kMemory)
  {
    this->platform.WriteConfiguration(
      2,
      { { "Limits", { { "MaxBodyBytes", kMaxBody }, { "HeaderTimeoutMs", 20000 } } } });
    ServerUnderTest::Program program;
    program.settings = { { "memory_mb", aMemory }, { "connections", kMaxConnections } };
    this->server = std::make_unique<ServerUnderTest>(this->platform,
                                                     "vm-1",
                                                     this->platform.Store().Address(),
                                                     ServerUnderTest::kStopPeriod,
                                                     std::move(program));
    this->server->WaitForGroups(1);
  }

  /// Sends the head and then the pieces from all clients in turn, a piece from each;
  /// keeps the connections open.
  void PlayClients(std::size_t aClients,
                   const std::string& aHead,
                   const std::vector<std::string>& aPieces)
  {
    std::vector<std::unique_ptr<CallerConnection>> clients;
    for (std::size_t number = 0; number < aClients; ++number) {
      clients.push_back(std::make_unique<CallerConnection>(this->server->listenEndpoint));
      clients.back()->Send(aHead);
    }
    for (const auto& piece : aPieces) {
      for (auto& client : clients) {
        if (client && !client->Send(piece)) {
          // The server has closed the connection.
          client.reset();
        }
      }
    }
    this->WaitUntilTaken();
    this->CheckBounds();
    this->CheckOrdinaryRequest();
    // Memory that is not given back would be lacking for good.
    clients.clear();
    this->server->caller.WaitFor(
      this->server->operatorEndpoint, "/state", [](const nlohmann::json& aState) {
        return aState.at("state").at("request_memory") == 0;
      });
  }

  /// Waits until the server has read what was sent, or has closed the connections.
  void WaitUntilTaken() const
  {
    const auto port = this->server->listenEndpoint.port;
    for (int round = 0; round < 500 && QueuedBytes(port) > 0; ++round) {
      std::this_thread::sleep_for(20ms);
    }
  }

  void CheckBounds() const
  {
    CHECK(this->server->process->PeakMemory() < kMaxMemory);
    CHECK(this->server->process->OpenDescriptors() < kMaxConnections + kOtherDescriptors);
  }

  /// An ordinary request gets its answer. Its caller tries again, as it is told to.
  void CheckOrdinaryRequest() const
  {
    int status = 0;
    for (int attempt = 0; attempt < 100 && status != 200; ++attempt) {
      const auto answer = this->server->Call("POST", "/holds/1", "ordinary");
      status = answer ? answer->status : 0;
      if (status != 200) {
        std::this_thread::sleep_for(100ms);
      }
    }
    CHECK(status == 200);
    CHECK(this->server->process->PeakMemory() < kMaxMemory);
  }

  PlatformStandin platform{ 2 };
  std::unique_ptr<ServerUnderTest> server;
};

/// The same bytes in pieces of a size that the kernel takes at once.
std::vector<std::string> Pieces(const std::string& aText)
{
  std::vector<std::string> pieces;
  for (std::size_t begin = 0; begin < aText.size(); begin += kLargeChunk) {
    pieces.push_back(aText.substr(begin, kLargeChunk));
  }
  return pieces;
}

} // namespace

TEST_CASE("Bodies announced over the limit do not exhaust a VM", "[uncontrolled]")
{
  // Guards against a body whose announced length is allocated.
  SmallVm vm;
  vm.PlayClients(
    kClients, AnnouncedHead(1U << 30U), Pieces(std::string(4 * kMaxBody, 'x')));
}

TEST_CASE("Bodies sent over the limit without a length do not exhaust a VM",
          "[uncontrolled]")
{
  // Guards against bodies that are kept until they exceed the limit, all at once.
  SmallVm vm;
  vm.PlayClients(
    kClients, ChunkedHead(), Pieces(Chunks(kLargeChunk, 4 * kMaxBody) + ChunkText("")));
}

TEST_CASE("Bytes without any framing do not exhaust a VM", "[uncontrolled]")
{
  // Guards against bytes after a request that are kept as the next request.
  SmallVm vm;
  vm.PlayClients(kClients,
                 "POST /holds/1 HTTP/1.1\r\nHost: api.example\r\n\r\n",
                 Pieces(std::string(4 * kMaxBody, 'x')));
}

TEST_CASE("Bodies in large chunks that stop before their end do not exhaust a VM",
          "[uncontrolled]")
{
  // Guards against the sum of bodies that are each within the limit.
  SmallVm vm;
  vm.PlayClients(kClients, ChunkedHead(), Pieces(Chunks(kLargeChunk, kMaxBody)));
}

TEST_CASE("Bodies in small chunks that stop before their end do not exhaust a VM",
          "[uncontrolled]")
{
  // Guards against what each chunk costs beside its bytes.
  SmallVm vm;
  vm.PlayClients(kClients, ChunkedHead(), Pieces(Chunks(kSmallChunk, kMaxBody)));
}

TEST_CASE("Bodies without end do not exhaust a VM", "[uncontrolled]")
{
  // Guards against bodies that all reach the limit at the same time.
  SmallVm vm;
  vm.PlayClients(kClients, ChunkedHead(), Pieces(Chunks(kLargeChunk, 16 * kMaxBody)));
}

TEST_CASE("Announced bodies that stop before their end do not exhaust a VM",
          "[uncontrolled]")
{
  // Guards against the sum of bodies that are each within the limit.
  SmallVm vm;
  vm.PlayClients(
    kClients, AnnouncedHead(kMaxBody), Pieces(std::string(kMaxBody - 1, 'x')));
}

TEST_CASE("Heads in very many fields do not exhaust a VM", "[uncontrolled]")
{
  // Guards against what each field costs beside its bytes.
  SmallVm vm;
  vm.PlayClients(
    kHeadClients,
    "POST /holds/1 HTTP/1.1\r\nHost: api.example\r\nTransfer-Encoding: chunked\r\n",
    { Repeated("a:\r\n", kFieldBytes) + "\r\n" });
}

TEST_CASE("Heads that stop before their end do not exhaust a VM", "[uncontrolled]")
{
  // Guards against the sum of heads that are each within the limit.
  SmallVm vm;
  vm.PlayClients(kUnfinishedHeadClients,
                 "POST /holds/1 HTTP/1.1\r\nHost: api.example\r\n",
                 { Repeated("a:\r\n", kFieldBytes) });
}

TEST_CASE("Chunk extensions and trailers without end do not exhaust a VM",
          "[uncontrolled]")
{
  // Guards against parts of a body that no limit of bodies counts.
  SmallVm vm;
  vm.PlayClients(kClients, ChunkedHead() + "1;", Pieces(Repeated("a=b;", 2 * kMaxBody)));
  vm.PlayClients(
    kClients, ChunkedHead() + "0\r\n", Pieces(Repeated("a:\r\n", 2 * kMaxBody)));
}

TEST_CASE("Clients that connect and send nothing do not exhaust a VM", "[uncontrolled]")
{
  // Guards against the cost of a connection without a request.
  SmallVm vm;
  vm.PlayClients(kMaxConnections - kOtherDescriptors, "", {});
}

TEST_CASE("A request that gives way is told that it has not run", "[uncontrolled]")
{
  // Guards against connections that are closed without an answer, and against stopped
  // requests that are refused before the memory is needed.
  SmallVm vm;
  const auto head = ChunkedHead();
  const auto body = Chunks(kLargeChunk, kMaxBody);
  std::vector<std::unique_ptr<CallerConnection>> clients;
  const auto add = [&] {
    clients.push_back(std::make_unique<CallerConnection>(vm.server->listenEndpoint));
    clients.back()->Send(head + body);
    vm.WaitUntilTaken();
  };
  constexpr std::size_t kFitting = 8;
  while (clients.size() < kFitting) {
    add();
  }
  for (const auto& client : clients) {
    CHECK_FALSE(client->WaitForInput(0ms));
  }
  while (clients.size() < 2 * kFitting) {
    add();
  }
  const auto refused = std::ranges::find_if(
    clients, [](const auto& aClient) { return aClient->WaitForInput(0ms); });
  REQUIRE(refused != clients.end());
  const auto answer = (*refused)->ReadAnswer(kPatience);
  CHECK(answer.status == 503);
  CHECK(answer.isComplete);
  CHECK(answer.ClosesConnection());
  CHECK(answer.headers.Find("Toucanstand-Outcome") == "not-run");
  CHECK(std::stod(std::string(answer.headers.Find("Retry-After"))) > 0);
  CHECK((*refused)->WaitForEnd(kPatience) == ConnectionEnd::Closed);
  CHECK(vm.platform.Runs().empty());
}

TEST_CASE("A body that exceeds the memory for all requests gets 413", "[uncontrolled]")
{
  // Guards against a client that is told to come back for what can never be served.
  constexpr std::size_t kTinyMemory = 16;
  SmallVm vm(kTinyMemory);
  const std::string body(3 * kMaxBody / 2, 'x');
  vm.platform.WriteConfiguration(3,
                                 { { "Limits", { { "MaxBodyBytes", 2 * kMaxBody } } } });
  // The new limit comes into force soon after the configuration is read.
  ReceivedAnswer answer;
  for (int attempt = 0; attempt < 100 && answer.body.find("memory") == std::string::npos;
       ++attempt) {
    CallerConnection caller(vm.server->listenEndpoint);
    caller.Send(AnnouncedHead(body.size()) + body);
    answer = caller.ReadAnswer(kPatience);
    std::this_thread::sleep_for(50ms);
  }
  CHECK(answer.body.find("memory") != std::string::npos);
  CHECK(answer.status == 413);
  CHECK(answer.headers.Find("Toucanstand-Outcome") == "not-run");
}

TEST_CASE("The largest body is served in calm", "[uncontrolled]")
{
  // Guards against a budget that a single request within the limits exceeds.
  SmallVm vm;
  const HttpHeaders headers = { { "Host", "api.example" },
                                { "X-Attempt-Id", "largest" },
                                { "X-Deadline-Ms", "4000" },
                                { "Authorization", "Bearer key-1" } };
  for (const auto& text :
       { RequestText("POST", "/holds/1", headers, std::string(kMaxBody, 'x')),
         ChunkedRequestHead("POST", "/holds/1", headers) + Chunks(kSmallChunk, kMaxBody) +
           ChunkText("") }) {
    CallerConnection caller(vm.server->listenEndpoint);
    REQUIRE(caller.Send(text));
    CHECK(caller.ReadAnswer(kPatience).status == 200);
  }
  vm.CheckBounds();
}
