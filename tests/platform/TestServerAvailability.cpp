#include <atomic>

#include <csignal>

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

TEST_CASE("A stream that breaks off on an engine that leaves goes on elsewhere",
          "[server]")
{
  // Guards against a repeat at the server that has just said that it leaves.
  PlatformStandin platform(4);
  ServerUnderTest vm(platform, "vm-1");
  vm.WaitForGroups(2);
  const auto leaving = platform.OpenGroupHeads().begin()->second;
  SayThatItLeaves(platform, leaving);
  platform.RunOnLoop([&] { platform.BackendServer(leaving).faults.abortStreams = 1; });
  for (int number = 0; number < 40; ++number) {
    const auto answer = vm.Generate("stream-" + std::to_string(number));
    REQUIRE(answer.HasValue());
    CHECK(answer->body == BackendServerStandin::CompleteStream());
  }
  CHECK(CountRuns(platform, leaving) == 1);
  CHECK(platform.FailedRuns().size() == 1);
}

TEST_CASE("A statement that can't be read keeps no request from a server", "[server]")
{
  // Guards against a server that is lost because of a damaged header, or without a trace.
  PlatformStandin platform(2);
  ServerUnderTest vm(platform, "vm-1");
  vm.WaitForGroups(1);
  platform.RunOnLoop([&] {
    platform.BackendServer("stock-0").faults.statedLeaving = "true";
    platform.BackendServer("stock-1").faults.statedLeaving = "0";
  });
  for (int number = 0; number < 40; ++number) {
    const auto answer = vm.Call("GET", "/looks/1", "damaged-" + std::to_string(number));
    REQUIRE(answer.HasValue());
    CHECK(answer->status == 200);
  }
  CHECK(CountRuns(platform, "stock-0") > 5);
  CHECK(CountRuns(platform, "stock-1") > 5);
  const auto metrics = vm.caller.Call(vm.operatorEndpoint, "GET", "/metrics");
  REQUIRE(metrics.HasValue());
  CHECK(metrics->body.find("server_statements_unreadable_total{field=\"leaving\"} 40") !=
        std::string::npos);
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

namespace {

using SteadyTime = std::chrono::steady_clock::time_point;

/// Sets the Retry-After with which the server answers requests with 503; none if empty.
void SetRetryAfter(PlatformStandin& aPlatform,
                   const std::string& aServer,
                   const std::string& aRetryAfter)
{
  aPlatform.RunOnLoop(
    [&] { aPlatform.BackendServer(aServer).faults.retryAfter = aRetryAfter; });
}

/// Whatever the server received, orders and reports included.
std::vector<SteadyTime> ArrivalsAt(PlatformStandin& aPlatform, const std::string& aServer)
{
  std::vector<SteadyTime> arrivals;
  aPlatform.RunOnLoop([&] { arrivals = aPlatform.BackendServer(aServer).arrivals; });
  return arrivals;
}

std::size_t CountBetween(const std::vector<SteadyTime>& aArrivals,
                         SteadyTime aFrom,
                         SteadyTime aUntil)
{
  return static_cast<std::size_t>(
    std::ranges::count_if(aArrivals, [&](SteadyTime aArrival) {
      return aArrival >= aFrom && aArrival < aUntil;
    }));
}

/// Sends idempotent calls one after the other until the time.
/// @returns how many were answered
std::size_t CallUntil(ServerUnderTest& aVm, SteadyTime aUntil)
{
  std::size_t answered = 0;
  for (int number = 0; std::chrono::steady_clock::now() < aUntil; ++number) {
    const auto answer = aVm.Call("GET", "/looks/1", "paced-" + std::to_string(number));
    REQUIRE(answer.HasValue());
    answered += answer->status == 200 ? 1 : 0;
    std::this_thread::sleep_for(3ms);
  }
  return answered;
}

/// The moment at which the server was first sent a request that it answered with 503.
SteadyTime CallUntilRejectedBy(ServerUnderTest& aVm, const std::string& aServer)
{
  const auto before = ArrivalsAt(aVm.platform, aServer).size();
  const auto deadline = std::chrono::steady_clock::now() + 5s;
  while (ArrivalsAt(aVm.platform, aServer).size() == before) {
    REQUIRE(std::chrono::steady_clock::now() < deadline);
    REQUIRE(aVm.Call("GET", "/looks/1", "rejected").HasValue());
  }
  return ArrivalsAt(aVm.platform, aServer).at(before);
}

/// A server answers 503 with this time; it gets nothing meanwhile and its share after it.
void CheckSpan(const std::string& aRetryAfter, std::chrono::milliseconds aSpan)
{
  PlatformStandin platform(2);
  ServerUnderTest vm(platform, "vm-1");
  vm.WaitForGroups(1);
  SetRetryAfter(platform, "stock-0", aRetryAfter);
  const auto rejectedAt = CallUntilRejectedBy(vm, "stock-0");
  SetRetryAfter(platform, "stock-0", "");
  const auto end = rejectedAt + aSpan;
  const auto answered = CallUntil(vm, end + 1s);
  CHECK(answered > 100);
  const auto arrivals = ArrivalsAt(platform, "stock-0");
  CHECK(CountBetween(arrivals, rejectedAt + 500ms, end) == 0);
  CHECK(CountBetween(arrivals, end, end + 1s) > 10);
}

double RetryAfterOf(const HttpResponse& aAnswer)
{
  return std::stod(std::string(aAnswer.headers.Find("Retry-After")));
}

} // namespace

TEST_CASE("A server that answers 503 with Retry-After gets nothing for 1 s", "[server]")
{
  // Guards against requests within the span, and against a span that lasts too long.
  CheckSpan("1", 1s);
}

TEST_CASE("A server that answers 503 with Retry-After gets nothing for 3 s", "[server]")
{
  CheckSpan("3", 3s);
}

TEST_CASE("A server that answers 503 with Retry-After gets nothing for 30 s",
          "[server][.long]")
{
  CheckSpan("30", 30s);
}

TEST_CASE("Of two times that a server names, the one that ends later counts", "[server]")
{
  // Guards against a shorter time, of an answer that was under way, that ends a longer
  // one, and against a longer one that does not count.
  const auto [first, second] =
    GENERATE(table<std::string, std::string>({ { "3", "1" }, { "1", "3" } }));
  PlatformStandin platform(2);
  ServerUnderTest vm(platform, "vm-1");
  vm.WaitForGroups(1);
  // All calls are under way before a server answers the first.
  constexpr auto kRejectionDelay = 300ms;
  platform.RunOnLoop([&] {
    for (const std::string id : { "stock-0", "stock-1" }) {
      auto& server = platform.BackendServer(id);
      server.faults.retryAfters = { first, second };
      server.faults.rejectionDelay = kRejectionDelay;
    }
  });
  ParallelCallers callers;
  std::atomic<int> answers = 0;
  for (int caller = 0; caller < 4; ++caller) {
    callers.Start([&, caller] {
      HttpCaller http(6s);
      const auto answer = http.Call(vm.listenEndpoint,
                                    "POST",
                                    "/holds/1",
                                    "body",
                                    { { "Host", "api.example" },
                                      { "X-Attempt-Id", "two-" + std::to_string(caller) },
                                      { "X-Deadline-Ms", "4000" },
                                      { "Authorization", "Bearer key-1" } });
      answers += answer ? 1 : 0;
    });
  }
  callers.WaitForAll();
  REQUIRE(answers == 4);
  const auto rejectedAt = std::chrono::steady_clock::now();
  platform.RunOnLoop([&] {
    for (const std::string id : { "stock-0", "stock-1" }) {
      platform.BackendServer(id).faults.retryAfters.clear();
    }
  });
  CallUntil(vm, rejectedAt + 4s);
  std::size_t checkedServers = 0;
  for (const std::string id : { "stock-0", "stock-1" }) {
    const auto arrivals = ArrivalsAt(platform, id);
    if (CountBetween(arrivals, SteadyTime(), rejectedAt) < 2) {
      continue; // It has named one time only.
    }
    ++checkedServers;
    const auto statedAt = arrivals.at(first == "3" ? 0 : 1) + kRejectionDelay;
    CHECK(CountBetween(arrivals, statedAt + 500ms, statedAt + 3s) == 0);
    CHECK(CountBetween(arrivals, statedAt + 3s, statedAt + 4s) > 0);
  }
  CHECK(checkedServers > 0);
}

TEST_CASE("Callers are told the earliest time at which a server takes requests again",
          "[server]")
{
  // Guards against callers that wait in vain or come back too early while all servers of
  // a service want nothing, and against requests to these.
  PlatformStandin platform(2);
  ServerUnderTest vm(platform, "vm-1");
  vm.WaitForGroups(1);
  SetRetryAfter(platform, "stock-0", "2");
  SetRetryAfter(platform, "stock-1", "4");
  CallUntilRejectedBy(vm, "stock-0");
  const auto deadline = std::chrono::steady_clock::now() + 1s;
  while (ArrivalsAt(platform, "stock-1").empty()) {
    REQUIRE(std::chrono::steady_clock::now() < deadline);
    REQUIRE(vm.Call("GET", "/looks/1", "both").HasValue());
  }
  const auto firstAt = ArrivalsAt(platform, "stock-0").back();
  const auto before =
    ArrivalsAt(platform, "stock-0").size() + ArrivalsAt(platform, "stock-1").size();
  for (int number = 0; number < 50; ++number) {
    const auto sentAt = std::chrono::steady_clock::now();
    const auto answer = vm.Call("GET", "/looks/1", "none-" + std::to_string(number));
    REQUIRE(answer.HasValue());
    CHECK(std::chrono::steady_clock::now() - sentAt < 300ms);
    CHECK(answer->status == 503);
    CHECK(answer->headers.Find("Toucanstand-Outcome") == "not-run");
    const double remaining = std::chrono::duration<double>(firstAt + 2s - sentAt).count();
    CHECK(RetryAfterOf(*answer) >= std::max(remaining - 0.2, 0.0));
    CHECK(RetryAfterOf(*answer) <= remaining * 1.5 + 0.2);
  }
  CHECK(ArrivalsAt(platform, "stock-0").size() + ArrivalsAt(platform, "stock-1").size() ==
        before);
}

TEST_CASE("Callers are told when the only group takes requests again", "[server]")
{
  // Guards against streams that are sent to a head that wants nothing, and against orders
  // to it and a return time that is that of a missing group.
  PlatformStandin platform(2);
  ServerUnderTest vm(platform, "vm-1");
  vm.WaitForGroups(1);
  const auto head = platform.OpenGroupHeads().begin()->second;
  SetRetryAfter(platform, head, "3");
  const auto first = vm.Generate("first");
  REQUIRE(first.HasValue());
  CHECK(first->status == 503);
  CHECK(RetryAfterOf(*first) >= 2.8);
  CHECK(RetryAfterOf(*first) <= 4.2);
  SetRetryAfter(platform, head, "");
  const auto rejectedAt = ArrivalsAt(platform, head).back();
  const auto end = rejectedAt + 3s;
  std::size_t answered = 0;
  for (int number = 0; std::chrono::steady_clock::now() < end + 1s; ++number) {
    const auto answer = vm.Generate("paced-" + std::to_string(number));
    REQUIRE(answer.HasValue());
    answered += answer->status == 200 ? 1 : 0;
    std::this_thread::sleep_for(5ms);
  }
  CHECK(answered > 0);
  const auto arrivals = ArrivalsAt(platform, head);
  CHECK(CountBetween(arrivals, rejectedAt + 500ms, end) == 0);
  CHECK(CountBetween(arrivals, end, end + 1s) > 0);
}

TEST_CASE("A process that is frozen and thawed within the span still knows of it",
          "[server]")
{
  // Guards against a span that stands still while the process does, or is forgotten.
  PlatformStandin platform(2);
  ServerUnderTest vm(platform, "vm-1");
  vm.WaitForGroups(1);
  SayThatItLeaves(platform, "stock-1");
  CallUntilRunBy(vm, "stock-1");
  const auto runsOfLeaving = CountRuns(platform, "stock-1");
  SetRetryAfter(platform, "stock-0", "3");
  const auto rejectedAt = CallUntilRejectedBy(vm, "stock-0");
  SetRetryAfter(platform, "stock-0", "");
  const auto end = rejectedAt + 3s;
  vm.process->Signal(SIGSTOP);
  std::this_thread::sleep_until(rejectedAt + 1500ms);
  vm.process->Signal(SIGCONT);
  CHECK(CallUntil(vm, end + 1s) > 0);
  const auto arrivals = ArrivalsAt(platform, "stock-0");
  CHECK(CountBetween(arrivals, rejectedAt + 500ms, end) == 0);
  CHECK(CountBetween(arrivals, end, end + 1s) > 0);
  CHECK(CountRuns(platform, "stock-1") == runsOfLeaving);
}

TEST_CASE("A new run of a server is not bound by what the former one said", "[server]")
{
  // Guards against a restarted server that gets no requests.
  PlatformStandin platform(2);
  ServerUnderTest vm(platform, "vm-1");
  vm.WaitForGroups(1);
  SetRetryAfter(platform, "stock-0", "30");
  CallUntilRejectedBy(vm, "stock-0");
  platform.RunOnLoop([&] { platform.BackendServer("stock-0").BeginNewRun(); });
  CallUntilRunBy(vm, "stock-0");
}
