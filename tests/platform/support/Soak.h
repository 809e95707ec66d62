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
class Soak
{
public:
  static constexpr int kVms = 3;
  static constexpr int kEngines = 6;
  static constexpr int kCallers = 6;

  explicit Soak(std::uint64_t aSeed);
  ~Soak();
  Soak(const Soak&) = delete;
  Soak& operator=(const Soak&) = delete;

  /// Lets that many faults strike, one after the other and overlapping.
  void Run(int aFaults);

  /// Ends all faults and waits until every VM serves again.
  /// @returns false when one does not
  bool Recover();

  /// Ends the callers. @returns broken promises, one line each, from what callers and
  /// servers have seen
  [[nodiscard]] std::vector<std::string> BrokenPromises();

  /// Requests that were answered with success, and all.
  [[nodiscard]] std::size_t Answered();
  [[nodiscard]] std::size_t Asked();

private:
  enum class Kind
  {
    Generation,
    Hold,
    Look,
  };

  /// What a caller asked and got.
  struct Request
  {
    std::string attempt;
    Kind kind = Kind::Look;
    /// 0 when the exchange failed.
    int status = 0;
    std::string body;
    bool isSigned = false;
    std::string answersAttempt;
  };

  struct Vm
  {
    std::unique_ptr<ServerUnderTest> server;
    std::size_t proxy = 0;
    bool paused = false;
    bool stopping = false;
  };

  using Fault = void (Soak::*)();

  void Call(int aCaller);
  void StopCallers();
  [[nodiscard]] Request Ask(HttpCaller& aCaller, Vm& aVm, Kind aKind, std::string aName);
  void AwaitRequests(std::size_t aCount);

  void PauseVm();
  void ResumeVms();
  void KillVm();
  void StopVm();
  void RestartStopped();
  void RefuseStoreCalls();
  void LoseStoreAnswers();
  void ForgetHistory();
  void CutStore();
  void SilenceStore();
  void HealStore();
  void BreakRuns();
  void SpoilAnswers();
  void RejectRequests();
  void ChangeConfiguration();
  void EndServer();

  Vm& AnyVm() { return this->vms.at(this->random.Below(this->vms.size())); }
  EngineStandin& AnyServer();
  void ProxyFault(std::size_t aIndex, const std::string& aFault);
  [[nodiscard]] std::string Check(const Request& aRequest, std::size_t aRuns) const;

  Random random;
  PlatformStandin platform;
  std::unique_ptr<ProcessLauncher> proxyProcess;
  Endpoint proxyControl;
  HttpCaller control;
  std::vector<Vm> vms;
  std::int64_t version = 1;
  int ended = 0;

  std::mutex mutex;
  std::condition_variable changed;
  std::vector<Request> requests;
  std::atomic<bool> finished = false;
  std::vector<std::thread> callers;
  std::uint64_t seed;
};

} // namespace toucanstand
