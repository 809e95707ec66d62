#include <algorithm>
#include <array>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "common/ServiceAnswer.h"
#include "support/TestSystem.h"

using namespace toucanstand;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/// Bound on the time until a leaving server gets no new request (R6).
constexpr Duration kLeavingBound = 5s;

std::size_t RunsOfFirst(TestSystem& aSystem)
{
  return aSystem.ServiceLog()["instances"][0]["runs"].size();
}

void AnnounceLeaving(TestSystem& aSystem, const std::string& aSource)
{
  if (aSource == "state") {
    aSystem.SetServiceFault({ { "instance", 0 }, { "leaving", true } });
    return;
  }
  for (auto& server : aSystem.platformList["servers"]) {
    server["leaving"] = server["leaving"] == true || server["id"] == "service-0";
  }
  aSystem.Put("/platform/vms", aSystem.platformList.dump());
}

} // namespace

TEST_CASE("A leaving server finishes its requests and gets no new ones", "[faults]")
{
  // Guards against new work on a server that leaves (R6), and against cutting off its
  // requests in flight (R7).
  const std::string source = GENERATE("state", "platform");
  INFO("announced by " << source);
  TestSystemOptions options;
  options.domains = 1;
  options.enginesPerDomain = 2;
  TestSystem system(options);
  system.WaitForCandidates(4);

  // Lookups take 1 s, so that some are in flight on every server.
  system.SetServiceFault({ { "slow_factor", 200 } });
  constexpr std::size_t kCallers = 12;
  std::array<std::string, kCallers> answers;
  std::vector<std::thread> threads;
  for (std::size_t number = 0; number < kCallers; ++number) {
    const auto entry = system.vms[number % 3].callers;
    threads.emplace_back([entry, number, &answers] {
      HttpCaller patient(10s);
      const auto answer =
        patient.Call(entry, "GET", "/catalogue/" + std::to_string(number));
      answers.at(number) = answer ? answer->body : "broken";
    });
  }
  while (RunsOfFirst(system) == 0) {
  }
  AnnounceLeaving(system, source);
  const auto announced = BootClock::now();
  std::ranges::for_each(threads, &std::thread::join);
  for (std::size_t number = 0; number < kCallers; ++number) {
    CHECK(answers.at(number) ==
          ServiceAnswer("/catalogue/" + std::to_string(number), ""));
  }

  system.SetServiceFault({ { "slow_factor", 1 } });
  std::size_t turn = 0;
  const auto lookup = [&system, &turn] {
    const auto answer =
      system.caller.Call(system.vms[++turn % 3].callers, "GET", "/catalogue/1");
    REQUIRE(answer);
    REQUIRE(answer->status == 200);
  };
  while (BootClock::now() - announced < kLeavingBound) {
    lookup();
  }
  const auto before = RunsOfFirst(system);
  for (int repeat = 0; repeat < 300; ++repeat) {
    lookup();
  }
  CHECK(RunsOfFirst(system) == before);
}
