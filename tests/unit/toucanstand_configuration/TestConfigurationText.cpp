#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "document/ConfigurationText.h"
#include "document/EffectiveConfiguration.h"

using namespace toucanstand;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

json Valid()
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
  const auto document = ParseConfiguration(Valid().dump());
  REQUIRE(document);
  const EffectiveConfiguration here(*document, VmId("vm-2"), ZoneId("ub-east"));
  const EffectiveConfiguration zone(*document, VmId("vm-1"), ZoneId("ub-east"));
  const EffectiveConfiguration other(*document, VmId("vm-3"), ZoneId("ub-west"));
  const PoolId pool("assistant");

  CHECK(here.StrategyFor(pool) == RoutingStrategy::TwoChoices);
  CHECK(here.IsolatedServingPolicy() == IsolationPolicy::Refuse);
  CHECK(zone.StrategyFor(pool) == RoutingStrategy::LeastOutstanding);
  CHECK(zone.IsolatedServingPolicy() == IsolationPolicy::Continue);
  CHECK(other.StrategyFor(pool) == RoutingStrategy::RoundRobin);
  CHECK(other.IsolatedServingPolicy() == IsolationPolicy::Refuse);

  const auto* chat = other.ContractFor("/v1/chat/completions");
  REQUIRE(chat != nullptr);
  CHECK(chat->timeout == 60s);
  CHECK(chat->worth == 2.5);
  CHECK(chat->notRunStatuses == std::vector<int>{ 429, 503 });
  CHECK(other.ContractFor("/v1/stock")->repeatability == Repeatability::OnlyOnce);
  CHECK(other.ContractFor("/v2") == nullptr);
  CHECK(other.AccountFor(AccountId("branch")).share == 3);
  CHECK(other.AccountFor(AccountId("audit")).worth == 4);
  CHECK(other.Admission().longWork.queueLimit == 8);
  CHECK(UncoveredScopes(*document) ==
        std::vector<Scope>{ { ScopeKind::Zone, "ub-east" } });
}

TEST_CASE("A document that breaks one rule is rejected as a whole, with the path",
          "[configuration]")
{
  // Guards against exceptions without a reason, for nothing that exists, or beyond what
  // their scope may set, and against a default that needs an exception.
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
  auto document = Valid();
  document[json::json_pointer(pointer)] = value;
  const auto parsed = ParseConfiguration(document.dump());
  INFO(pointer);
  REQUIRE_FALSE(parsed);
  CHECK(parsed.LastReason().front().path == path);
}

TEST_CASE("Text beyond the store's limit is rejected", "[configuration]")
{
  auto document = Valid();
  document["reason"] = std::string(kMaximumConfigurationBytes, 'x');
  const auto parsed = ParseConfiguration(document.dump());
  REQUIRE_FALSE(parsed);
  CHECK(parsed.LastReason().front().rule == SettingsRule::InRange);
}
