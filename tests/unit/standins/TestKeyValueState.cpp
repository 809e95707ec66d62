#include <map>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "KeyValueState.h"
#include "StoreGateway.h"
#include "random/Random.h"
#include "store/Base64.h"

using namespace toucanstand;
using nlohmann::json;
using std::chrono::seconds;

namespace {

StoreTransaction PutIfModRevision(const std::string& aKey,
                                  std::int64_t aModRevision,
                                  const std::string& aValue,
                                  std::int64_t aLease = 0)
{
  return { { { CompareTarget::Mod, CompareResult::Equal, aKey, aModRevision, "" } },
           { PutOperation{ aKey, aValue, aLease } },
           { RangeOperation{ { aKey, "" } } } };
}

const KeyValue* Find(const OperationReply& aReply)
{
  const auto& list = std::get<RangeReply>(aReply).keyValues;
  return list.empty() ? nullptr : &list.front();
}

} // namespace

TEST_CASE("Of writers that read the same revision exactly one wins", "[store]")
{
  // Guards against lost updates, against revisions that repeat, and against a history
  // that a watch cannot rebuild the store from. Random writers race on few keys.
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    INFO("seed " << seed);
    Random random(seed);
    KeyValueState state(10'000);
    std::map<std::string, KeyValue> model;
    for (int step = 0; step < 100; ++step) {
      const auto key = "k" + std::to_string(random.Below(4));
      const auto before = state.Revision();
      const auto current = model[key].modRevision;
      const bool stale = random.Below(3) == 0;
      if (random.Below(5) == 0) {
        const auto reply = state.Execute({ {}, { DeleteOperation{ { key, "" } } }, {} });
        REQUIRE(std::get<DeleteReply>(reply->replies[0]).deleted ==
                (current == 0 ? 0 : 1));
        model[key] = {};
        REQUIRE(state.Revision() == before + (current == 0 ? 0 : 1));
        continue;
      }
      const auto value = std::to_string(step);
      const auto reply =
        state.Execute(PutIfModRevision(key, stale ? current + 1 : current, value));
      REQUIRE(reply->succeeded == !stale);
      REQUIRE(state.Revision() == before + (stale ? 0 : 1));
      if (!stale) {
        model[key].value = value;
        model[key].modRevision = state.Revision();
        model[key].createRevision =
          current == 0 ? state.Revision() : model[key].createRevision;
      }
    }
    std::map<std::string, StoreEvent> replayed;
    const auto events = state.EventsSince({ "k", "l" }, 2);
    for (const auto& event : *events) {
      replayed[event.keyValue.key] = event;
    }
    for (const auto& [key, expected] : model) {
      const auto reply = state.Execute({ {}, { RangeOperation{ { key, "" } } }, {} });
      const auto* found = Find(reply->replies[0]);
      REQUIRE((found == nullptr) == (expected.modRevision == 0));
      if (found != nullptr) {
        REQUIRE(found->value == expected.value);
        REQUIRE(found->createRevision == expected.createRevision);
        REQUIRE(replayed[key].keyValue.value == expected.value);
      } else {
        REQUIRE((!replayed.contains(key) || replayed[key].deletion));
      }
    }
  }
}

TEST_CASE("An expired lease deletes its keys, a renewed one and a moved key do not",
          "[store]")
{
  // Guards against keys that outlive their lease, and against a key that is deleted with
  // a lease from which a later write has detached it.
  KeyValueState state(100);
  const TimePoint start{};
  const auto first = *state.GrantLease(0, seconds(5), start);
  const auto second = *state.GrantLease(7, seconds(5), start);
  REQUIRE(state.GrantLease(7, seconds(5), start).LastReason() == StoreError::LeaseExists);
  REQUIRE(state.Execute(PutIfModRevision("gone", 0, "a", first)));
  REQUIRE(state.Execute(PutIfModRevision("moved", 0, "b", first)));
  REQUIRE(state.Execute({ {}, { PutOperation{ "moved", "b", second } }, {} }));
  REQUIRE(state.KeepAlive(second, start + seconds(4)) == seconds(5));
  REQUIRE(state.NextExpiry() == start + seconds(5));

  state.Expire(start + seconds(6));
  const auto reply = state.Execute(
    { {}, { RangeOperation{ { "gone", "" } }, RangeOperation{ { "moved", "" } } }, {} });
  CHECK(Find(reply->replies[0]) == nullptr);
  CHECK(Find(reply->replies[1]) != nullptr);
  CHECK_FALSE(state.KeepAlive(first, start + seconds(6)).has_value());
  CHECK(state.Execute(PutIfModRevision("gone", 0, "a", first)).LastReason() ==
        StoreError::LeaseNotFound);
}

