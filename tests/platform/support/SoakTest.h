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

/// Real processes on a platform stand-in, with callers and with faults from outside:
/// signals, restarts, a proxy before the store, and servers that fail.
///
/// Faults are paced by the number of requests that have ended, not by time, and are
/// chosen by the seed.
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

  /// Lets that many faults strike, one after the other and overlapping.
  void Run(int aFaults);

  /// Ends all faults and waits until every VM serves again.
  /// @returns false when one does not
  bool Recover();

  /// Ends the callers. @returns broken promises, one line each, from what callers and
  /// servers have seen
  [[nodiscard]] std::vector<std::string> FindViolations();

  /// Requests that were answered with success, and all.
  [[nodiscard]] std::size_t SuccessCount();
  [[nodiscard]] std::size_t RequestCount();

private:
  enum class RequestKind
  {
    Generation,
    NonIdempotent,
    Idempotent,
  };

  /// What a caller asked and got.
  struct RequestRecord
  {
    std::string attemptId;
    RequestKind kind = RequestKind::Idempotent;
    /// 0 when the exchange failed.
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
