#include <algorithm>
#include <chrono>
#include <csignal>
#include <functional>
#include <thread>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "http/HttpClient.h"
#include "support/PlatformStandin.h"

using namespace toucanstand;
using nlohmann::json;
using namespace std::chrono_literals;

// VMs that are partitioned from the engines while the store, callers and peers reach
// them.

namespace {

/// Sends every connection through one VM.
class ThroughOneVm final : public ConnectionPaths
{
public:
  explicit ThroughOneVm(Endpoint aVm)
    : vm(std::move(aVm))
  {
  }
  bool MayConnectDirectly(const Endpoint&, TimePoint) override { return false; }
  void OnDirectConnect(const Endpoint&, bool, TimePoint) override {}
  std::optional<Endpoint> NextProxy(const std::vector<Endpoint>& aTried,
                                    TimePoint,
                                    TimePoint) override
  {
    return aTried.empty() ? std::optional(this->vm) : std::nullopt;
  }
  void OnProxied(const Endpoint&,
                 const Endpoint&,
                 ProxyResult aResult,
                 TimePoint) override
  {
    this->results.push_back(aResult);
  }

  // NOLINTNEXTLINE(misc-non-private-member-variables-in-classes): observed by the tests
  std::vector<ProxyResult> results;

private:
  Endpoint vm;
};

HttpRequest GenerationRequest(const std::string& aAttemptId, const std::string& aServer)
{
  HttpRequest request;
  request.method = "POST";
  request.target = "/chat/1";
  request.headers = ServerUnderTest::GenerationHeaders(aAttemptId);
  request.headers.Add("X-Expect-Instance", aServer);
  return request;
}

} // namespace

TEST_CASE("A leader that reaches no engine does not give its engines to other groups",
          "[partition]")
{
  // Guards against a refused connection that is taken for the end of the engine's
  // process.
  constexpr int kEngines = 6;
  PlatformStandin platform(kEngines);
  ServerUnderTest server(platform, "vm-1");
  server.WaitForGroups(kEngines / 2);
  const auto forEachEngine = [&](const std::function<void(BackendServerStandin&)>& aDo) {
    platform.RunOnLoop([&] {
      for (int number = 0; number < kEngines; ++number) {
        aDo(platform.BackendServer("engine-" + std::to_string(number)));
      }
    });
  };
  // What the leader believes of an engine when the partition heals depends on its length.
  for (const auto length : { 1500ms, 3000ms, 4500ms }) {
    forEachEngine([](BackendServerStandin& aEngine) { aEngine.RefuseConnections(); });
    const auto deadline = std::chrono::steady_clock::now() + length;
    for (int number = 0; std::chrono::steady_clock::now() < deadline; ++number) {
      const auto answer = server.Generate("cut-" + std::to_string(number));
      REQUIRE(answer.HasValue());
      CHECK(answer->status == 503);
      CHECK(answer->headers.Find("Toucanstand-Outcome") == "not-run");
      std::this_thread::sleep_for(50ms);
    }
    forEachEngine([](BackendServerStandin& aEngine) { aEngine.Listen(); });
    std::this_thread::sleep_for(3s);
  }
  forEachEngine(
    [](BackendServerStandin& aEngine) { CHECK(aEngine.joinsWhileOpen == 0); });
  server.WaitForGroups(kEngines / 2);
  const auto answer = server.Generate("healed");
  REQUIRE(answer.HasValue());
  CHECK(answer->status == 200);
}

