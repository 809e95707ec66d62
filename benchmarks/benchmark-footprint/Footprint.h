#pragma once

#include <map>
#include <string>
#include <vector>

#include "ProcessUse.h"
#include "support/TestSystem.h"

namespace toucanstand {

/// Size of a system whose idle use is measured.
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

/// Use per second and process of one program, mean over the entry VMs.
struct ProgramUse
{
  /// Percent of a core.
  double processorPercent = 0;
  double highestProcessorPercent = 0;
  double residentMegabytes = 0;
  double messagesSent = 0;
  double messagesReceived = 0;
  double kilobytesSent = 0;
  double kilobytesReceived = 0;
  double statePolls = 0;
  /// By the last part of the path of the call.
  std::map<std::string, double> storeCalls;
};

/// Use of all programs, by name, and calls per second at the store, by path.
struct SystemUse
{
  std::map<std::string, ProgramUse> programs;
  std::map<std::string, double> storeCalls;
  /// Bytes of the body of one answer of an engine to `GET /state`.
  std::size_t stateBytes = 0;
  /// Bytes of the platform's list of servers and entry VMs.
  std::size_t platformListBytes = 0;
  /// Calls answered by the entry processes, per second and VM.
  double calls = 0;

  /// Kilobytes per second that a node sends to nodes of other VMs: all that it sends but
  /// what the entry and the ledger of its own VM receive.
  [[nodiscard]] double KilobytesBetweenVms() const;
};

/// Reads the use of every process of a system at the start and the end of a period.
class UseMeter
{
public:
  explicit UseMeter(TestSystem& aSystem);

  void Begin();
  /// Ends the period. @returns the use per second since Begin()
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

/// Starts a system and waits until all its groups serve.
[[nodiscard]] std::unique_ptr<TestSystem> StartSystem(
  const SystemSize& aSize,
  std::vector<std::string> aEngineArguments = {});

/// Use of an idle system of a size over some seconds.
[[nodiscard]] SystemUse MeasureIdle(const SystemSize& aSize);

} // namespace toucanstand
