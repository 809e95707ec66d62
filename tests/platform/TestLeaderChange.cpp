#include <algorithm>
#include <csignal>
#include <memory>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "support/AnswerLog.h"
#include "support/CallerConnection.h"
#include "support/ParallelCallers.h"
#include "support/PlatformStandin.h"

using namespace toucanstand;
using namespace std::chrono_literals;
using nlohmann::json;
using std::chrono::milliseconds;

// The leader changes while a group serves one of whose members has no registration.

namespace {

constexpr int kEvents = 80;
constexpr auto kInterval = 100ms;
constexpr auto kPatience = 15s;

struct Fixture
{
  explicit Fixture(int aEngines)
    : platform(aEngines)
  {
    auto routes = PlatformStandin::DefaultConfiguration(2).at("Routes");
    routes[0]["TimeoutMs"] = 15'000;
    this->platform.WriteConfiguration(2, { { "Routes", routes } });
    for (int number = 0; number < aEngines; ++number) {
      const auto id = "engine-" + std::to_string(number);
      this->platform.RunOnLoop([&] {
        this->platform.BackendServer(id).eventInterval = kInterval;
        this->platform.BackendServer(id).eventCount = kEvents;
      });
    }
    for (const std::string id : { "vm-1", "vm-2", "vm-3" }) {
      this->servers.push_back(std::make_unique<ServerUnderTest>(this->platform, id));
    }
    for (const auto& server : this->servers) {
      server->WaitForGroups(1);
    }
  }

  /// The server that leads, other than the given ones; waits for it.
  ServerUnderTest& Leader(const std::vector<const ServerUnderTest*>& aExcept = {})
  {
    const auto deadline = std::chrono::steady_clock::now() + 10s;
    while (std::chrono::steady_clock::now() < deadline) {
      for (const auto& server : this->servers) {
        if (std::ranges::find(aExcept, server.get()) != aExcept.end()) {
          continue;
        }
        const auto answer =
          server->caller.Call(server->operatorEndpoint, "GET", "/state");
        const auto state =
          answer ? json::parse(answer->body, nullptr, false) : json::object();
        if (state.contains("state") && state["state"]["leader_term"] != 0) {
          return *server;
        }
      }
      std::this_thread::sleep_for(50ms);
    }
    throw std::runtime_error("no VM leads");
  }

  /// The member of the only group that is not its head.
  std::string Member()
  {
    const auto [group, head] = *this->platform.OpenGroupHeads().begin();
    for (const auto& id : this->platform.ServerIds()) {
      std::string groupOfServer;
      this->platform.RunOnLoop(
        [&] { groupOfServer = this->platform.BackendServer(id).Group(); });
      if (groupOfServer == group && id != head) {
        return id;
      }
    }
    throw std::runtime_error("the group has no other member");
  }

  void StartStreams(ParallelCallers& aCallers,
                    AnswerLog& aLog,
                    const std::vector<const ServerUnderTest*>& aExcept)
  {
    for (const auto& server : this->servers) {
      if (std::ranges::find(aExcept, server.get()) != aExcept.end()) {
        continue;
      }
      for (int number = 0; number < 3; ++number) {
        const auto id = "stream-" + std::to_string(++this->streams);
        aCallers.Start([endpoint = server->listenEndpoint, id, &aLog] {
          CallerConnection caller(endpoint);
          auto headers = ServerUnderTest::GenerationHeaders(id);
          HttpHeaders patient;
          for (const auto& [name, value] : headers.Fields()) {
            patient.Add(name, name == "X-Deadline-Ms" ? "15000" : value);
          }
          caller.Send(RequestText("POST", "/chat/1", patient, "prompt " + id));
          aLog.Add(id, caller.ReadAnswer(kPatience));
        });
      }
    }
  }

  PlatformStandin platform;
  std::vector<std::unique_ptr<ServerUnderTest>> servers;
  int streams = 0;
};

/// What happens to the leader.
enum class Disturbance
{
  Stop,
  Kill,
  Freeze,
};

void Disturb(ServerUnderTest& aLeader, Disturbance aDisturbance)
{
  switch (aDisturbance) {
    case Disturbance::Stop:
      aLeader.process->Signal(SIGTERM);
      break;
    case Disturbance::Kill:
      aLeader.process->Signal(SIGKILL);
      break;
    case Disturbance::Freeze:
      aLeader.process->Signal(SIGSTOP);
      break;
  }
}

} // namespace

TEST_CASE("A group whose member has no registration serves on when the leader changes",
          "[leader]")
{
  // Guards against a healthy group that a new leader dissolves, which cuts its streams.
  const auto disturbance =
    GENERATE(Disturbance::Stop, Disturbance::Kill, Disturbance::Freeze);
  const bool changesTwice = disturbance == Disturbance::Kill && GENERATE(false, true);
  INFO("disturbance " << static_cast<int>(disturbance) << ", twice " << changesTwice);
  Fixture fixture(2);
  const auto groups = fixture.platform.OpenGroupHeads();
  REQUIRE(groups.size() == 1);
  fixture.platform.DeleteRegistration(fixture.Member());
  std::this_thread::sleep_for(1s);
  CHECK(fixture.platform.OpenGroupHeads() == groups);

  auto& first = fixture.Leader();
  std::vector<const ServerUnderTest*> disturbed = { &first };
  Disturb(first, disturbance);
  if (changesTwice) {
    auto& second = fixture.Leader(disturbed);
    Disturb(second, disturbance);
    disturbed.push_back(&second);
  }
  AnswerLog log;
  ParallelCallers callers;
  fixture.StartStreams(callers, log, disturbed);
  fixture.Leader(disturbed);
  std::this_thread::sleep_for(4s);
  CHECK(fixture.platform.OpenGroupHeads() == groups);
  if (disturbance == Disturbance::Freeze) {
    first.process->Signal(SIGCONT);
  }
  callers.WaitForAll();
  CHECK(!log.Answers().empty());
  for (const auto& [attempt, answer] : log.Answers()) {
    INFO(attempt << " status " << answer.status << " bytes " << answer.body.size());
    CHECK(answer.isComplete);
    CHECK(answer.body == BackendServerStandin::CompleteStream(kEvents));
  }
  CHECK(fixture.platform.OpenGroupHeads() == groups);
}

TEST_CASE("A member that is lost while the leader changes is replaced", "[leader]")
{
  // Guards against a new leader that keeps a group which has lost a member.
  const bool isRegistered = GENERATE(false, true);
  INFO("registered " << isRegistered);
  Fixture fixture(3);
  const auto member = fixture.Member();
  const auto groups = fixture.platform.OpenGroupHeads();
  fixture.platform.CrashServer(member);
  if (!isRegistered) {
    fixture.platform.DeleteRegistration(member);
  }
  auto& first = fixture.Leader();
  first.process->Signal(SIGKILL);
  AnswerLog log;
  ParallelCallers callers;
  fixture.StartStreams(callers, log, { &first });
  const auto deadline = std::chrono::steady_clock::now() + 8s;
  bool isReplaced = false;
  while (!isReplaced && std::chrono::steady_clock::now() < deadline) {
    isReplaced = fixture.platform.OpenGroupHeads() != groups &&
                 fixture.platform.CompleteGroupCount() == 1;
    std::this_thread::sleep_for(50ms);
  }
  CHECK(isReplaced);
  callers.WaitForAll();
}
