#include <atomic>

#include <catch2/catch.hpp>

#include "support/ParallelCallers.h"
#include "support/PlatformStandin.h"

using namespace toucanstand;
using namespace std::chrono_literals;

using nlohmann::json;

namespace {

std::size_t CountRuns(PlatformStandin& aPlatform, const std::string& aServer)
{
  const auto runs = aPlatform.Runs();
  return static_cast<std::size_t>(
    std::ranges::count(runs, aServer, &RecordedRun::server));
}

void SayThatItLeaves(PlatformStandin& aPlatform, const std::string& aServer)
{
  aPlatform.RunOnLoop(
    [&] { aPlatform.BackendServer(aServer).faults.statedLeaving = "1"; });
}

/// Sends calls to the plain service until the server has run one more.
void CallUntilRunBy(ServerUnderTest& aVm, const std::string& aServer)
{
  const auto before = CountRuns(aVm.platform, aServer);
  const auto deadline = std::chrono::steady_clock::now() + 5s;
  for (int number = 0; CountRuns(aVm.platform, aServer) == before; ++number) {
    REQUIRE(std::chrono::steady_clock::now() < deadline);
    REQUIRE(aVm.Call("GET", "/looks/1", "until-" + std::to_string(number)).HasValue());
  }
}

std::vector<std::string> OrdersOf(PlatformStandin& aPlatform, const std::string& aServer)
{
  std::vector<std::string> orders;
  aPlatform.RunOnLoop([&] { orders = aPlatform.BackendServer(aServer).receivedOrders; });
  return orders;
}

} // namespace

TEST_CASE("A plain service that says in an answer that it leaves gets no new call",
          "[server]")
{
  // Guards against calls to a server whose registration is older than its answer, also
  // when it is written again, and against a next run that gets no calls.
  PlatformStandin platform(2);
  ServerUnderTest vm(platform, "vm-1");
  vm.WaitForGroups(1);
  SayThatItLeaves(platform, "stock-0");
  CallUntilRunBy(vm, "stock-0");
  const auto before = CountRuns(platform, "stock-0");
  for (int number = 0; number < 300; ++number) {
    if (number % 100 == 50) {
      platform.RunOnLoop([&] {
        auto& server = platform.BackendServer("stock-0");
        server.onRegistrationChanged(server.RegistrationText());
      });
    }
    const auto answer = vm.Call("GET", "/looks/1", "call-" + std::to_string(number));
    REQUIRE(answer.HasValue());
    CHECK(answer->body == "answer of stock-1");
  }
  CHECK(CountRuns(platform, "stock-0") == before);

  platform.RunOnLoop([&] { platform.BackendServer("stock-0").BeginNewRun(); });
  CallUntilRunBy(vm, "stock-0");
}

TEST_CASE("An engine that says in the head of a stream that it leaves is replaced",
          "[server]")
{
  // Guards against new streams on a head that leaves, streams that it does not finish,
  // and a group that is replaced only when its member is gone.
  PlatformStandin platform(5);
  ServerUnderTest vm(platform, "vm-1");
  vm.WaitForGroups(2);
  constexpr int kEvents = 40;
  platform.RunOnLoop([&] {
    for (const auto& id : platform.ServerIds()) {
      platform.BackendServer(id).eventCount = kEvents;
    }
  });
  const auto whole = BackendServerStandin::CompleteStream(kEvents);
  const auto leaving = platform.OpenGroupHeads().begin()->second;
  ParallelCallers callers;
  std::atomic<int> notWhole = 0;
  const auto generate = [&](const std::string& aName) {
    HttpCaller caller(6s);
    const auto answer = caller.Call(vm.listenEndpoint,
                                    "POST",
                                    "/chat/1",
                                    "prompt",
                                    ServerUnderTest::GenerationHeaders(aName));
    notWhole += answer && answer->body == whole ? 0 : 1;
  };
  for (int caller = 0; caller < 4; ++caller) {
    callers.Start([&, caller] { generate("before-" + std::to_string(caller)); });
  }
  std::this_thread::sleep_for(100ms);
  SayThatItLeaves(platform, leaving);
  const auto count = [&] { return CountRuns(platform, leaving); };
  const auto told = count();
  const auto deadline = std::chrono::steady_clock::now() + 5s;
  int number = 0;
  while (count() == told) {
    REQUIRE(std::chrono::steady_clock::now() < deadline);
    callers.Start([&, number] { generate("until-" + std::to_string(number)); });
    ++number;
    std::this_thread::sleep_for(50ms);
  }
  // Its head has arrived when the VM lists the server as leaving.
  vm.caller.WaitFor(vm.operatorEndpoint, "/state", [&](const json& aState) {
    return std::ranges::any_of(
      aState.at("state").at("servers"), [&](const json& aServer) {
        return aServer.at("id") == leaving && aServer.at("leaving") == true;
      });
  });
  const auto runsBefore = count();
  callers.WaitForAll();
  CHECK(platform.FailedRuns().empty());
  for (int caller = 0; caller < 8; ++caller) {
    callers.Start([&, caller] {
      for (int repetition = 0; repetition < 15; ++repetition) {
        generate("after-" + std::to_string(caller * 100 + repetition));
      }
    });
  }
  callers.WaitForAll();
  CHECK(notWhole == 0);
  CHECK(count() == runsBefore);
  vm.WaitForGroups(2);
  const auto heads = platform.OpenGroupHeads();
  CHECK(std::ranges::none_of(heads,
                             [&](const auto& aHead) { return aHead.second == leaving; }));
  const auto orders = OrdersOf(platform, leaving);
  for (const std::string kind : { "close", "leave" }) {
    INFO(kind);
    CHECK(std::ranges::count_if(orders, [&](const std::string& aOrder) {
            return aOrder.starts_with(kind);
          }) <= 1);
  }
  CHECK(orders.size() <= 4);
}

TEST_CASE("An engine that says in its reply to an order that it leaves is in no group",
          "[server]")
{
  // Guards against groups with a member that leaves, and orders to it again and again.
  PlatformStandin platform(3);
  SayThatItLeaves(platform, "engine-0");
  ServerUnderTest vm(platform, "vm-1");
  vm.WaitForGroups(1);
  const auto heads = platform.OpenGroupHeads();
  std::string group;
  platform.RunOnLoop([&] { group = platform.BackendServer("engine-0").Group(); });
  CHECK(!heads.contains(group));
  for (int number = 0; number < 20; ++number) {
    const auto answer = vm.Generate("member-" + std::to_string(number));
    REQUIRE(answer.HasValue());
    CHECK(answer->body == BackendServerStandin::CompleteStream());
  }
  CHECK(CountRuns(platform, "engine-0") == 0);
  CHECK(OrdersOf(platform, "engine-0").size() <= 2);
}
