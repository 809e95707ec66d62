#include "TestSystem.h"

#include <algorithm>
#include <array>

#include "store/Base64.h"

namespace toucanstand {

using nlohmann::json;

namespace {

constexpr std::array kPrograms = { "toucanstand-node",
                                   "toucanstand-groups",
                                   "toucanstand-ledger",
                                   "toucanstand-entry" };
constexpr std::array kZones = { "zone-a", "zone-b", "zone-c" };

json DefaultConfiguration(int aGroupSize)
{
  return json::parse(R"({
    "revision": 1, "author": "test", "nonce": "initial", "exceptions": [],
    "defaults": {
      "contracts": [
        {"name": "assistant", "pathPrefix": "/v1/chat/completions", "pool": "assistant",
         "repeatability": "idempotent", "timeoutMs": 20000},
        {"name": "catalogue", "pathPrefix": "/catalogue/", "pool": "stock",
         "repeatability": "idempotent", "timeoutMs": 5000},
        {"name": "orders", "pathPrefix": "/orders", "pool": "stock",
         "repeatability": "only-once", "timeoutMs": 5000},
        {"name": "payments", "pathPrefix": "/payments", "pool": "stock",
         "repeatability": "only-once", "timeoutMs": 5000}
      ],
      "groups": [{"pool": "assistant", "size": )" +
                     std::to_string(aGroupSize) + R"(, "model": "m-1"}]
    }})");
}

} // namespace

TestSystem::TestSystem(TestSystemOptions aOptions)
  : configuration(DefaultConfiguration(aOptions.groupSize))
  , options(std::move(aOptions))
{
  this->configuration.update(this->options.configuration, true);
  this->StartStandins();
  for (int index = 0; index < this->options.entryVms; ++index) {
    this->MakeVm(index);
  }
  if (this->options.proxiedVm >= 0) {
    this->StartProxy();
  }
  this->DescribeBackends();
  this->Put("/toucanstand/configuration", this->configuration.dump());
  this->Put("/platform/vms", this->platformList.dump());
  for (auto& vm : this->vms) {
    std::ranges::for_each(kPrograms,
                          [&](const char* aProgram) { this->Start(vm, aProgram); });
  }
}

void TestSystem::Start(EntryVm& aVm, const std::string& aProgram)
{
  auto& settings = aVm.settings[aProgram];
  if (!settings) {
    settings = std::make_unique<SettingsFile>(this->SettingsOf(aVm, aProgram));
  }
  aVm.processes[aProgram] = std::make_unique<ProcessLauncher>(
    aProgram, std::vector<std::string>{ settings->Option(), "--log-level=warn" });
}

void TestSystem::Kill(EntryVm& aVm, const std::string& aProgram)
{
  aVm.processes.erase(aProgram);
}

void TestSystem::WaitForCandidates(int aCount)
{
  this->WaitForEntries([aCount](const json& aState) {
    return aState["ready"] == true && aState["state"]["candidates"] == aCount;
  });
}

void TestSystem::WaitForEntries(const std::function<bool(const json&)>& aCondition)
{
  for (auto& vm : this->vms) {
    if (vm.processes.contains("toucanstand-entry")) {
      this->caller.WaitFor(vm.operators["toucanstand-entry"], "/state", aCondition);
    }
  }
}

void TestSystem::Put(const std::string& aKey, const std::string& aValue)
{
  const json body = { { "key", EncodeBase64(aKey) }, { "value", EncodeBase64(aValue) } };
  this->caller.Json(this->store, "POST", "/v3/kv/put", body.dump());
}

void TestSystem::SetStoreFault(const json& aFault)
{
  this->caller.Json(this->store, "POST", "/fault", aFault.dump());
}

void TestSystem::SetEngineFault(int aDomain, const json& aFault)
{
  this->caller.Json(this->engineControls.at(static_cast<std::size_t>(aDomain)),
                    "POST",
                    "/fault",
                    aFault.dump());
}

void TestSystem::SignalEngines(int aDomain, int aSignal)
{
  this->engineProcesses.at(static_cast<std::size_t>(aDomain))->Signal(aSignal);
}

void TestSystem::SetServiceFault(const json& aFault)
{
  this->caller.Json(this->serviceControl, "POST", "/fault", aFault.dump());
}

void TestSystem::SetProxyFault(const json& aFault)
{
  this->caller.Json(this->proxyControl, "POST", "/fault", aFault.dump());
}

json TestSystem::EngineLog(int aDomain)
{
  return this->caller.Json(
    this->engineControls.at(static_cast<std::size_t>(aDomain)), "GET", "/log");
}

json TestSystem::ServiceLog()
{
  return this->caller.Json(this->serviceControl, "GET", "/log");
}

Result<HttpResponse, HttpFailure> TestSystem::Chat(int aVm,
                                                   const std::string& aQuestion,
                                                   int aTokens,
                                                   bool aStream)
{
  return this->caller.Call(this->vms.at(static_cast<std::size_t>(aVm)).callers,
                           "POST",
                           "/v1/chat/completions",
                           ChatBody(aQuestion, aTokens, aStream).dump());
}

json TestSystem::ChatBody(const std::string& aQuestion, int aTokens, bool aStream)
{
  return { { "messages", { { { "role", "user" }, { "content", aQuestion } } } },
           { "max_tokens", aTokens },
           { "stream", aStream } };
}

void TestSystem::StartStandins()
{
  this->storeProcess = std::make_unique<ProcessLauncher>(
    "standin-store", std::vector<std::string>{ "--listen=127.0.0.1:0" });
  this->store = this->storeProcess->ReadEndpoint();
  json servers = json::array();
  for (int domain = 0; domain < this->options.domains; ++domain) {
    const std::string name = "d" + std::to_string(domain);
    std::vector<std::string> arguments = {
      "--listen=127.0.0.1:0", "--control=127.0.0.1:0",
      "--name=" + name,       "--count=" + std::to_string(this->options.enginesPerDomain),
      "--report-lag-ms=50",   "--load-ms=50",
      "--prefill-ms=5",
    };
    arguments.insert(arguments.end(),
                     this->options.engineArguments.begin(),
                     this->options.engineArguments.end());
    auto process = std::make_unique<ProcessLauncher>("standin-engine", arguments);
    for (int index = 0; index < this->options.enginesPerDomain; ++index) {
      servers.push_back(
        { { "id", name + "-" + std::to_string(index) },
          { "pool", "assistant" },
          { "zone", kZones.at(static_cast<std::size_t>(domain) % kZones.size()) },
          { "domain", name },
          { "address", process->ReadEndpoint().Text() },
          { "kind", "engine" },
          { "fencing", "checked" },
          { "leaving", false } });
    }
    this->engineControls.push_back(process->ReadEndpoint("control"));
    this->engineProcesses.push_back(std::move(process));
  }
  std::vector<std::string> arguments = {
    "--listen=127.0.0.1:0",
    "--control=127.0.0.1:0",
    "--count=" + std::to_string(this->options.services),
  };
  arguments.insert(arguments.end(),
                   this->options.serviceArguments.begin(),
                   this->options.serviceArguments.end());
  this->serviceProcess = std::make_unique<ProcessLauncher>("standin-service", arguments);
  for (int index = 0; index < this->options.services; ++index) {
    servers.push_back({ { "id", "service-" + std::to_string(index) },
                        { "pool", "stock" },
                        { "zone", kZones.at(static_cast<std::size_t>(index) % 3) },
                        { "domain", "" },
                        { "address", this->serviceProcess->ReadEndpoint().Text() },
                        { "kind", "service" },
                        { "fencing", "ignored" },
                        { "leaving", false } });
  }
  this->serviceControl = this->serviceProcess->ReadEndpoint("control");
  this->platformList["servers"] = std::move(servers);
}

void TestSystem::StartProxy()
{
  auto& vm = this->vms.at(static_cast<std::size_t>(this->options.proxiedVm));
  this->proxyProcess = std::make_unique<ProcessLauncher>(
    "fault-proxy",
    std::vector<std::string>{ "--control=127.0.0.1:0",
                              "--map=127.0.0.1:0=" + vm.node.Text(),
                              "--map=127.0.0.1:0=" + this->store.Text() });
  vm.node = this->proxyProcess->ReadEndpoint();
  vm.store = this->proxyProcess->ReadEndpoint();
  this->proxyControl = this->proxyProcess->ReadEndpoint("control");
}

void TestSystem::DescribeBackends()
{
  json entryVms = json::array();
  for (std::size_t index = 0; index < this->vms.size(); ++index) {
    entryVms.push_back({ { "id", this->vms[index].id },
                         { "zone", kZones.at(index % kZones.size()) },
                         { "node", this->vms[index].node.Text() } });
  }
  this->platformList["entry_vms"] = std::move(entryVms);
}

void TestSystem::MakeVm(int aIndex)
{
  EntryVm vm;
  vm.id = "vm-" + std::to_string(aIndex);
  vm.node = this->ports.Reserve();
  vm.store = this->store;
  vm.callers = this->ports.Reserve();
  for (const std::string program : kPrograms) {
    vm.operators[program] = this->ports.Reserve();
    vm.messages[program] = this->ports.Reserve();
  }
  vm.messages["toucanstand-node"] = vm.node;
  this->vms.push_back(std::move(vm));
}

json TestSystem::SettingsOf(const EntryVm& aVm, const std::string& aProgram) const
{
  const std::string zone = kZones.at(static_cast<std::size_t>(aVm.id.back() - '0') % 3);
  const auto& local = aVm.messages.at("toucanstand-node");
  json settings = { { "id", aVm.id }, { "operator", aVm.operators.at(aProgram).Text() } };
  if (aProgram == "toucanstand-node") {
    settings["zone"] = zone;
    settings["node"] = aVm.node.Text();
    if (aVm.node != local) {
      settings["listen"] = local.Text();
    }
    settings["store"] = aVm.store.Text();
    settings["seeds"] = this->platformList["entry_vms"];
  } else if (aProgram == "toucanstand-groups") {
    settings["store"] = aVm.store.Text();
    settings["domains"] = json::array();
    for (int domain = 0; domain < this->options.domains; ++domain) {
      settings["domains"].push_back("d" + std::to_string(domain));
    }
    const int groups = this->options.enginesPerDomain / this->options.groupSize;
    settings["pools"] = json::array({ { { "pool", "assistant" },
                                        { "group_size", this->options.groupSize },
                                        { "groups_per_domain", groups },
                                        { "model", "m-1" } } });
  } else if (aProgram == "toucanstand-ledger") {
    settings["messages"] = aVm.messages.at(aProgram).Text();
    settings["node"] = local.Text();
    settings["store"] = { { "address", aVm.store.Text() } };
    settings["store"].update(this->options.ledgerStore);
  } else {
    settings["zone"] = zone;
    settings["listen"] = aVm.callers.Text();
    settings["messages"] = aVm.messages.at(aProgram).Text();
    settings["node"] = local.Text();
    settings["ledger"] = aVm.messages.at("toucanstand-ledger").Text();
    settings.update(this->options.entrySettings);
  }
  return settings;
}

} // namespace toucanstand
