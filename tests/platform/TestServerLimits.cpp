#include <catch2/catch.hpp>

#include "support/PlatformStandin.h"

using namespace toucanstand;

namespace {

using std::chrono::steady_clock;

/// Sends requests to the VMs in turn, as long as the time lasts.
class RequestLoop
{
public:
  explicit RequestLoop(std::vector<ServerUnderTest*> aServers)
    : servers(std::move(aServers))
  {
  }

  template<typename SendFunction>
  void Run(std::chrono::milliseconds aLength, SendFunction aSend)
  {
    // Each request opens connections; without a pause they take up the ephemeral ports.
    constexpr auto kPause = std::chrono::milliseconds(5);
    constexpr auto kPauseAfterRefusal = std::chrono::milliseconds(20);
    const auto end = steady_clock::now() + aLength;
    while (steady_clock::now() < end) {
      const auto name = "limit-" + std::to_string(++this->count);
      const auto startedAt = steady_clock::now();
      const auto answer =
        aSend(*this->servers.at(this->count % this->servers.size()), name);
      REQUIRE(answer.HasValue());
      if (answer->status == 200) {
        ++this->answered;
        std::this_thread::sleep_for(kPause);
        continue;
      }
      ++this->refused;
      CHECK(answer->status == 503);
      CHECK(answer->headers.Find("Toucanstand-Outcome") == "not-run");
      CHECK(std::stod(std::string(answer->headers.Find("Retry-After"))) > 0);
      CHECK(steady_clock::now() - startedAt < std::chrono::milliseconds(500));
      std::this_thread::sleep_for(kPauseAfterRefusal);
    }
  }

  std::size_t answered = 0;
  std::size_t refused = 0;

private:
  std::vector<ServerUnderTest*> servers;
  std::size_t count = 0;
};

void SetLimit(PlatformStandin& aPlatform,
              const std::vector<std::string>& aServers,
              const std::string& aLimit)
{
  aPlatform.RunOnLoop([&] {
    for (const auto& server : aServers) {
      aPlatform.BackendServer(server).faults.statedLimit = aLimit;
    }
  });
}

std::size_t CountRuns(PlatformStandin& aPlatform, const std::string& aServer)
{
  const auto runs = aPlatform.Runs();
  return static_cast<std::size_t>(
    std::ranges::count(runs, aServer, &RecordedRun::server));
}

} // namespace

TEST_CASE("Two VMs together keep within the rate limit that an engine names", "[server]")
{
  // Guards against VMs that each take the limit for their own, or do not read it.
  PlatformStandin platform(2);
  ServerUnderTest first(platform, "vm-1");
  ServerUnderTest second(platform, "vm-2");
  first.WaitForGroups(1);
  second.WaitForGroups(1);
  RequestLoop loop({ &first, &second });
  const auto generate = [](ServerUnderTest& aServer, const std::string& aName) {
    return aServer.Generate(aName);
  };
  SetLimit(platform, { "engine-0", "engine-1" }, "1.0");
  loop.Run(std::chrono::milliseconds(3000), generate);
  const auto runsBefore = platform.Runs().size();
  loop.Run(std::chrono::milliseconds(4000), generate);
  const auto runs = platform.Runs().size() - runsBefore;
  CHECK(runs <= 1.5 * 4 * 1.0 + 5);
  CHECK(runs >= 1);
  CHECK(loop.refused > 0);

  // The end of the limit is noticed with the next answer.
  SetLimit(platform, { "engine-0", "engine-1" }, "");
  loop.Run(std::chrono::milliseconds(3000), generate);
  const auto refusedBefore = loop.refused;
  loop.Run(std::chrono::milliseconds(1000), generate);
  CHECK(loop.refused == refusedBefore);
}

TEST_CASE("Calls go to the other instances of a service while one names a rate limit",
          "[server]")
{
  // Guards against calls that are refused although another instance could run them.
  PlatformStandin platform(2);
  ServerUnderTest server(platform, "vm-1");
  server.WaitForGroups(1);
  RequestLoop loop({ &server });
  const auto call = [](ServerUnderTest& aServer, const std::string& aName) {
    return aServer.Call("POST", "/holds/" + aName, aName);
  };
  SetLimit(platform, { "stock-0" }, "1.0");
  loop.Run(std::chrono::milliseconds(1000), call);
  const auto runsBefore = CountRuns(platform, "stock-0");
  loop.Run(std::chrono::milliseconds(4000), call);
  CHECK(loop.refused == 0);
  CHECK(loop.answered > 100);
  CHECK(CountRuns(platform, "stock-0") - runsBefore <= 1.5 * 4 * 1.0 + 5);
  CHECK(CountRuns(platform, "stock-1") > 50);
}
