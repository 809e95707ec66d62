#include "Footprint.h"

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <thread>
#include <utility>

#include "time/BootClock.h"

namespace toucanstand {

using namespace std::chrono_literals;

namespace {

constexpr const char* kStoreCalls = "store_calls_total{path=\"";
/// On a busy machine the formation of the groups can exceed the timeout of one wait.
constexpr int kStartAttempts = 4;
/// Time after the start in which the first snapshots and the joining of nodes complete.
constexpr auto kSettleTime = 1s;
constexpr auto kMeasurementPeriod = 4s;

std::string LastPathSegment(const std::string& aPath)
{
  const auto end = aPath.find_last_not_of("\"}");
  return aPath.substr(aPath.rfind('/') + 1, end - aPath.rfind('/'));
}

/// @param aUses increase over the period for each process of one program
ProgramUse MeanUse(const std::vector<ProcessUse>& aUses, double aSeconds)
{
  ProgramUse mean;
  const double share = 1.0 / (static_cast<double>(aUses.size()) * aSeconds);
  for (const auto& use : aUses) {
    const double processorPercent = 100 * use.processorSeconds / aSeconds;
    mean.processorPercent += processorPercent / static_cast<double>(aUses.size());
    mean.highestProcessorPercent =
      std::max(mean.highestProcessorPercent, processorPercent);
    mean.residentMegabytes += use.residentMegabytes / static_cast<double>(aUses.size());
    mean.messagesSent += use.Sum("messages_sent_total") * share;
    mean.messagesReceived += use.Sum("messages_received_total") * share;
    mean.kilobytesSent += use.Sum("message_bytes_sent_total") * share / 1000;
    mean.kilobytesReceived += use.Sum("message_bytes_received_total") * share / 1000;
    mean.statePolls += use.Sum("observer_polls_total") * share;
    for (const auto& [name, value] : use.counters) {
      if (name.starts_with(kStoreCalls) && value > 0) {
        mean.storeCalls[LastPathSegment(name)] += value * share;
      }
    }
  }
  return mean;
}

} // namespace

double SystemUse::KilobytesBetweenVms() const
{
  return this->programs.at("toucanstand-node").kilobytesSent -
         this->programs.at("toucanstand-entry").kilobytesReceived -
         this->programs.at("toucanstand-ledger").kilobytesReceived;
}

UseMeter::UseMeter(TestSystem& aSystem)
  : system(aSystem)
{
  for (const auto& vm : this->system.vms) {
    for (const auto& [program, endpoint] : vm.operators) {
      this->processes[program].push_back(ProcessIdOf(this->system.caller, endpoint));
    }
  }
}

void UseMeter::Begin()
{
  this->ReadProcessCounters(this->atStart);
  this->storeAtStart = this->ReadStoreCallCounts();
  this->startedAt = BootClock::now();
  this->ReadProcessorAndMemory(this->atStart);
}

SystemUse UseMeter::End()
{
  Readings atEnd;
  for (const auto& [program, ids] : this->processes) {
    atEnd[program].resize(ids.size());
  }
  const double seconds = ToSeconds(BootClock::now() - this->startedAt);
  // Processor time is read before the counters because answering `/state` uses some.
  this->ReadProcessorAndMemory(atEnd);
  const auto storeAtEnd = this->ReadStoreCallCounts();
  this->ReadProcessCounters(atEnd);

  SystemUse result;
  for (const auto& [program, uses] : atEnd) {
    std::vector<ProcessUse> growth;
    std::ranges::transform(uses,
                           this->atStart.at(program),
                           std::back_inserter(growth),
                           [](const ProcessUse& aEnd, const ProcessUse& aStart) {
                             return aEnd.Since(aStart);
                           });
    result.programs[program] = MeanUse(growth, seconds);
    for (const auto& use : growth) {
      result.calls +=
        use.Sum("calls_total") / (seconds * static_cast<double>(this->system.vms.size()));
    }
  }
  for (const auto& [path, count] : storeAtEnd) {
    result.storeCalls[LastPathSegment(path)] +=
      (count - this->storeAtStart[path]) / seconds;
  }
  const auto& servers = this->system.platformList["servers"];
  const auto engine =
    Endpoint::Parse(servers.front()["address"].get_ref<const std::string&>());
  const auto answer = this->system.caller.Call(*engine, "GET", "/state");
  result.stateBytes = answer ? answer->body.size() : 0;
  result.platformListBytes = this->system.platformList.dump().size();
  return result;
}

std::map<std::string, double> UseMeter::ReadStoreCallCounts()
{
  return this->system.caller.Json(this->system.store, "GET", "/log")["calls"]
    .get<std::map<std::string, double>>();
}

void UseMeter::ReadProcessCounters(Readings& aReadings)
{
  for (const auto& [program, ids] : this->processes) {
    aReadings[program].resize(ids.size());
    for (std::size_t index = 0; index < ids.size(); ++index) {
      aReadings[program][index].counters =
        ReadCounters(this->system.caller, this->system.vms[index].operators.at(program));
    }
  }
}

void UseMeter::ReadProcessorAndMemory(Readings& aReadings)
{
  for (const auto& [program, ids] : this->processes) {
    for (std::size_t index = 0; index < ids.size(); ++index) {
      const auto read = ReadProcess(ids[index]);
      aReadings[program][index].processorSeconds = read.processorSeconds;
      aReadings[program][index].residentMegabytes = read.residentMegabytes;
    }
  }
}

std::unique_ptr<TestSystem> StartSystem(const SystemSize& aSize,
                                        std::vector<std::string> aEngineArguments)
{
  TestSystemOptions options;
  options.entryVms = aSize.entryVms;
  options.domains = aSize.domains;
  options.enginesPerDomain = aSize.enginesPerDomain;
  options.groupSize = aSize.groupSize;
  options.engineArguments = std::move(aEngineArguments);
  auto system = std::make_unique<TestSystem>(options);
  for (int attempt = 1;; ++attempt) {
    try {
      system->WaitForCandidates(aSize.Groups() + options.services);
      return system;
    } catch (const std::runtime_error&) {
      if (attempt == kStartAttempts) {
        throw;
      }
    }
  }
}

SystemUse MeasureIdle(const SystemSize& aSize)
{
  const auto system = StartSystem(aSize);
  std::this_thread::sleep_for(kSettleTime);
  UseMeter meter(*system);
  meter.Begin();
  std::this_thread::sleep_for(kMeasurementPeriod);
  return meter.End();
}

} // namespace toucanstand
