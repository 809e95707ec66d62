#include <chrono>
#include <thread>

#include <catch2/catch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "platform/StoreClient.h"
#include "support/PlatformStandin.h"

using namespace toucanstand;
using nlohmann::json;
using namespace std::chrono_literals;

// The store comes back from an older copy: revisions and leases are given out again, and
// what this system wrote since the copy is gone.

namespace {

/// Maximum time until a configuration is in force everywhere.
constexpr auto kConfigurationBound = 2s;

json ServerState(ServerUnderTest& aServer)
{
  const auto response = aServer.caller.Call(aServer.operatorEndpoint, "GET", "/state");
  return response && response->status == 200 ? json::parse(response->body).at("state")
                                             : json::object();
}

bool WaitUntil(std::chrono::milliseconds aLimit, const std::function<bool()>& aCondition)
{
  const auto deadline = std::chrono::steady_clock::now() + aLimit;
  while (std::chrono::steady_clock::now() < deadline) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(20ms);
  }
  return false;
}

json KeysPatch(const std::string& aKey)
{
  return { { "Tenants", { { { "Name", "shop" }, { "ApiKeys", { "key-1", aKey } } } } } };
}

bool AcceptsKey(ServerUnderTest& aServer, const std::string& aKey)
{
  static int number = 0;
  const auto attempt = "poll-" + std::to_string(++number);
  const auto answer = aServer.Call("GET", "/looks/1", attempt, aKey);
  return answer && answer->status == 200;
}

/// A client of a store stand-in on the same loop.
struct ClientFixture
{
  boost::asio::io_context loop;
  MetricsRegistry metrics;
  StoreStandin store{ loop, metrics };
  platform::StoreClient client{ loop, { store.Address() }, metrics };

  template<typename T>
  T Await(Task<T> aTask)
  {
    std::optional<T> result;
    boost::asio::co_spawn(
      this->loop, Store(std::move(aTask), result), boost::asio::detached);
    this->loop.restart();
    while (!result) {
      this->loop.run_one();
    }
    return std::move(*result);
  }

  template<typename T>
  static Task<> Store(Task<T> aTask, std::optional<T>& aResult)
  {
    aResult = co_await std::move(aTask);
  }

  /// Returns nothing if a response with the header is used.
  std::optional<StoreFailure> FailureOfRead(const std::string& aHistoryHeader)
  {
    this->store.historyHeader = aHistoryHeader;
    const auto read = this->Await(this->client.Read("key"));
    return read ? std::nullopt : std::optional(read.LastReason());
  }

  /// Writes the key until the store gives out the revision to the last write.
  void AdvanceTo(StoreRevision aRevision)
  {
    while (NumberOf(this->Await(this->client.Read("key"))->modRevision) <
           NumberOf(aRevision)) {
      this->store.Put("key", "of somebody else");
    }
  }
};

} // namespace

TEST_CASE("A watch goes no further from a revision that was given out again",
          "[restoration]")
{
  ClientFixture fixture;
  fixture.store.Put("key", "1");
  fixture.store.TakeCopy();
  fixture.store.Put("key", "2");
  fixture.store.Put("key", "3");
  const auto seen = fixture.Await(fixture.client.Read("key"))->modRevision;
  fixture.store.Restore();
  fixture.AdvanceTo(seen);
  const auto changes = fixture.Await(fixture.client.ReadChanges("", seen, 10ms));
  REQUIRE(!changes.HasValue());
  CHECK(changes.LastReason() == StoreFailure::HistoryLost);
  CHECK(fixture.Await(fixture.client.Read("key"))->modRevision > seen);
}

TEST_CASE("A write that expects a revision of the lost history has no effect",
          "[restoration]")
{
  ClientFixture fixture;
  fixture.store.Put("key", "1");
  fixture.store.TakeCopy();
  fixture.store.Put("key", "2");
  const auto seen = fixture.Await(fixture.client.Read("key"))->modRevision;
  fixture.store.Restore();
  fixture.AdvanceTo(seen);
  CHECK(!fixture.Await(fixture.client.ReplaceIf("key", seen, "mine", 0)).HasValue());
  CHECK(!fixture.Await(fixture.client.DeleteIf("key", seen)).HasValue());
  CHECK(fixture.Await(fixture.client.Read("key"))->value == "of somebody else");
}

TEST_CASE("A lease whose number was given out again has ended", "[restoration]")
{
  // Guards against a leader that renews the lease of another process.
  ClientFixture fixture;
  fixture.store.TakeCopy();
  const auto lost = *fixture.Await(fixture.client.GrantLease(2s));
  fixture.store.Restore();
  const auto current = *fixture.Await(fixture.client.GrantLease(2s));
  const auto renewed = fixture.Await(fixture.client.KeepLeaseAlive(lost));
  REQUIRE(!renewed.HasValue());
  CHECK(renewed.LastReason() == StoreFailure::NotFound);
  CHECK(!fixture.Await(fixture.client.RevokeLease(lost)).HasValue());
  CHECK(fixture.Await(fixture.client.KeepLeaseAlive(current)).HasValue());
}

