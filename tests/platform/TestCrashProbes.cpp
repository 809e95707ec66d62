#include <array>
#include <functional>
#include <thread>

#include <catch2/catch.hpp>

#include "support/PlatformStandin.h"

using namespace toucanstand;
using nlohmann::json;
using namespace std::chrono_literals;

// What a VM concludes about a server whose connection broke while a request was in
// progress on it.

namespace {

constexpr const char* kPath = "/looks/1";
/// Longer than all probes of a server, so that none is answered.
constexpr auto kUnanswered = 5s;
constexpr std::array kServices = { "stock-0", "stock-1" };

void ForEachService(PlatformStandin& aPlatform,
                    const std::function<void(BackendServerStandin&)>& aDo)
{
  aPlatform.RunOnLoop([&] {
    for (const auto* id : kServices) {
      aDo(aPlatform.BackendServer(id));
    }
  });
}

/// Sends a request whose connection both instances break.
void BreakConnections(PlatformStandin& aPlatform,
                      ServerUnderTest& aServer,
                      std::chrono::milliseconds aReportDelay,
                      int aReportStatus = 200)
{
  ForEachService(aPlatform, [&](BackendServerStandin& aService) {
    aService.faults.dropResponses = 1;
    aService.faults.reportDelay = aReportDelay;
    aService.faults.reportStatus = aReportStatus;
  });
  const auto answer = aServer.Call("GET", kPath, "broken");
  REQUIRE(answer);
  CHECK(answer->status == 502);
}

/// Waits until both instances have been examined, by the metric's label.
void WaitForConclusions(ServerUnderTest& aServer, const std::string& aConclusion)
{
  const auto expected = "crash_examinations_total{conclusion=\"" + aConclusion + "\"} 2";
  const auto deadline = std::chrono::steady_clock::now() + 6s;
  std::string metrics;
  while (std::chrono::steady_clock::now() < deadline) {
    const auto answer = aServer.caller.Call(aServer.operatorEndpoint, "GET", "/metrics");
    REQUIRE(answer);
    metrics = answer->body;
    if (metrics.find(expected) != std::string::npos) {
      return;
    }
    std::this_thread::sleep_for(20ms);
  }
  FAIL("no " << expected << " in\n" << metrics);
}

/// Sends the request again when both instances are sound.
HttpResponse CallAgain(PlatformStandin& aPlatform, ServerUnderTest& aServer)
{
  ForEachService(aPlatform, [](BackendServerStandin& aService) { aService.faults = {}; });
  const auto answer = aServer.Call("GET", kPath, "again");
  REQUIRE(answer);
  return *answer;
}

struct Fixture
{
  Fixture()
    : platform(4)
    , server(platform, "vm-1")
  {
    this->server.WaitForGroups(2);
    REQUIRE(this->server.Call("GET", "/looks/other", "first")->status == 200);
  }

  PlatformStandin platform;
  ServerUnderTest server;
};

} // namespace

TEST_CASE("A server that is silent and then refuses connections is taken for crashed",
          "[server]")
{
  // Guards against a request that crashes all servers of machines that answer late.
  Fixture fixture;
  BreakConnections(fixture.platform, fixture.server, kUnanswered);
  std::this_thread::sleep_for(450ms);
  ForEachService(fixture.platform,
                 [](BackendServerStandin& aService) { aService.RefuseConnections(); });
  WaitForConclusions(fixture.server, "refused");
  ForEachService(fixture.platform,
                 [](BackendServerStandin& aService) { aService.Listen(); });
  const auto answer = CallAgain(fixture.platform, fixture.server);
  CHECK(answer.status == 503);
  CHECK(answer.body.find("crashes_servers") != std::string::npos);
}

TEST_CASE("A server that is silent and then registers another run is taken for crashed",
          "[server]")
{
  // Guards against a request that crashes servers which are back before a probe ends.
  Fixture fixture;
  BreakConnections(fixture.platform, fixture.server, kUnanswered);
  ForEachService(fixture.platform,
                 [](BackendServerStandin& aService) { aService.RegisterAnotherRun(); });
  WaitForConclusions(fixture.server, "other_run");
  const auto answer = CallAgain(fixture.platform, fixture.server);
  CHECK(answer.status == 503);
  CHECK(answer.body.find("crashes_servers") != std::string::npos);
}

TEST_CASE("A server that answers no probe is not taken for crashed", "[server]")
{
  // Guards against a quarantine of a request because machines are slow.
  Fixture fixture;
  BreakConnections(fixture.platform, fixture.server, kUnanswered);
  WaitForConclusions(fixture.server, "unknown");
  CHECK(CallAgain(fixture.platform, fixture.server).status == 200);
}

TEST_CASE("A server that answers a probe with an error is not taken for crashed",
          "[server]")
{
  // Guards against a quarantine of a request because servers are overloaded.
  Fixture fixture;
  BreakConnections(fixture.platform, fixture.server, 0ms, 503);
  WaitForConclusions(fixture.server, "answered");
  CHECK(CallAgain(fixture.platform, fixture.server).status == 200);
}
