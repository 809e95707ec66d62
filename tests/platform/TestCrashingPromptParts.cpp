#include <atomic>
#include <csignal>
#include <iterator>
#include <thread>

#include <catch2/catch.hpp>

#include "crashes/PromptPartQuarantine.h"
#include "support/PlatformStandin.h"

using namespace toucanstand;
using nlohmann::json;

namespace {

constexpr int kEngines = 24;
/// Crashes after which requests with the part must no longer reach engines.
constexpr std::size_t kMaxCrashes = 5;
constexpr const char* kDeadlyPart = "dead5";

void MakeEnginesCrashOnDeadlyPart(PlatformStandin& aPlatform)
{
  aPlatform.RunOnLoop([&] {
    for (int number = 0; number < kEngines; ++number) {
      aPlatform.BackendServer("engine-" + std::to_string(number))
        .faults.crashingPromptPart = kDeadlyPart;
    }
  });
}

std::vector<std::string> CrashedEngines(PlatformStandin& aPlatform)
{
  std::vector<std::string> crashed;
  aPlatform.RunOnLoop([&] {
    for (int number = 0; number < kEngines; ++number) {
      const auto id = "engine-" + std::to_string(number);
      if (!aPlatform.BackendServer(id).IsAlive()) {
        crashed.push_back(id);
      }
    }
  });
  return crashed;
}

bool HasRun(PlatformStandin& aPlatform, const std::string& aAttemptId)
{
  const auto runs = aPlatform.Runs();
  return std::ranges::any_of(
    runs, [&](const RecordedRun& aRun) { return aRun.attemptId == aAttemptId; });
}

/// Sends different requests with the part until one is rejected, each to another VM.
/// Returns false if that does not happen within kMaxCrashes crashes and 3 s after them.
bool ProvokeQuarantine(PlatformStandin& aPlatform,
                       const std::vector<ServerUnderTest*>& aServers)
{
  std::optional<std::chrono::steady_clock::time_point> deadline;
  for (int number = 0; number < 100; ++number) {
    const auto name = "deadly-" + std::to_string(number);
    const auto answer = aServers.at(number % aServers.size())
                          ->GenerateFrom(name, "a1:40,dead5:400," + name + ":60");
    if (answer && answer->status == 503 && !HasRun(aPlatform, name)) {
      return true;
    }
    if (!deadline && CrashedEngines(aPlatform).size() >= kMaxCrashes) {
      deadline = std::chrono::steady_clock::now() + std::chrono::seconds(3);
    }
    if (deadline && std::chrono::steady_clock::now() >= *deadline) {
      return false;
    }
    // The next request comes when the crashes of this one are no longer one event.
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
  }
  return false;
}

void WaitForQuarantine(ServerUnderTest& aServer)
{
  aServer.caller.WaitFor(aServer.operatorEndpoint, "/state", [](const json& aState) {
    const auto& state = aState.at("state").at("prompt_part_quarantine");
    return !state.at("quarantined").empty();
  });
}

void CheckRejectedAsNotRun(PlatformStandin& aPlatform,
                           ServerUnderTest& aServer,
                           const std::string& aName)
{
  const auto answer = aServer.GenerateFrom(aName, "b2:40,dead5:400," + aName + ":60");
  REQUIRE(answer.HasValue());
  CHECK(answer->status == 503);
  CHECK(answer->headers.Find("Toucanstand-Outcome") == "not-run");
  CHECK(std::stod(std::string(answer->headers.Find("Retry-After"))) > 60);
  CHECK(!HasRun(aPlatform, aName));
}

} // namespace

