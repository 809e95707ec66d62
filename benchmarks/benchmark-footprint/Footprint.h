#pragma once

#include <map>
#include <string>
#include <vector>

#include "ProcessUse.h"
#include "support/TestSystem.h"

namespace toucanstand {

/// Size of a system whose idle resource use is measured.
struct SystemSize
{
  int entryVms = 6;
  int domains = 2;
  int enginesPerDomain = 10;
  int groupSize = 2;

  [[nodiscard]] int Engines() const { return this->domains * this->enginesPerDomain; }
  [[nodiscard]] int Groups() const
  {
    return this->domains * (this->enginesPerDomain / this->groupSize);
  }
};

/// Mean resource use of the processes of one program; rates are per second.
struct ProgramUse
{
  /// Processor time in percent of one core.
  double processorPercent = 0;
  double highestProcessorPercent = 0;
  double residentMegabytes = 0;
  double messagesSent = 0;
  double messagesReceived = 0;
  double kilobytesSent = 0;
  double kilobytesReceived = 0;
  double statePolls = 0;
  /// Store calls by the last segment of the path.
  std::map<std::string, double> storeCalls;
};

/// Resource use by program name, and calls per second received by the store, by path.
struct SystemUse
{
  std::map<std::string, ProgramUse> programs;
  std::map<std::string, double> storeCalls;
  /// Size in bytes of the body of an engine's response to `GET /state`.
  std::size_t stateBytes = 0;
  /// Size in bytes of the platform's list of servers and entry VMs.
  std::size_t platformListBytes = 0;
  /// Calls answered by the entry processes, per second and VM.
  double calls = 0;

  /// Kilobytes per second that a node sends to nodes of other VMs: its total minus what
  /// the entry and ledger processes of its own VM receive.
  [[nodiscard]] double KilobytesBetweenVms() const;
};

/// Measures the resource use of every process of a system over a period.
class UseMeter
{
public:
  explicit UseMeter(TestSystem& aSystem);

  void Begin();
  /// Ends the period. @returns the resource use since Begin()
  SystemUse End();

private:
  using Readings = std::map<std::string, std::vector<ProcessUse>>;

  [[nodiscard]] std::map<std::string, double> ReadStoreCallCounts();
  void ReadProcessCounters(Readings& aReadings);
  void ReadProcessorAndMemory(Readings& aReadings);

  TestSystem& system;
  std::map<std::string, std::vector<pid_t>> processes;
  Readings atStart;
  std::map<std::string, double> storeAtStart;
  TimePoint startedAt{};
};

/// Starts a system and waits until all its groups serve requests.
[[nodiscard]] std::unique_ptr<TestSystem> StartSystem(
  const SystemSize& aSize,
  std::vector<std::string> aEngineArguments = {});

/// Measures the resource use of an idle system over a few seconds.
[[nodiscard]] SystemUse MeasureIdle(const SystemSize& aSize);

} // namespace toucanstand
