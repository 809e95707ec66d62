#include <catch2/catch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "store/Base64.h"
#include "store/EtcdStore.h"
#include "support/HttpCaller.h"
#include "support/ProcessLauncher.h"

using namespace toucanstand;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/// A store process and the system's own client of it.
struct StoreAndClient
{
  StoreAndClient()
    : process("standin-store", { "--listen=127.0.0.1:0" })
    , endpoint(process.ReadEndpoint())
    , client(loop, this->Settings(), metrics, Random(1))
  {
  }

  EtcdStoreSettings Settings() const
  {
    EtcdStoreSettings settings;
    settings.endpoint = this->endpoint;
    settings.callsPerSecond = 10'000;
    settings.watchPause = 10ms;
    return settings;
  }

  template<typename T>
  T Wait(Task<T> aTask)
  {
    std::optional<T> result;
    boost::asio::co_spawn(
      this->loop,
      [](Task<T> aInner, std::optional<T>& aResult) -> Task<> {
        aResult.emplace(co_await std::move(aInner));
      }(std::move(aTask), result),
      [this](std::exception_ptr) { this->loop.stop(); });
    this->loop.restart();
    this->loop.run();
    REQUIRE(result.has_value());
    return std::move(*result);
  }

  /// Runs the loop until the condition holds, at most 10 s.
  bool RunUntil(const std::function<bool()>& aCondition)
  {
    const auto deadline = BootClock::now() + 10s;
    while (!aCondition() && BootClock::now() < deadline) {
      this->loop.restart();
      this->loop.run_one_for(100ms);
    }
    return aCondition();
  }

  void Fault(const std::string& aFault)
  {
    this->caller.Json(this->endpoint, "POST", "/fault", aFault);
  }

  boost::asio::io_context loop;
  MetricsRegistry metrics;
  ProcessLauncher process;
  Endpoint endpoint;
  EtcdStore client;
  HttpCaller caller;
};

} // namespace

TEST_CASE("The system's client and the stand-in agree on every call", "[store]")
{
  // Guards against a stand-in that passes tests with a client that a real store rejects:
  // both follow etcd's published gateway, and each was written without the other.
  StoreAndClient store;
  std::vector<std::string> seen;
  store.client.Watch("/k", [&seen](const Result<StoredValue, StoreFailure>& aValue) {
    seen.push_back(aValue ? aValue->value : Name(aValue.LastReason()));
  });
  const auto created = store.Wait(store.client.CreateIfAbsent("/k", "one", 0));
  REQUIRE(created);
  CHECK(store.Wait(store.client.CreateIfAbsent("/k", "two", 0)).LastReason() ==
        StoreFailure::Conflict);
  REQUIRE(store.RunUntil([&seen] { return !seen.empty() && seen.back() == "one"; }));
  const auto replaced = store.Wait(store.client.ReplaceIf("/k", *created, "three", 0));
  REQUIRE(replaced);
  CHECK(*replaced == *created + 1);
  CHECK(store.Wait(store.client.ReplaceIf("/k", *created, "four", 0)).LastReason() ==
        StoreFailure::Conflict);
  CHECK(store.RunUntil([&seen] { return seen.back() == "three"; }));
  CHECK(store.Wait(store.client.ReadPrefix("/"))->size() == 1);
  // The client's own limit is lower than the store's, which is met without it.
  CHECK(
    store.Wait(store.client.CreateIfAbsent("/large", std::string(1'000'000, 'x'), 0)));
  const auto put = [&store](std::size_t aSize) {
    const json body = { { "key", EncodeBase64("/full") },
                        { "value", EncodeBase64(std::string(aSize, 'x')) } };
    return store.caller.Call(store.endpoint, "POST", "/v3/kv/put", body.dump())->status;
  };
  CHECK(put(1024UL * 1024) == 200);
  CHECK(put(1024UL * 1024 + 1) == 400);
  REQUIRE(store.Wait(store.client.DeleteIf("/k", *replaced)));
  CHECK(store.Wait(store.client.Read("/k")).LastReason() == StoreFailure::NotFound);

  const auto log = store.caller.Json(store.endpoint, "GET", "/log");
  REQUIRE(log["writes"].size() == 5);
  CHECK(log["writes"][1] ==
        json{ { "key", "/k" }, { "mod_revision", *replaced }, { "deletion", false } });
  CHECK(log["calls"]["/v3/watch"] >= 1);
}

TEST_CASE("A lease that is not renewed ends and takes its keys with it", "[store]")
{
  // Guards against a lease that only ends when the next call arrives: a watch alone must
  // see it.
  StoreAndClient store;
  const auto lease = store.Wait(store.client.GrantLease(1s));
  REQUIRE(lease);
  REQUIRE(store.Wait(store.client.CreateIfAbsent("/owner", "me", *lease)));
  CHECK(store.Wait(store.client.KeepLeaseAlive(*lease)));
  bool deleted = false;
  store.client.Watch(
    "/owner",
    [&deleted](const Result<StoredValue, StoreFailure>& aValue) { deleted = !aValue; });
  CHECK(store.RunUntil([&deleted] { return deleted; }));
  CHECK_FALSE(store.Wait(store.client.KeepLeaseAlive(*lease)));
}

TEST_CASE("A write whose reply is lost has happened, one in an outage has not", "[store]")
{
  // Guards against faults that test the wrong thing.
  StoreAndClient store;
  store.Fault(R"({"drop_reply_after_effect":1})");
  CHECK(store.Wait(store.client.CreateIfAbsent("/lost", "v", 0)).LastReason() ==
        StoreFailure::EffectUnknown);
  CHECK(store.Wait(store.client.Read("/lost"))->value == "v");
  store.Fault(R"({"down":true})");
  CHECK_FALSE(store.Wait(store.client.CreateIfAbsent("/down", "v", 0)));
  store.Fault(R"({"down":false,"delay_ms":50})");
  const auto start = BootClock::now();
  CHECK(store.Wait(store.client.Read("/down")).LastReason() == StoreFailure::NotFound);
  CHECK(BootClock::now() - start >= 50ms);
}