TEST_CASE("A VM that reaches no server accuses no request of crashing servers",
          "[partition]")
{
  // Guards against a refused connection that is taken for a crash of the server.
  PlatformStandin platform(4);
  ServerUnderTest server(platform, "vm-1");
  server.WaitForGroups(2);
  const auto setAnswerDelay = [&platform](std::chrono::milliseconds aDelay) {
    platform.RunOnLoop([&] {
      for (const auto* id : { "stock-0", "stock-1" }) {
        platform.BackendServer(id).answerDelay = aDelay;
      }
    });
  };
  // Two crashes in a row quarantine a request.
  for (const std::string attemptId : { "cut-1", "cut-2" }) {
    setAnswerDelay(2s);
    std::thread caller([&] {
      HttpCaller own(6s);
      (void)own.Call(server.listenEndpoint,
                     "GET",
                     "/looks/1",
                     "",
                     { { "Host", "api.example" },
                       { "X-Attempt-Id", attemptId },
                       { "X-Deadline-Ms", "4000" },
                       { "Authorization", "Bearer key-1" } });
    });
    std::vector<std::string> ids;
    while (ids.empty()) {
      const auto runs = platform.Runs();
      const auto run = std::ranges::find(runs, attemptId, &RecordedRun::attemptId);
      if (run != runs.end()) {
        ids = platform.ServerIds();
        // The last one, so that no other server accepts connections after the break.
        std::ranges::stable_partition(
          ids, [&](const std::string& aId) { return aId != run->server; });
      }
    }
    const auto forEachServer =
      [&](const std::function<void(BackendServerStandin&)>& aDo) {
        platform.RunOnLoop([&] {
          for (const auto& id : ids) {
            aDo(platform.BackendServer(id));
          }
        });
      };
    forEachServer([](BackendServerStandin& aServer) { aServer.RefuseConnections(); });
    caller.join();
    // Longer than the VM examines what broke its connections.
    std::this_thread::sleep_for(2s);
    setAnswerDelay(0ms);
    forEachServer([](BackendServerStandin& aServer) { aServer.Listen(); });
  }
  const auto deadline = std::chrono::steady_clock::now() + 6s;
  int status = 0;
  for (int number = 0; status != 200 && std::chrono::steady_clock::now() < deadline;
       ++number) {
    const auto answer =
      server.Call("GET", "/looks/1", "healed-" + std::to_string(number));
    REQUIRE(answer.HasValue());
    INFO(answer->body);
    CHECK(answer->body.find("crashes_servers") == std::string::npos);
    status = answer->status;
  }
  CHECK(status == 200);
}

TEST_CASE("A VM connects its peers to registered servers and to nothing else",
          "[partition]")
{
  PlatformStandin platform(2);
  ServerUnderTest server(platform, "vm-1");
  server.WaitForGroups(1);
  const auto ask = [&](const std::string& aDestination) {
    const auto answer =
      server.caller.Call(server.peerEndpoint, "GET", "/tunnel/" + aDestination);
    REQUIRE(answer.HasValue());
    return answer->status;
  };
  CHECK(ask(platform.Store().Address().Text()) == 404);
  CHECK(ask("127.0.0.1:1") == 404);
  CHECK(ask("nonsense") == 404);
  CHECK(ask("") == 404);
}

TEST_CASE("A planned stop of a VM does not cut the tunnels of its peers", "[partition]")
{
  PlatformStandin platform(2);
  ServerUnderTest server(platform, "vm-1");
  server.WaitForGroups(1);
  const auto head = platform.OpenGroupHeads().begin()->second;
  const auto entry = json::parse(platform.BackendServer(head).RegistrationText());
  const auto endpoint = *Endpoint::Parse(entry.at("Address").get<std::string>());

  boost::asio::io_context loop;
  MetricsRegistry metrics;
  ThroughOneVm paths(server.peerEndpoint);
  HttpClient client(loop, metrics);
  client.SetPaths(&paths);
  std::string body;
  std::optional<HttpFailure> failure;
  const auto readStream = [&]() -> Task<> {
    CancelSwitch never;
    const HttpDeadlines deadlines;
    auto request = GenerationRequest("stream", head);
    auto stream = co_await client.Open(
      endpoint, std::move(request), deadlines, ConnectionUse::Single, never);
    if (!stream) {
      failure = stream.LastReason();
      co_return;
    }
    server.process->Signal(SIGTERM);
    while (true) {
      auto piece = co_await (*stream)->Read(never);
      if (!piece || piece->empty()) {
        failure = piece ? std::nullopt : std::optional(piece.LastReason());
        break;
      }
      body += *piece;
    }
    auto late = GenerationRequest("late", head);
    (void)co_await client.Open(
      endpoint, std::move(late), deadlines, ConnectionUse::Single, never);
  };
  boost::asio::co_spawn(loop, readStream(), boost::asio::detached);
  loop.run();
  CHECK(!failure);
  CHECK(body == BackendServerStandin::CompleteStream());
  CHECK(paths.results == std::vector{ ProxyResult::Connected, ProxyResult::Unavailable });
  CHECK(server.process->Wait() == 0);
}
