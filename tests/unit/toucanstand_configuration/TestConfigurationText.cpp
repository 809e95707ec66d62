#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "document/ConfigurationText.h"
#include "document/EffectiveConfiguration.h"

using namespace toucanstand;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

json ValidDocument()
{
  return json::parse(R"({
    "revision": 4, "author": "kelani", "nonce": "n-1",
    "defaults": {
      "contracts": [
        { "name": "chat", "pathPrefix": "/v1/chat", "pool": "assistant",
          "repeatability": "idempotent", "workClass": "long", "timeoutMs": 20000,
          "worth": 2.5, "notRunStatuses": [429, 503] },
        { "name": "stock", "pathPrefix": "/v1", "pool": "stock" } ],
      "accounts": [ { "id": "branch", "share": 3 } ],
      "admission": { "long": { "share": 0.25, "queueLimit": 8 } },
      "routing": { "strategy": "round-robin" },
      "groups": [ { "pool": "assistant", "size": 2, "model": "m-1" } ] },
    "exceptions": [
      { "scope": { "kind": "zone", "name": "ub-east" }, "reason": "link work until Friday",
        "set": { "isolatedServing": "continue", "strategy": "least-outstanding" } },
      { "scope": { "kind": "vm", "name": "vm-2" }, "reason": "compares strategies",
        "set": { "strategy": "two-choices", "isolatedServing": "refuse" } },
      { "scope": { "kind": "contract", "name": "chat" }, "reason": "slow model",
        "set": { "timeoutMs": 60000 } },
      { "scope": { "kind": "account", "name": "audit" }, "reason": "year end",
        "set": { "worth": 4 } } ] })");
}

} // namespace

TEST_CASE("Exceptions override the defaults only within their scope", "[configuration]")
{
  const auto document = ParseConfiguration(ValidDocument().dump());
  REQUIRE(document);
  const EffectiveConfiguration listedVm(*document, VmId("vm-2"), ZoneId("ub-east"));
  const EffectiveConfiguration sameZoneVm(*document, VmId("vm-1"), ZoneId("ub-east"));
  const EffectiveConfiguration otherZoneVm(*document, VmId("vm-3"), ZoneId("ub-west"));
  const PoolId pool("assistant");

  CHECK(listedVm.StrategyFor(pool) == RoutingStrategy::TwoChoices);
  CHECK(listedVm.IsolatedServingPolicy() == IsolationPolicy::Refuse);
  CHECK(sameZoneVm.StrategyFor(pool) == RoutingStrategy::LeastOutstanding);
  CHECK(sameZoneVm.IsolatedServingPolicy() == IsolationPolicy::Continue);
  CHECK(otherZoneVm.StrategyFor(pool) == RoutingStrategy::RoundRobin);
  CHECK(otherZoneVm.IsolatedServingPolicy() == IsolationPolicy::Refuse);

  const auto* chat = otherZoneVm.ContractFor("/v1/chat/completions");
  REQUIRE(chat != nullptr);
  CHECK(chat->timeout == 60s);
  CHECK(chat->worth == 2.5);
  CHECK(chat->notRunStatuses == std::vector<int>{ 429, 503 });
  CHECK(otherZoneVm.ContractFor("/v1/stock")->repeatability == Repeatability::OnlyOnce);
  CHECK(otherZoneVm.ContractFor("/v2") == nullptr);
  CHECK(otherZoneVm.AccountFor(AccountId("branch")).share == 3);
  CHECK(otherZoneVm.AccountFor(AccountId("audit")).worth == 4);
  CHECK(otherZoneVm.Admission().longWork.queueLimit == 8);
  CHECK(ScopesServingIsolated(*document) ==
        std::vector<Scope>{ { ScopeKind::Zone, "ub-east" } });
}

TEST_CASE(
  "A document that breaks one rule is rejected as a whole, and the error has the path",
  "[configuration]")
{
  // Guards against exceptions without a reason, for an object that does not exist, or
  // with a value that their scope does not allow, and against a default that only an
  // exception may set.
  const auto [pointer, value, path] = GENERATE(table<std::string, json, std::string>({
    { "/exceptions/0/reason", " ", "/exceptions/0/reason" },
    { "/exceptions/2/scope/name", "chatt", "/exceptions" },
    { "/exceptions/3/scope",
      { { "kind", "zone" }, { "name", "ub-east" } },
      "/exceptions/3/set/worth" },
    { "/exceptions/3/set/share", 0, "/exceptions/3/set/share" },
    { "/exceptions/1/scope",
      { { "kind", "zone" }, { "name", "ub-east" } },
      "/exceptions" },
    { "/defaults/isolatedServing", "continue", "/defaults/isolatedServing" },
    { "/defaults/contracts/1/pathPrefix", "/v1/chat", "/defaults/contracts" },
    { "/defaults/contracts/0/notRunStatuses",
      { 200 },
      "/defaults/contracts/0/notRunStatuses" },
    { "/defaults/routing/strategy", "fastest", "/defaults/routing/strategy" },
    { "/defaults/surplus", 1, "/defaults/surplus" },
    { "/revision", 0, "/revision" },
    { "/author", "", "/author" },
  }));
  auto document = ValidDocument();
  document[json::json_pointer(pointer)] = value;
  const auto parsed = ParseConfiguration(document.dump());
  INFO(pointer);
  REQUIRE_FALSE(parsed);
  CHECK(parsed.LastReason().front().path == path);
}

TEST_CASE("A text that is larger than the store accepts is rejected", "[configuration]")
{
  auto document = ValidDocument();
  document["reason"] = std::string(kMaximumConfigurationBytes, 'x');
  const auto parsed = ParseConfiguration(document.dump());
  REQUIRE_FALSE(parsed);
  CHECK(parsed.LastReason().front().rule == SettingsRule::InRange);
}
