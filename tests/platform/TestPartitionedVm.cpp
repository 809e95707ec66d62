#include <chrono>
#include <thread>

#include <catch2/catch.hpp>

#include "support/PlatformStandin.h"

using namespace toucanstand;
using namespace std::chrono_literals;

// VMs that are partitioned from the engines while the store, callers and peers reach
// them.

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
