#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "support/HttpCaller.h"
#include "support/ProcessLauncher.h"
#include "support/ReservedPorts.h"
#include "support/SettingsFile.h"

namespace toucanstand {

/// Size and behaviour of a TestSystem.
struct TestSystemOptions
{
  int entryVms = 3;
  int domains = 2;
  int enginesPerDomain = 5;
  int groupSize = 2;
  int services = 3;
  /// Index of the entry VM that other VMs reach, and that reaches the store, through a
  /// fault-proxy; -1 for none.
  int proxiedVm = -1;
  /// Further arguments of each standin-engine process.
  std::vector<std::string> engineArguments;
  /// Further arguments of the standin-service process.
  std::vector<std::string> serviceArguments;
  /// Further settings of each toucanstand-entry process.
  nlohmann::json entrySettings = nlohmann::json::object();
  /// Further settings of each toucanstand-ledger process under `store`.
  nlohmann::json ledgerStore = nlohmann::json::object();
  /// Merged into the initial configuration.
  nlohmann::json configuration = nlohmann::json::object();
};

/// A whole system of real processes on loopback: a store, one engine process for each
/// fabric domain, a service process, and the four programs on each entry VM.
///
/// What a check says about runs and orders comes from the stand-ins' logs.
class TestSystem
{
public:
  /// The processes of one entry VM. Any of them may be missing.
  struct EntryVm
  {
    std::string id;
    /// Where other VMs reach the node; it listens on its messages endpoint.
    Endpoint node;
    /// Where this VM reaches the store.
    Endpoint store;
    Endpoint callers;
    std::map<std::string, Endpoint> operators;
    std::map<std::string, Endpoint> messages;
    std::map<std::string, std::unique_ptr<SettingsFile>> settings;
    std::map<std::string, std::unique_ptr<ProcessLauncher>> processes;
  };

  explicit TestSystem(TestSystemOptions aOptions = {});

  /// Starts a program of a VM, again after it was stopped.
  void Start(EntryVm& aVm, const std::string& aProgram);
  /// Kills a program of a VM.
  void Kill(EntryVm& aVm, const std::string& aProgram);

  /// Waits until every entry VM is ready and sees this many candidates.
  void WaitForCandidates(int aCount);
  /// Waits until the state of each running entry process fulfils a condition.
  void WaitForEntries(const std::function<bool(const nlohmann::json&)>& aCondition);

  /// Writes a key of the store as the platform or an operator would.
  void Put(const std::string& aKey, const std::string& aValue);
  /// Sets the faults of the store, for example `{"down":true}`.
  void SetStoreFault(const nlohmann::json& aFault);
  /// Sends a signal to the engine process of a domain.
  void SignalEngines(int aDomain, int aSignal);
  void SetEngineFault(int aDomain, const nlohmann::json& aFault);
  /// Sets the faults of the services, for example `{"close_after_effect":1}`.
  void SetServiceFault(const nlohmann::json& aFault);

  /// Sets the faults of the proxied VM's mappings. Mapping 0 brings it the messages of
  /// the other nodes, mapping 1 is its way to the store.
  void SetProxyFault(const nlohmann::json& aFault);

  /// Log of one engine process.
  nlohmann::json EngineLog(int aDomain);
  nlohmann::json ServiceLog();

  /// A chat through a VM; the caller's view of the answer.
  Result<HttpResponse, HttpFailure> Chat(int aVm,
                                         const std::string& aQuestion,
                                         int aTokens,
                                         bool aStream = false);

  /// Body of a chat request.
  static nlohmann::json ChatBody(const std::string& aQuestion, int aTokens, bool aStream);

  HttpCaller caller;
  std::vector<EntryVm> vms;
  nlohmann::json configuration;
  nlohmann::json platformList;
  Endpoint store;

private:
  void StartStandins();
  void StartProxy();
  void DescribeBackends();
  void MakeVm(int aIndex);
  [[nodiscard]] nlohmann::json SettingsOf(const EntryVm& aVm,
                                          const std::string& aProgram) const;

  ReservedPorts ports;
  TestSystemOptions options;
  std::unique_ptr<ProcessLauncher> storeProcess;
  std::vector<std::unique_ptr<ProcessLauncher>> engineProcesses;
  std::vector<Endpoint> engineControls;
  std::unique_ptr<ProcessLauncher> proxyProcess;
  Endpoint proxyControl;
  std::unique_ptr<ProcessLauncher> serviceProcess;
  Endpoint serviceControl;
};

} // namespace toucanstand
