#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "random/Random.h"
#include "support/PlatformStandin.h"
#include "support/SoakCaller.h"
#include "support/SoakVerdict.h"

namespace toucanstand {

/// Runs toucanstand-server processes against a platform stand-in under load and injects
/// random faults: signals, restarts, network faults of a proxy in front of the store, and
/// failing backend servers.
///
/// The seed determines the faults, the length of streams and of the stop period, and how
/// callers use their connections. The next fault follows after a number of finished
/// requests instead of after a time.
class SoakTest
{
public:
  struct Scale
  {
    int vms = 3;
    int engines = 6;
    int callers = 12;
    SoakCaller::Manners manners = SoakCaller::Manners::Any;
    /// Places servers in a second zone, which Run() evacuates and takes back beside the
    /// other faults.
    bool hasEvacuations = false;
  };

  /// @param aServerProgram name of the program that the VMs run
  SoakTest(std::uint64_t aSeed, Scale aScale, const std::string& aServerProgram);
  ~SoakTest();
  SoakTest(const SoakTest&) = delete;
  SoakTest& operator=(const SoakTest&) = delete;

  /// Injects this many faults, one after the other. Earlier faults may still be in
  /// effect.
  void Run(int aFaults);

  /// Replaces the processes one after the other with those of another program, each under
  /// load and beside other faults, and waits until it is ready.
  void ReplacePrograms(const std::string& aServerProgram);

  /// Crashes an engine of each of two groups and waits until the engines that are left of
  /// them form a new group.
  /// @returns false if the groups are not complete within 20 s, before or after
  bool FormNewGroup();

  /// Clears all faults and sends requests to each VM until one succeeds.
  /// @returns false when a VM, or the zone that was evacuated, does not serve again
  /// within 20 s
  bool Recover();

  /// Stops all VMs at once and then the callers, and compares what they saw with the runs
  /// that the backend servers recorded.
  /// @param aEarlierPrograms see SoakVerdict::Facts
  [[nodiscard]] SoakVerdict Judge(std::set<std::string> aEarlierPrograms = {});

  /// Number of requests that got status 200.
  [[nodiscard]] std::size_t SuccessCount();
  /// Number of runs that began in the other zone while nothing could begin in the
  /// evacuated one any more. Without them, a seed says nothing of evacuations.
  [[nodiscard]] std::size_t RunsBesideEvacuations();
  /// Number of all finished requests, including failed ones.
  [[nodiscard]] std::size_t RequestCount();
  /// Number of whole answers other than 200, by status and reason.
  [[nodiscard]] std::map<std::string, std::size_t> Refusals();
  /// Number of log lines with the event, by the program that wrote them. Knows the
  /// processes that have ended.
  [[nodiscard]] std::map<std::string, std::size_t> EventCounts(
    const std::string& aEvent) const;
  /// Directory of the VMs' logs.
  [[nodiscard]] const std::string& Logs() const { return this->logDirectory; }

private:
  struct Vm
  {
    std::size_t proxyMapping = 0;
    bool isPaused = false;
    SoakTime pausedAt;
    /// Since when the store gives it no answers.
    std::optional<SoakTime> withoutStoreSince;
    std::vector<SoakInterval> storeOutages;
    std::string logFile;
    /// Bytes of the log that earlier processes wrote.
    std::size_t logBytes = 0;
    /// Waits in its destructor for the end of the server's process.
    std::future<SoakTime> end;
    std::unique_ptr<ServerUnderTest> server;
    SoakLife life;
  };

  using FaultInjector = void (SoakTest::*)();

  void RunCaller(int aCaller);
  void StopCallers();
  /// @returns false when callers must stop
  bool Record(SoakRequest aRequest);
  void WaitForRequests(std::size_t aCount);
  void SetStreamDurations(std::chrono::milliseconds aLongest);
  [[nodiscard]] static nlohmann::json ConfigurationChange();

  static void BeginLife(Vm& aVm);
  /// Waits for the end of a process that got the signal, records it and starts the next.
  void EndLife(Vm& aVm, int aSignal);
  static void Terminate(Vm& aVm);
  /// Does nothing while another VM is paused.
  void Pause(Vm& aVm);
  static void Resume(Vm& aVm);
  [[nodiscard]] static bool HasStarted(const Vm& aVm);
  [[nodiscard]] static std::string ReadLog(const Vm& aVm);

  void PauseVm();
  void ResumeVms();
  void KillVm();
  void TerminateVm();
  void TerminateTwoVms();
  void TerminateDuringReload();
  void PauseDuringDrain();
  void ChangeConfigurationDuringDrain();
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

  void PlaceServers();
  [[nodiscard]] bool IsInEvacuatedZone(const std::string& aServer) const;
  /// Evacuates the zone or takes it back when that is due and the store answers. Draws
  /// from a generator of its own, so that the other faults of a seed stay as they are.
  void ChangeEvacuation();
  void EvacuateZone();
  void TakeZoneBack();
  /// @returns false if nothing runs in the zone before the deadline
  bool AwaitRunInZone(SoakTime aDeadline);
  static void BeginStoreOutage(Vm& aVm);
  static void EndStoreOutage(Vm& aVm);

  Vm& RandomVm() { return this->vms.at(this->random.Below(this->vms.size())); }
  BackendServerStandin& RandomServer();
  /// @returns false if there are fewer after 20 s
  bool AwaitCompleteGroups(std::size_t aCount);
  /// Waits until the VM reports that it is ready.
  void AwaitReadiness(Vm& aVm);
  void SetProxyFault(std::size_t aIndex, const std::string& aFault);

  Random random;
  Scale scale;
  std::chrono::milliseconds stopPeriod;
  std::chrono::milliseconds longestStream;
  std::size_t eventPadding;
  PlatformStandin platform;
  std::unique_ptr<ProcessLauncher> proxyProcess;
  Endpoint proxyControlEndpoint;
  HttpCaller proxyCaller;
  std::vector<Vm> vms;
  /// Processes that have ended.
  std::vector<SoakLife> endedLives;
  /// Violations that were seen while the test ran.
  std::vector<std::string> failures;
  std::string logDirectory;
  std::int64_t version = 1;
  int removedEngines = 0;
  Random evacuationRandom;
  /// Faults until the zone is evacuated or taken back.
  std::uint64_t faultsUntilChange;
  std::optional<SoakTime> evacuatedSince;
  bool storeRejectsCalls = false;
  std::vector<SoakInterval> evacuations;

  std::mutex mutex;
  std::condition_variable requestRecorded;
  std::vector<SoakRequest> requests;
  std::atomic<bool> callersMustStop = false;
  std::vector<std::thread> callers;
  std::uint64_t seed;
};

} // namespace toucanstand