TEST_CASE(
  "Different requests with a prompt part that crashes engines are held on all VMs",
  "[server]")
{
  // Guards against engines that crash one after the other, on VMs that learn too late.
  PlatformStandin platform(kEngines);
  ServerUnderTest first(platform, "vm-1");
  ServerUnderTest second(platform, "vm-2");
  first.WaitForGroups(kEngines / 2);
  second.WaitForGroups(kEngines / 2);
  const auto sound = first.GenerateFrom("sound-0", "a1:40,c3:400,e5:60");
  REQUIRE(sound.HasValue());
  CHECK(sound->status == 200);
  MakeEnginesCrashOnDeadlyPart(platform);

  REQUIRE(ProvokeQuarantine(platform, { &first, &second }));
  WaitForQuarantine(first);
  WaitForQuarantine(second);
  const auto crashed = CrashedEngines(platform);
  CheckRejectedAsNotRun(platform, first, "late-1");
  CheckRejectedAsNotRun(platform, second, "late-2");

  std::ranges::for_each(
    crashed, [&](const std::string& aId) { platform.DeleteRegistration(aId); });
  // A VM that starts later, and one that lost its memory, learn it from the store.
  ServerUnderTest third(platform, "vm-3");
  third.WaitForGroups(1);
  WaitForQuarantine(third);
  CheckRejectedAsNotRun(platform, third, "late-3");
  second.Restart(SIGKILL);
  second.WaitForGroups(1);
  WaitForQuarantine(second);
  CheckRejectedAsNotRun(platform, second, "late-4");
  CHECK(CrashedEngines(platform) == crashed);

  // Requests that share the other parts and the account are served at once.
  for (auto* server : { &first, &second, &third }) {
    const auto name = "beside-" + std::to_string(server->listenEndpoint.port);
    const auto answer = server->GenerateFrom(name, "a1:40," + name + ":60");
    REQUIRE(answer.HasValue());
    CHECK(answer->status == 200);
    CHECK(answer->body == BackendServerStandin::CompleteStream());
  }
}

TEST_CASE(
  "A request whose stream had begun before its engines crashed is not quarantined",
  "[server]")
{
  // Guards against sound requests that are rejected because others crashed their engines.
  PlatformStandin platform(8);
  ServerUnderTest server(platform, "vm-1");
  server.WaitForGroups(4);
  const auto setCrash = [&platform](int aEvents) {
    platform.RunOnLoop([&] {
      for (int number = 0; number < 8; ++number) {
        platform.BackendServer("engine-" + std::to_string(number))
          .faults.crashAfterEvents = aEvents;
      }
    });
  };
  setCrash(PromptPartQuarantine::kEventsToSurvive + 1);
  const auto broken = server.Generate("begun-1");
  CHECK(!broken.HasValue());
  const auto runs = platform.Runs();
  CHECK(std::ranges::count(runs, "begun-1", &RecordedRun::attemptId) == 2);
  setCrash(0);
  for (int number = 2; number < 12; ++number) {
    const auto answer = server.Generate("begun-" + std::to_string(number));
    REQUIRE(answer.HasValue());
    CHECK(answer->status == 200);
  }
}

TEST_CASE("A request that is often answered is served although two of its engines crash",
          "[server]")
{
  // Guards against an outage that rejects the requests that many callers repeat.
  PlatformStandin platform(8);
  ServerUnderTest server(platform, "vm-1");
  server.WaitForGroups(4);
  std::atomic<bool> stop = false;
  constexpr int kCallers = 20;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&server, &stop, caller] {
      HttpCaller own(std::chrono::seconds(6));
      for (int number = 0; !stop; ++number) {
        const auto name = std::to_string(caller) + "-" + std::to_string(number);
        (void)own.Call(server.listenEndpoint,
                       "POST",
                       "/chat/1",
                       "prompt",
                       ServerUnderTest::GenerationHeaders(name));
      }
    });
  }
  std::this_thread::sleep_for(std::chrono::seconds(1));
  const auto heads = platform.OpenGroupHeads();
  for (auto head = heads.begin(); head != std::next(heads.begin(), 2); ++head) {
    platform.CrashServer(head->second);
    platform.DeleteRegistration(head->second);
  }
  std::this_thread::sleep_for(std::chrono::seconds(1));
  stop = true;
  std::ranges::for_each(callers, &std::thread::join);
  for (int number = 0; number < 10; ++number) {
    const auto answer = server.Generate("after-" + std::to_string(number));
    REQUIRE(answer.HasValue());
    CHECK(answer->status == 200);
  }
}

TEST_CASE("A quarantine whose record the store lost in a restoration goes on", "[server]")
{
  // Guards against a lost record that is taken for one that the operator deleted.
  PlatformStandin platform(kEngines);
  platform.TakeStoreCopy();
  ServerUnderTest server(platform, "vm-1");
  server.WaitForGroups(kEngines / 2);
  MakeEnginesCrashOnDeadlyPart(platform);
  REQUIRE(ProvokeQuarantine(platform, { &server }));
  WaitForQuarantine(server);
  // The record is written within kNonRelayDelay.
  std::this_thread::sleep_for(std::chrono::seconds(2));
  platform.RestoreStore();
  std::this_thread::sleep_for(std::chrono::seconds(2));
  CheckRejectedAsNotRun(platform, server, "late-1");

  ServerUnderTest other(platform, "vm-2");
  WaitForQuarantine(other);
}