TEST_CASE("Responses with an invalid or lower history number are not used",
          "[restoration]")
{
  ClientFixture fixture;
  fixture.store.Put("key", "1");
  CHECK(fixture.FailureOfRead("7") == std::nullopt);
  CHECK(fixture.FailureOfRead("") == StoreFailure::Malformed);
  CHECK(fixture.FailureOfRead("eight") == StoreFailure::Malformed);
  CHECK(fixture.FailureOfRead("-8") == StoreFailure::Malformed);
  CHECK(fixture.FailureOfRead("99999999999999999999") == StoreFailure::Malformed);
  CHECK(fixture.FailureOfRead("4000000") == StoreFailure::Malformed);
  CHECK(fixture.FailureOfRead("6") == StoreFailure::HistoryLost);
  CHECK(fixture.FailureOfRead("7") == std::nullopt);
  CHECK(fixture.FailureOfRead("8") == std::nullopt);
}

TEST_CASE("VMs that follow a relay apply changes made after the store was restored",
          "[restoration]")
{
  PlatformStandin platform(2);
  std::vector<std::unique_ptr<ServerUnderTest>> vms;
  vms.reserve(4);
  for (int number = 0; number < 4; ++number) {
    vms.push_back(
      std::make_unique<ServerUnderTest>(platform, "vm-" + std::to_string(number)));
  }
  const auto haveAll = [&](const std::function<bool(ServerUnderTest&)>& aCondition) {
    return WaitUntil(10s, [&] {
      return std::ranges::all_of(vms, [&](auto& aVm) { return aCondition(*aVm); });
    });
  };
  REQUIRE(haveAll([](ServerUnderTest& aVm) { return ServerState(aVm)["peers"] == 3; }));
  platform.TakeStoreCopy();
  platform.AdvanceStoreRevision(400);
  platform.WriteConfiguration(2, KeysPatch("key-2a"));
  REQUIRE(haveAll([](ServerUnderTest& aVm) { return AcceptsKey(aVm, "key-2a"); }));

  platform.RestoreStore();
  std::this_thread::sleep_for(1s);
  platform.WriteConfiguration(3, KeysPatch("key-3"));
  std::this_thread::sleep_for(kConfigurationBound);
  for (auto& vm : vms) {
    CHECK(AcceptsKey(*vm, "key-3"));
    CHECK(!AcceptsKey(*vm, "key-2a"));
  }
}

TEST_CASE("Engines accept the orders of a leader elected after the store was restored",
          "[restoration]")
{
  PlatformStandin platform(4);
  platform.TakeStoreCopy();
  platform.AdvanceStoreRevision(2000);
  ServerUnderTest vm(platform, "vm-1");
  vm.WaitForGroups(2);
  platform.RestoreStore();
  for (const auto& [group, head] : platform.OpenGroupHeads()) {
    platform.CrashServer(head);
    platform.DeleteRegistration(head);
  }
  CHECK_NOTHROW(vm.WaitForGroups(1));
}

TEST_CASE("A VM registers again when the restored store lacks its registration",
          "[restoration]")
{
  PlatformStandin platform(2);
  platform.TakeStoreCopy();
  ServerUnderTest vm(platform, "vm-1");
  vm.WaitForGroups(1);
  platform.RestoreStore();
  // The lease numbers of the lost history are given out again, here to somebody else.
  ServerUnderTest other(platform, "vm-2");
  CHECK(WaitUntil(3s, [&] { return ServerState(other)["peers"] == 1; }));
}

TEST_CASE("A VM that finds its registration under an earlier lease stays registered",
          "[restoration]")
{
  // Guards against a registration that expires with a lease that nobody renews.
  PlatformStandin platform(2);
  ServerUnderTest vm(platform, "vm-1");
  vm.WaitForGroups(1);
  ServerUnderTest other(platform, "vm-2");
  REQUIRE(WaitUntil(5s, [&] { return ServerState(other)["peers"] == 1; }));
  platform.TakeStoreCopy();
  platform.RestoreStore();
  // The lease lasts 10 s.
  std::this_thread::sleep_for(11s);
  CHECK(ServerState(other)["peers"] == 1);
  CHECK(ServerState(vm)["peers"] == 1);
}

TEST_CASE("Groups are formed after many restorations of the store",
          "[restoration][known-red]")
{
  // Guards against generations that grow beyond what registrations of engines may hold.
  for (const auto* history : { "83", "84", "1000" }) {
    INFO("history " << history);
    PlatformStandin platform(2);
    platform.RunOnLoop([&] { platform.Store().historyHeader = history; });
    ServerUnderTest server(platform, "vm-1");
    CHECK_NOTHROW(server.WaitForGroups(1));
  }
}