TEST_CASE("A rejected transaction changes nothing and an old watch is told", "[store]")
{
  // Guards against half-applied transactions and against watches with silent gaps.
  KeyValueState state(2);
  const std::string large(1024UL * 1024 + 1, 'x');
  const auto rejected =
    state.Execute({ {}, { PutOperation{ "a", "1" }, PutOperation{ "b", large } }, {} });
  CHECK(rejected.LastReason() == StoreError::RequestTooLarge);
  CHECK(state.Revision() == 1);
  for (int write = 0; write < 3; ++write) {
    REQUIRE(state.Execute({ {}, { PutOperation{ "a", "1" } }, {} }));
  }
  CHECK(state.EventsSince({ "a", "" }, 2).LastReason() == StoreError::Compacted);
  CHECK(state.EventsSince({ "a", "" }, 3)->size() == 2);
}

TEST_CASE("The gateway speaks etcd's JSON", "[store]")
{
  // Guards against deviations that a client written for etcd would trip over: numbers as
  // strings, zero fields left out, both spellings of fields, error bodies.
  StoreGateway gateway(100);
  const TimePoint now{};
  const auto create =
    R"({"compare":[{"target":"CREATE","key":"Zm9v","createRevision":"0"}],
    "success":[{"requestPut":{"key":"Zm9v","value":"YmFy"}}],
    "failure":[{"request_range":{"key":"Zm9v"}}]})";
  auto reply = json::parse(gateway.Call("/v3/kv/txn", create, now).body);
  CHECK(reply["succeeded"] == true);
  CHECK(reply["header"]["revision"] == "2");
  CHECK(reply["responses"][0].contains("response_put"));

  reply = json::parse(gateway.Call("/v3/kv/txn", create, now).body);
  CHECK_FALSE(reply.contains("succeeded"));
  CHECK(reply["responses"][0]["response_range"]["kvs"][0] ==
        json::parse(R"({"key":"Zm9v","value":"YmFy","create_revision":"2",
                        "mod_revision":"2","version":"1"})"));

  const json tooLarge = { { "key", "Zm9v" },
                          { "value", EncodeBase64(std::string(1048577, 'x')) } };
  const auto error = gateway.Call("/v3/kv/put", tooLarge.dump(), now);
  CHECK(error.status == 400);
  CHECK(json::parse(error.body)["message"] == "etcdserver: request is too large");
  CHECK(gateway.Call("/v3/kv/put", R"({"key":"?"})", now).status == 400);
  CHECK(gateway.Call("/v3/kv/put", "[", now).status == 400);

  auto watch =
    gateway.ReadWatch(R"({"create_request":{"key":"Zm9v","start_revision":"2"}})");
  REQUIRE(watch.has_value());
  bool cancelled = false;
  const auto events = json::parse(gateway.WatchEvents(*watch, cancelled));
  CHECK(events["result"]["events"][0]["kv"]["value"] == "YmFy");
  CHECK(gateway.WatchEvents(*watch, cancelled).empty());
  CHECK(gateway.Call("/v3/kv/deleterange", R"({"key":"Zm9v"})", now).status == 200);
  const auto deletion = json::parse(gateway.WatchEvents(*watch, cancelled));
  CHECK(deletion["result"]["events"][0]["type"] == "DELETE");
}
