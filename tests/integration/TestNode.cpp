#include <catch2/catch.hpp>

#include <csignal>
#include <memory>

#include <nlohmann/json.hpp>

#include "document/ConfigurationDocument.h"
#include "machines/PlatformList.h"
#include "store/Base64.h"
#include "support/HttpCaller.h"
#include "support/ProcessLauncher.h"
#include "support/SettingsFile.h"

using namespace toucanstand;
using nlohmann::json;

namespace {

/// Three node processes with a store and a plain service.
class Deployment
{
public:
  Deployment()
    : storeProcess("standin-store", { "--listen=127.0.0.1:0" })
    , store(storeProcess.ReadEndpoint())
    , service("standin-service", { "--listen=127.0.0.1:0" })
  {
    for (int index = 0; index < 3; ++index) {
      this->nodes.push_back(this->StartNode(index, {}));
    }
    this->WritePlatformList(this->service.ReadEndpoint());
  }

  struct Node
  {
    std::unique_ptr<SettingsFile> settings;
    std::unique_ptr<ProcessLauncher> process;
    Vm vm;
    Endpoint operators;
  };

  Node StartNode(int aIndex, const std::vector<Vm>& aSeeds)
  {
    json seeds = json::array();
    for (const auto& seed : aSeeds) {
      seeds.push_back({ { "id", seed.id.Value() },
                        { "zone", seed.zone.Value() },
                        { "node", seed.nodeEndpoint.Text() } });
    }
    Node node;
    node.vm.id = VmId("vm-" + std::to_string(aIndex));
    node.vm.zone = ZoneId("zone");
    node.settings = std::make_unique<SettingsFile>(json{ { "id", node.vm.id.Value() },
                                                         { "zone", "zone" },
                                                         { "node", "127.0.0.1:0" },
                                                         { "operator", "127.0.0.1:0" },
                                                         { "store", this->store.Text() },
                                                         { "watch_pause_ms", 100 },
                                                         { "seeds", seeds } });
    node.process = std::make_unique<ProcessLauncher>(
      "toucanstand-node", std::vector<std::string>{ node.settings->Option() });
    node.vm.nodeEndpoint = node.process->ReadEndpoint("node");
    node.operators = node.process->ReadEndpoint("operator");
    return node;
  }

  /// Runs toucanstandctl. @returns its exit code
  int Control(std::vector<std::string> aArguments)
  {
    aArguments.insert(aArguments.begin(),
                      { "--store=" + this->store.Text(),
                        "--node=" + this->nodes[0].operators.Text(),
                        "--author=tester",
                        "--reason=test" });
    return ProcessLauncher("toucanstandctl", aArguments).Wait();
  }

  void WaitFor(const Node& aNode, const std::string& aPointer, const json& aValue)
  {
    INFO(aNode.vm.id.Value() << aPointer);
    const json::json_pointer pointer(aPointer);
    this->caller.WaitFor(aNode.operators, "/state", [&](const json& aState) {
      return aState.contains(pointer) && aState.at(pointer) == aValue;
    });
  }

  ProcessLauncher storeProcess;
  Endpoint store;
  ProcessLauncher service;
  std::vector<Node> nodes;
  HttpCaller caller;

private:
  void WritePlatformList(const Endpoint& aService)
  {
    PlatformList list;
    for (const auto& node : this->nodes) {
      list.entryVms.push_back(node.vm);
    }
    const auto state = this->caller.Json(aService, "GET", "/state");
    BackendServer server;
    server.id = ServerId(state.at("server").get<std::string>());
    server.pool = PoolId("stock");
    server.zone = ZoneId("zone");
    server.endpoint = aService;
    server.kind = ServerKind::Service;
    list.servers.push_back(server);
    const json put = { { "key", EncodeBase64("/platform/vms") },
                       { "value", EncodeBase64(FormatPlatformList(list)) } };
    this->caller.Json(this->store, "POST", "/v3/kv/put", put.dump());
  }
};

const json kDocument = json::parse(R"({"defaults":{"contracts":[
  {"name":"stock","pathPrefix":"/stock","pool":"stock"}]}})");

constexpr const char* kRevision = "/state/configuration/in_force/revision";

} // namespace

TEST_CASE("A change is accepted and in force on all nodes, and a conflicting one fails",
          "[node]")
{
  Deployment deployment;
  const SettingsFile file(kDocument);
  const auto path = file.Option().substr(std::string("--config=").size());
  CHECK(deployment.Control({ "apply", path, "--wait" }) == 0);
  for (const auto& node : deployment.nodes) {
    deployment.WaitFor(node, kRevision, 1);
    deployment.WaitFor(node, "/state/configuration/acceptance/state", "accepted");
    deployment.WaitFor(node, "/ready", true);
    deployment.WaitFor(node, "/state/groups/0/pool", "stock");
  }
  // Its author has not seen revision 1.
  auto outdated = kDocument;
  outdated["revision"] = 0;
  const SettingsFile second(outdated);
  CHECK(deployment.Control({ "apply", second.Option().substr(9) }) == 1);
  CHECK(deployment.Control({ "defaults", "set", "/contracts/stock/worth", "many" }) == 1);
  CHECK(deployment.Control({ "exceptions", "add", "vm/vm-1", "{}", "--reason= " }) == 2);
  CHECK(deployment.Control({ "defaults", "set", "/contracts/stock/worth", "4" }) == 0);
  for (const auto& node : deployment.nodes) {
    deployment.WaitFor(node, kRevision, 2);
  }
  CHECK(deployment.Control({ "revisions" }) == 0);
  // The service's end takes away the candidate on every node.
  deployment.service.Signal(SIGTERM);
  for (const auto& node : deployment.nodes) {
    deployment.WaitFor(node, "/state/groups", json::array());
  }
}

TEST_CASE("A restarted node gets everything from its peers while the store is down",
          "[node]")
{
  // Guards against a node that serves without knowing which revision was accepted, and
  // against one that can't serve before the store is back.
  Deployment deployment;
  const SettingsFile file(kDocument);
  REQUIRE(deployment.Control({ "apply", file.Option().substr(9), "--wait" }) == 0);
  auto& nodes = deployment.nodes;
  for (const auto& node : nodes) {
    deployment.WaitFor(node, kRevision, 1);
    deployment.WaitFor(node, "/state/groups/0/pool", "stock");
  }
  deployment.caller.Json(deployment.store, "POST", "/fault", R"({"down":true})");
  nodes[2].process->Signal(SIGKILL);
  nodes[2].process->Wait();
  nodes[2] = deployment.StartNode(2, { nodes[0].vm, nodes[1].vm });
  deployment.WaitFor(nodes[2], kRevision, 1);
  deployment.WaitFor(nodes[2], "/state/groups/0/pool", "stock");
  const auto state = deployment.caller.Json(nodes[2].operators, "GET", "/state");
  CHECK(state.at("state").at("configuration").at("isolation").at("state") ==
        "unsynchronized");
  deployment.WaitFor(nodes[2], "/ready", true);
  // By now the store has been down for longer than the isolation limit.
  for (const auto& node : nodes) {
    deployment.WaitFor(node, "/ready", true);
    deployment.WaitFor(node, "/state/membership/alive", 3);
  }
  nodes[2].process->Signal(SIGTERM);
  CHECK(nodes[2].process->Wait() == 0);
}
