#include <algorithm>
#include <csignal>
#include <future>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "support/PlannedStop.h"

using namespace toucanstand;
using namespace std::chrono_literals;
using nlohmann::json;

TEST_CASE("A leader that is stopped while it forms groups leaves them to the next one",
          "[stop][leader]")
{
  // Guards against engines that stay in a group that nobody completes, and against
  // callers that wait for it.
  const auto wait = GENERATE(0ms, 150ms, 300ms, 600ms);
  INFO("signal " << wait.count() << " ms after the start");
  constexpr int kEngines = 8;
  PlatformStandin platform(kEngines);
  ServerUnderTest server(platform, "vm-1", platform.Store().Address(), 4000ms);
  server.caller.WaitFor(server.operatorEndpoint, "/state", [](const json& aState) {
    return aState.at("state").at("configuration_version") == 1;
  });
  std::this_thread::sleep_for(wait);
  constexpr int kCallers = 4;
  std::vector<std::future<ReceivedAnswer>> callers;
  callers.reserve(kCallers);
  for (int number = 0; number < kCallers; ++number) {
    callers.push_back(std::async(std::launch::async, [&server, number] {
      CallerConnection caller(server.listenEndpoint);
      caller.Send(PlannedStop::StreamRequest("forming-" + std::to_string(number)));
      return caller.ReadAnswer(PlannedStop::kPatience);
    }));
  }
  server.process->Signal(SIGTERM);
  for (std::size_t number = 0; number < callers.size(); ++number) {
    const auto answer = callers[number].get();
    const auto name = "forming-" + std::to_string(number);
    INFO(name << " status " << answer.status << " end " << static_cast<int>(answer.end));
    CHECK(answer.isComplete);
    CHECK((answer.status == 200 || answer.status == 503));
    const auto runs = platform.Runs();
    CHECK((answer.status == 200 ||
           std::ranges::count(runs, name, &RecordedRun::attemptId) == 0));
  }
  CHECK(server.process->Wait() == 0);
  ServerUnderTest next(platform, "vm-2");
  CHECK_NOTHROW(next.WaitForGroups(kEngines / 2));
  CHECK(next.Generate("next")->status == 200);
}
