#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "random/Random.h"
#include "support/PlatformStandin.h"

namespace toucanstand {

/// Runs toucanstand-server processes against a platform stand-in under load and injects
/// random faults: signals, restarts, network faults of a proxy in front of the store, and
/// failing backend servers.
///
/// The seed determines the faults. The next fault follows after a number of finished
/// requests instead of after a time.
class SoakTest
{
public:
  static constexpr int kVmCount = 3;
  static constexpr int kEngineCount = 6;
  static constexpr int kCallerCount = 6;

  explicit SoakTest(std::uint64_t aSeed);
  ~SoakTest();
  SoakTest(const SoakTest&) = delete;
  SoakTest& operator=(const SoakTest&) = delete;

  /// Injects this many faults, one after the other. Earlier faults may still be in
  /// effect.
  void Run(int aFaults);

  /// Clears all faults and sends requests to each VM until one succeeds.
  /// @returns false when a VM does not serve again within 20 s
  bool Recover();

  /// Stops the callers and compares their responses with the runs that the backend
  /// servers recorded. @returns a line for each request that violates a guarantee
  [[nodiscard]] std::vector<std::string> FindViolations();

  /// Number of requests that got status 200.
  [[nodiscard]] std::size_t SuccessCount();
  /// Number of all finished requests, including failed ones.
  [[nodiscard]] std::size_t RequestCount();

private:
  enum class RequestKind
  {
    Generation,
    NonIdempotent,
    Idempotent,
  };

  /// A caller's request and its response.
  struct RequestRecord
  {
    std::string attemptId;
    RequestKind kind = RequestKind::Idempotent;
    /// HTTP status; 0 when no complete response arrived.
    int status = 0;
    std::string body;
    bool isSigned = false;
    std::string answeredAttemptId;
  };

  struct Vm
  {
    std::unique_ptr<ServerUnderTest> server;
    std::size_t proxyMapping = 0;
    bool isPaused = false;
    bool isTerminating = false;
  };

  using FaultInjector = void (SoakTest::*)();

  void RunCaller(int aCaller);
  void StopCallers();
  [[nodiscard]] RequestRecord PerformRequest(HttpCaller& aCaller,
                                             Vm& aVm,
                                             RequestKind aKind,
                                             std::string aName);
  void WaitForRequests(std::size_t aCount);

  void PauseVm();
  void ResumeVms();
  void KillVm();
  void TerminateVm();
  void RestartTerminatingVms();
  void RejectStoreCalls();
  void DropStoreResponses();
  void CompactStoreHistory();
  void DisconnectStore();
  void StallStoreConnections();
  void ClearStoreFaults();
  void AbortStreams();
  void FalsifyResponseHeaders();
  void RejectRequests();
  void ChangeConfiguration();
  void RemoveEngine();

  Vm& RandomVm() { return this->vms.at(this->random.Below(this->vms.size())); }
  BackendServerStandin& RandomServer();
  void SetProxyFault(std::size_t aIndex, const std::string& aFault);
  /// @returns the violated guarantee, or an empty text
  [[nodiscard]] std::string FindViolation(const RequestRecord& aRequest,
                                          std::size_t aRuns) const;

  Random random;
  PlatformStandin platform;
  std::unique_ptr<ProcessLauncher> proxyProcess;
  Endpoint proxyControlEndpoint;
  HttpCaller proxyCaller;
  std::vector<Vm> vms;
  std::int64_t version = 1;
  int removedEngines = 0;

  std::mutex mutex;
  std::condition_variable requestRecorded;
  std::vector<RequestRecord> requests;
  std::atomic<bool> callersMustStop = false;
  std::vector<std::thread> callers;
  std::uint64_t seed;
};

} // namespace toucanstand
