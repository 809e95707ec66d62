#include <csignal>
#include <vector>

#include <catch2/catch.hpp>

#include "support/AnswerLog.h"
#include "support/ParallelCallers.h"
#include "support/PlannedStop.h"

using namespace toucanstand;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

// Calls of a plain service that must not be repeated, late in a planned stop.

TEST_CASE("A late call that must not be repeated is answered or refused in a stop",
          "[stop]")
{
  // Guards against calls that are sent to a service although the end of the drain cuts
  // them off. The latency objective is a tenth of a second, whatever the service takes.
  const auto delay = GENERATE(300ms, 1000ms, 2000ms);
  INFO("delay " << delay.count() << " ms");
  PlannedStop stop(8000ms, 1000ms);
  auto configuration = PlatformStandin::DefaultConfiguration(3);
  for (auto& route : configuration["Routes"]) {
    route["TargetLatencyMs"] = 100;
    route["TimeoutMs"] = 15'000;
  }
  stop.platform.WriteConfiguration(3, { { "Routes", configuration["Routes"] } });
  stop.server.caller.WaitFor(
    stop.server.operatorEndpoint, "/state", [](const nlohmann::json& aState) {
      return aState.at("state").at("configuration_version") == 3;
    });
  stop.ForEachService(
    [delay](BackendServerStandin& aService) { aService.answerDelay = delay; });
  AnswerLog log;
  ParallelCallers callers;
  stop.PlanSignal(200ms);
  constexpr int kCallers = 28;
  for (int number = 0; number < kCallers; ++number) {
    callers.Start([&stop, &log, number] {
      const auto id = "call-" + std::to_string(number);
      const HttpHeaders headers = { { "Host", "api.example" },
                                    { "X-Attempt-Id", id },
                                    { "X-Deadline-Ms", "15000" },
                                    { "Authorization", "Bearer key-1" } };
      stop.WaitUntil(1500ms);
      CallerConnection caller(stop.server.listenEndpoint);
      caller.Send(ChunkedRequestHead("POST", "/holds/1", headers) + ChunkText("a"));
      stop.WaitUntil(2000ms + number * 200ms);
      caller.Send(ChunkText(""));
      log.Add(id, caller.ReadAnswer(PlannedStop::kPatience));
    });
  }
  stop.SendPlannedSignal();
  callers.WaitForAll();
  for (const auto& [attempt, answer] : log.Answers()) {
    INFO(attempt << " status " << answer.status);
    CHECK(answer.isComplete);
    CHECK((answer.status == 200 || answer.status == 503));
    CHECK((answer.status == 200 || !stop.HasRun(attempt)));
    // Callers may still reach this VM only.
    const bool isEarly =
      attempt == "call-0" || attempt == "call-1" || attempt == "call-2";
    CHECK((answer.status == 200 || !isEarly));
  }
  CHECK(stop.server.process->Wait() == 0);
}
