#include "support/SoakTest.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <ranges>
#include <utility>

#include <unistd.h>

namespace toucanstand {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// Number of requests that finish between two faults: at least 8, at most 47. With 12
/// callers these are few for each, so that most faults overlap with the effects of the
/// one before.
constexpr std::size_t kMinRequestsBetweenFaults = 8;
constexpr std::size_t kExtraRequestsBetweenFaults = 40;
/// Number of requests that finish between the steps of one fault.
constexpr std::size_t kMaxRequestsBetweenSteps = 10;

/// The other zone has the last engines and one of two instances of the plain service. The
/// evacuated one is that of the VMs, as few requests leave it otherwise. Both keep a
/// group when RemoveEngine() has removed what it may.
constexpr int kEnginesInOtherZone = 2;
const std::string kEvacuatedZone = "zone-a";
const std::string kOtherZone = "zone-b";
const std::string kServiceInOtherZone = "stock-1";
const std::string kEvacuationKey = "op/evacuate/" + kEvacuatedZone;
/// Faults between two evacuations: 1 to 4.
constexpr std::uint64_t kMostFaultsBetweenEvacuations = 4;
/// Faults during an evacuation: 8 to 19. They take about 0.5 s each, so that most
/// evacuations outlast the bound.
constexpr std::uint64_t kFewestFaultsInEvacuation = 8;
constexpr std::uint64_t kExtraFaultsInEvacuation = 12;
/// One in so many orders is written again at once after it was withdrawn.
constexpr std::uint64_t kRenewedOrders = 4;
const std::string kNoProxyFault = R"("pass":true)";
/// Distinguishes the generator of evacuations from that of the other faults.
constexpr std::uint64_t kEvacuationSeed = 0x65766163;

constexpr int kEventCount = 40;
constexpr milliseconds kShortestEventInterval{ 10 };
/// Pause of a caller whose request failed, as real callers have it.
constexpr milliseconds kPauseAfterFailure{ 20 };
/// Time after which a process that does not end is killed. Longer than any stop period.
constexpr milliseconds kMaxWaitForEnd{ 20'000 };

constexpr std::array kStopPeriods = { milliseconds(2000),
                                      milliseconds(4000),
                                      milliseconds(8000) };
/// Shares of the stop period that the longest streams take.
constexpr std::array kLongestStreams = { 0.125, 0.5, 1.0 };
/// Shares of the longest stream.
constexpr std::array kStreams = { 0.0625, 0.25, 1.0 };
constexpr std::array<std::size_t, 2> kEventPaddings = { 0, 2000 };

template<typename Values>
auto Draw(Random& aRandom, const Values& aValues)
{
  return aValues.at(aRandom.Below(aValues.size()));
}

/// Directory of the VMs' logs.
std::string LogDirectory(std::uint64_t aSeed)
{
  const char* const directory = std::getenv("SOAK_LOGS");
  const auto parent = directory == nullptr ? std::filesystem::temp_directory_path()
                                           : std::filesystem::path(directory);
  const auto path =
    parent / ("soak-" + std::to_string(::getpid()) + "-seed-" + std::to_string(aSeed));
  std::filesystem::create_directories(path);
  return path.string();
}

} // namespace

SoakTest::SoakTest(std::uint64_t aSeed, Scale aScale, const std::string& aServerProgram)
  : random(aSeed)
  , scale(aScale)
  , stopPeriod(Draw(this->random, kStopPeriods))
  , longestStream(std::chrono::duration_cast<milliseconds>(
      Draw(this->random, kLongestStreams) * this->stopPeriod))
  , eventPadding(Draw(this->random, kEventPaddings))
  , platform(aScale.engines)
  , proxyCaller(std::chrono::seconds(2))
  , logDirectory(LogDirectory(aSeed))
  , evacuationRandom(aSeed ^ kEvacuationSeed)
  , faultsUntilChange(1 + this->evacuationRandom.Below(kMostFaultsBetweenEvacuations))
  , seed(aSeed)
{
  this->PlaceServers();
  this->SetStreamDurations(this->longestStream);
  this->platform.WriteConfiguration(++this->version, ConfigurationChange());
  std::vector<std::string> arguments = { "--control=127.0.0.1:0", "--log-level=warn" };
  for (int vm = 0; vm < this->scale.vms; ++vm) {
    arguments.push_back("--map=127.0.0.1:0=" + this->platform.Store().Address().Text());
  }
  this->proxyProcess = std::make_unique<ProcessLauncher>("fault-proxy", arguments);
  for (int number = 0; number < this->scale.vms; ++number) {
    const auto name = "vm-" + std::to_string(number);
    Vm vm;
    vm.proxyMapping = static_cast<std::size_t>(number);
    vm.logFile = this->logDirectory + "/" + name;
    vm.life.startedAt = steady_clock::now();
    vm.life.program = aServerProgram;
    vm.server = std::make_unique<ServerUnderTest>(
      this->platform,
      name,
      this->proxyProcess->ReadEndpoint(),
      this->stopPeriod,
      ServerUnderTest::Program{ aServerProgram, vm.logFile });
    BeginLife(vm);
    this->vms.push_back(std::move(vm));
  }
  this->proxyControlEndpoint = this->proxyProcess->ReadEndpoint("control");
  for (const auto& vm : this->vms) {
    vm.server->WaitForGroups(static_cast<std::size_t>(this->scale.engines) / 2);
  }
  for (int caller = 0; caller < this->scale.callers; ++caller) {
    this->callers.emplace_back([this, caller] { this->RunCaller(caller); });
  }
}

SoakTest::~SoakTest()
{
  this->StopCallers();
}

void SoakTest::SetStreamDurations(milliseconds aLongest)
{
  std::vector<milliseconds> intervals;
  for (int engine = 0; engine < this->scale.engines; ++engine) {
    const auto duration =
      std::chrono::duration_cast<milliseconds>(Draw(this->random, kStreams) * aLongest);
    intervals.push_back(std::max(duration / kEventCount, kShortestEventInterval));
  }
  this->platform.RunOnLoop([this, &intervals] {
    for (std::size_t number = 0; number < intervals.size(); ++number) {
      auto& engine = this->platform.BackendServer("engine-" + std::to_string(number));
      engine.eventInterval = intervals[number];
      engine.eventCount = kEventCount;
      engine.eventPadding = this->eventPadding;
    }
  });
}

json SoakTest::ConfigurationChange()
{
  auto routes = PlatformStandin::DefaultConfiguration(1)["Routes"];
  for (auto& route : routes) {
    route["TimeoutMs"] = milliseconds(SoakCaller::kDeadline).count();
  }
  return { { "Routes", std::move(routes) } };
}

void SoakTest::StopCallers()
{
  this->callersMustStop = true;
  for (auto& caller : std::exchange(this->callers, {})) {
    caller.join();
  }
}

void SoakTest::RunCaller(int aCaller)
{
  std::vector<Endpoint> endpoints;
  std::ranges::transform(this->vms, std::back_inserter(endpoints), [](const Vm& aVm) {
    return aVm.server->listenEndpoint;
  });
  SoakCaller caller(this->seed * 1000 + static_cast<std::uint64_t>(aCaller),
                    "c" + std::to_string(aCaller),
                    std::move(endpoints),
                    this->scale.manners);
  while (!this->callersMustStop) {
    const bool isSuccess = caller.UseConnection(
      [this](SoakRequest aRequest) { return this->Record(std::move(aRequest)); });
    if (!isSuccess) {
      std::this_thread::sleep_for(kPauseAfterFailure);
    }
  }
}

bool SoakTest::Record(SoakRequest aRequest)
{
  const std::scoped_lock lock(this->mutex);
  this->requests.push_back(std::move(aRequest));
  this->requestRecorded.notify_all();
  return !this->callersMustStop;
}

void SoakTest::WaitForRequests(std::size_t aCount)
{
  std::unique_lock lock(this->mutex);
  const auto target = this->requests.size() + aCount;
  this->requestRecorded.wait(lock, [&] { return this->requests.size() >= target; });
}

void SoakTest::Run(int aFaults)
{
  constexpr std::array<FaultInjector, 20> kFaults = {
    &SoakTest::PauseVm,
    &SoakTest::ResumeVms,
    &SoakTest::KillVm,
    &SoakTest::TerminateVm,
    &SoakTest::TerminateTwoVms,
    &SoakTest::TerminateDuringReload,
    &SoakTest::PauseDuringDrain,
    &SoakTest::ChangeConfigurationDuringDrain,
    &SoakTest::RestartTerminatingVms,
    &SoakTest::RejectStoreCalls,
    &SoakTest::DropStoreResponses,
    &SoakTest::CompactStoreHistory,
    &SoakTest::DisconnectStore,
    &SoakTest::StallStoreConnections,
    &SoakTest::ClearStoreFaults,
    &SoakTest::AbortStreams,
    &SoakTest::FalsifyResponseHeaders,
    &SoakTest::RejectRequests,
    &SoakTest::ChangeConfiguration,
    &SoakTest::RemoveEngine,
  };
  for (int number = 0; number < aFaults; ++number) {
    (this->*kFaults.at(this->random.Below(kFaults.size())))();
    this->WaitForRequests(kMinRequestsBetweenFaults +
                          this->random.Below(kExtraRequestsBetweenFaults));
    this->ChangeEvacuation();
  }
}

void SoakTest::ReplacePrograms(const std::string& aServerProgram)
{
  constexpr std::array<FaultInjector, 12> kFaults = {
    &SoakTest::KillVm,
    &SoakTest::KillVm,
    &SoakTest::TerminateVm,
    &SoakTest::PauseVm,
    &SoakTest::ResumeVms,
    &SoakTest::DropStoreResponses,
    &SoakTest::CompactStoreHistory,
    &SoakTest::DisconnectStore,
    &SoakTest::ClearStoreFaults,
    &SoakTest::AbortStreams,
    &SoakTest::RejectRequests,
    &SoakTest::ChangeConfiguration,
  };
  const auto injectFaults = [&] {
    for (auto count = this->random.Below(4); count > 0; --count) {
      (this->*kFaults.at(this->random.Below(kFaults.size())))();
      this->WaitForRequests(kMinRequestsBetweenFaults +
                            this->random.Below(kExtraRequestsBetweenFaults));
    }
  };
  for (auto& vm : this->vms) {
    injectFaults();
    this->ClearStoreFaults();
    Resume(vm);
    vm.server->SetProgram(aServerProgram);
    Terminate(vm);
    // A kill of this VM in its drain ends the process early.
    injectFaults();
    if (vm.life.terminatedAt) {
      this->EndLife(vm, SIGTERM);
    }
    this->ResumeVms();
    this->ClearStoreFaults();
    this->AwaitReadiness(vm);
  }
  this->RestartTerminatingVms();
}

void SoakTest::AwaitReadiness(Vm& aVm)
{
  const auto deadline = steady_clock::now() + std::chrono::seconds(20);
  while (steady_clock::now() < deadline) {
    const auto reply = this->proxyCaller.Call(aVm.server->readinessEndpoint, "GET", "/");
    if (reply && reply->status == 200) {
      return;
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
  this->failures.push_back("process of vm-" + std::to_string(aVm.proxyMapping) +
                           " was not ready within 20 s, program " + aVm.life.program);
}

bool SoakTest::FormNewGroup()
{
  std::vector<std::string> alive;
  this->platform.RunOnLoop([&] {
    for (int number = 0; number < this->scale.engines; ++number) {
      const auto name = "engine-" + std::to_string(number);
      if (this->platform.BackendServer(name).IsAlive()) {
        alive.push_back(name);
      }
    }
  });
  const auto groups = alive.size() / 2;
  if (!this->AwaitCompleteGroups(groups)) {
    return false;
  }
  std::map<std::string, std::string> lastMembers;
  this->platform.RunOnLoop([&] {
    for (const auto& name : alive) {
      lastMembers[this->platform.BackendServer(name).Group()] = name;
    }
  });
  for (const auto& [group, member] : lastMembers | std::views::take(2)) {
    this->platform.CrashServer(member);
    this->platform.DeleteRegistration(member);
  }
  return this->AwaitCompleteGroups(groups - 1);
}

bool SoakTest::AwaitCompleteGroups(std::size_t aCount)
{
  const auto deadline = steady_clock::now() + std::chrono::seconds(20);
  while (steady_clock::now() < deadline) {
    if (this->platform.CompleteGroupCount() >= aCount) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(50));
  }
  return false;
}

std::map<std::string, std::size_t> SoakTest::EventCounts(const std::string& aEvent) const
{
  const auto text = "\"event\":\"" + aEvent + "\"";
  std::map<std::string, std::size_t> counts;
  for (const auto& life : this->endedLives) {
    auto& count = counts[life.program];
    for (auto at = life.log.find(text); at != std::string::npos;
         at = life.log.find(text, at + text.size())) {
      ++count;
    }
  }
  return counts;
}

std::string SoakTest::ReadLog(const Vm& aVm)
{
  std::ifstream file(aVm.logFile);
  return { std::istreambuf_iterator<char>(file), {} };
}

void SoakTest::BeginLife(Vm& aVm)
{
  aVm.life.vm = aVm.proxyMapping;
  aVm.end = aVm.server->process->ObserveEnd();
}

void SoakTest::EndLife(Vm& aVm, int aSignal)
{
  Resume(aVm);
  const auto signalledAt = steady_clock::now();
  aVm.server->process->Signal(aSignal);
  if (aVm.end.wait_for(this->stopPeriod) != std::future_status::ready) {
    aVm.life.threadsAtLateEnd = aVm.server->process->DescribeThreads();
  }
  if (aVm.end.wait_for(kMaxWaitForEnd) != std::future_status::ready) {
    aVm.server->process->Signal(SIGKILL);
    this->failures.push_back("process of vm-" + std::to_string(aVm.proxyMapping) +
                             " did not end within 20 s after a signal");
  }
  aVm.life.endedAt = aVm.end.get();
  if (aSignal == SIGKILL) {
    // The kernel still takes connections for a process that it is killing.
    aVm.life.disturbances.emplace_back(signalledAt, *aVm.life.endedAt);
  }
  // The log of the life before may end in the same file.
  aVm.life.log = ReadLog(aVm).substr(aVm.logBytes);
  aVm.logBytes += aVm.life.log.size();
  const auto restartedAt = steady_clock::now();
  aVm.life.exitCode = aVm.server->Restart(aSignal);
  this->endedLives.push_back(std::exchange(aVm.life, SoakLife{}));
  aVm.life.program = aVm.server->ProgramName();
  aVm.life.startedAt = restartedAt;
  BeginLife(aVm);
}

void SoakTest::Terminate(Vm& aVm)
{
  // May hit a VM that is already terminating: a second SIGTERM must have no effect.
  if (!aVm.life.terminatedAt) {
    aVm.life.terminatedAt = steady_clock::now();
  }
  aVm.server->process->Signal(SIGTERM);
}

void SoakTest::Pause(Vm& aVm)
{
  if (std::ranges::none_of(this->vms, &Vm::isPaused)) {
    aVm.isPaused = true;
    aVm.pausedAt = steady_clock::now();
    aVm.server->process->Signal(SIGSTOP);
  }
}

void SoakTest::Resume(Vm& aVm)
{
  if (std::exchange(aVm.isPaused, false)) {
    aVm.server->process->Signal(SIGCONT);
    aVm.life.disturbances.emplace_back(aVm.pausedAt, steady_clock::now());
  }
}

bool SoakTest::HasStarted(const Vm& aVm)
{
  return ReadLog(aVm).find(R"("event":"start")", aVm.logBytes) != std::string::npos;
}

void SoakTest::PauseVm()
{
  auto& vm = this->RandomVm();
  if (!vm.life.terminatedAt) {
    this->Pause(vm);
  }
}

void SoakTest::ResumeVms()
{
  std::ranges::for_each(this->vms, &SoakTest::Resume);
}

void SoakTest::KillVm()
{
  this->EndLife(this->RandomVm(), SIGKILL);
}

void SoakTest::TerminateVm()
{
  auto& vm = this->RandomVm();
  if (!vm.isPaused) {
    Terminate(vm);
  }
}

void SoakTest::TerminateTwoVms()
{
  const auto first = this->random.Below(this->vms.size());
  const auto second = (first + 1) % this->vms.size();
  for (auto* vm : { &this->vms[first], &this->vms[second] }) {
    if (!vm->isPaused) {
      Terminate(*vm);
    }
  }
}

void SoakTest::TerminateDuringReload()
{
  auto& vm = this->RandomVm();
  // Until it has started, SIGHUP ends a process.
  if (!vm.isPaused && HasStarted(vm)) {
    vm.server->process->Signal(SIGHUP);
    Terminate(vm);
    vm.server->process->Signal(SIGHUP);
    this->WaitForRequests(this->random.Below(kMaxRequestsBetweenSteps));
    Terminate(vm);
  }
}

void SoakTest::PauseDuringDrain()
{
  auto& vm = this->RandomVm();
  if (!vm.isPaused) {
    Terminate(vm);
    this->WaitForRequests(this->random.Below(kMaxRequestsBetweenSteps));
    this->Pause(vm);
    this->WaitForRequests(this->random.Below(kMaxRequestsBetweenSteps));
    Resume(vm);
  }
}

void SoakTest::ChangeConfigurationDuringDrain()
{
  this->TerminateVm();
  this->WaitForRequests(this->random.Below(kMaxRequestsBetweenSteps));
  this->ChangeConfiguration();
}

void SoakTest::RestartTerminatingVms()
{
  for (auto& vm : this->vms) {
    if (vm.life.terminatedAt) {
      this->EndLife(vm, SIGTERM);
    }
  }
}

void SoakTest::RejectStoreCalls()
{
  std::ranges::for_each(this->vms, &SoakTest::BeginStoreOutage);
  this->storeRejectsCalls = true;
  this->platform.RunOnLoop([this] { this->platform.Store().faults.rejectCalls = true; });
}

void SoakTest::DropStoreResponses()
{
  const int count = 1 + static_cast<int>(this->random.Below(3));
  this->platform.RunOnLoop(
    [this, count] { this->platform.Store().faults.dropWriteResponses = count; });
}

void SoakTest::CompactStoreHistory()
{
  this->platform.RunOnLoop([this] { this->platform.Store().CompactHistory(); });
}

void SoakTest::DisconnectStore()
{
  this->SetProxyFault(this->RandomVm().proxyMapping,
                      this->random.Below(2) == 0 ? R"("cut_to_client":true)"
                                                 : R"("refuse":true)");
}

void SoakTest::StallStoreConnections()
{
  this->SetProxyFault(this->RandomVm().proxyMapping,
                      R"("blackhole_open":true,"delay_ms":20)");
}

void SoakTest::ClearStoreFaults()
{
  this->platform.RunOnLoop([this] { this->platform.Store().faults = {}; });
  for (const auto& vm : this->vms) {
    this->SetProxyFault(vm.proxyMapping, kNoProxyFault);
  }
  std::ranges::for_each(this->vms, &SoakTest::EndStoreOutage);
  this->storeRejectsCalls = false;
}

void SoakTest::AbortStreams()
{
  auto& server = this->RandomServer();
  const int after = static_cast<int>(this->random.Below(kEventCount));
  this->platform.RunOnLoop([&server, after] {
    server.faults.abortStreams = 3;
    server.faults.abortAfterEvents = after;
    server.faults.dropResponses = 2;
  });
}

void SoakTest::FalsifyResponseHeaders()
{
  auto& server = this->RandomServer();
  this->platform.RunOnLoop([&server] {
    server.faults.unsignedResponses = 2;
    server.faults.mismatchedResponses = 2;
  });
}

void SoakTest::RejectRequests()
{
  auto& server = this->RandomServer();
  this->platform.RunOnLoop([&server] {
    server.faults.rejectAsOverloaded = 3;
    server.faults.rejectAsWrongServer = 2;
  });
}

void SoakTest::ChangeConfiguration()
{
  this->platform.WriteConfiguration(++this->version, ConfigurationChange());
}

void SoakTest::RemoveEngine()
{
  // Keeps enough engines for two groups.
  constexpr int kMaxRemovedEngines = 2;
  if (this->removedEngines < kMaxRemovedEngines) {
    const auto name = "engine-" + std::to_string(this->removedEngines++);
    this->platform.CrashServer(name);
    this->platform.DeleteRegistration(name);
  }
}

BackendServerStandin& SoakTest::RandomServer()
{
  const auto engines = static_cast<std::uint64_t>(this->scale.engines);
  const auto number = this->random.Below(engines + 2);
  return this->platform.BackendServer(number < engines
                                        ? "engine-" + std::to_string(number)
                                        : "stock-" + std::to_string(number - engines));
}

void SoakTest::PlaceServers()
{
  if (!this->scale.hasEvacuations) {
    return;
  }
  this->platform.RunOnLoop([this] {
    for (const auto& id : this->platform.ServerIds()) {
      if (!this->IsInEvacuatedZone(id)) {
        this->platform.BackendServer(id).Place(kOtherZone);
      }
    }
  });
}

bool SoakTest::IsInEvacuatedZone(const std::string& aServer) const
{
  const auto first = this->scale.engines - kEnginesInOtherZone;
  return aServer != kServiceInOtherZone &&
         std::ranges::none_of(std::views::iota(first, this->scale.engines),
                              [&aServer](int aNumber) {
                                return aServer == "engine-" + std::to_string(aNumber);
                              });
}

void SoakTest::ChangeEvacuation()
{
  if (!this->scale.hasEvacuations || --this->faultsUntilChange > 0) {
    return;
  }
  if (this->storeRejectsCalls) {
    // The store would not acknowledge the order.
    this->faultsUntilChange = 1;
    return;
  }
  const bool begins = !this->evacuatedSince;
  this->TakeZoneBack();
  if (begins || this->evacuationRandom.Below(kRenewedOrders) == 0) {
    this->EvacuateZone();
    this->faultsUntilChange =
      kFewestFaultsInEvacuation + this->evacuationRandom.Below(kExtraFaultsInEvacuation);
  } else {
    this->faultsUntilChange =
      1 + this->evacuationRandom.Below(kMostFaultsBetweenEvacuations);
  }
}

void SoakTest::EvacuateZone()
{
  this->platform.RunOnLoop([this] { this->platform.Store().Put(kEvacuationKey, "{}"); });
  this->evacuatedSince = steady_clock::now();
}

void SoakTest::TakeZoneBack()
{
  if (this->evacuatedSince) {
    this->evacuations.emplace_back(*this->evacuatedSince, steady_clock::now());
    this->evacuatedSince.reset();
    this->platform.RunOnLoop([this] { this->platform.Store().Delete(kEvacuationKey); });
  }
}

bool SoakTest::AwaitRunInZone(SoakTime aDeadline)
{
  const auto from = steady_clock::now();
  while (steady_clock::now() < aDeadline) {
    const auto runs = this->platform.Runs();
    if (std::ranges::any_of(runs, [&](const RecordedRun& aRun) {
          return aRun.startedAt > from && this->IsInEvacuatedZone(aRun.server);
        })) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(100));
  }
  return false;
}

void SoakTest::BeginStoreOutage(Vm& aVm)
{
  aVm.withoutStoreSince = aVm.withoutStoreSince.value_or(steady_clock::now());
}

void SoakTest::EndStoreOutage(Vm& aVm)
{
  if (aVm.withoutStoreSince) {
    aVm.storeOutages.emplace_back(*aVm.withoutStoreSince, steady_clock::now());
    aVm.withoutStoreSince.reset();
  }
}

void SoakTest::SetProxyFault(std::size_t aIndex, const std::string& aFault)
{
  if (aFault != kNoProxyFault) {
    BeginStoreOutage(this->vms.at(aIndex));
  }
  this->proxyCaller.Json(this->proxyControlEndpoint,
                         "POST",
                         "/fault",
                         "{\"mapping\":" + std::to_string(aIndex) + "," + aFault + "}");
}

bool SoakTest::Recover()
{
  this->ResumeVms();
  this->RestartTerminatingVms();
  this->ClearStoreFaults();
  this->TakeZoneBack();
  this->SetStreamDurations(milliseconds(0));
  const auto deadline = steady_clock::now() + std::chrono::seconds(20);
  std::vector<Endpoint> endpoints;
  std::ranges::transform(this->vms, std::back_inserter(endpoints), [](const Vm& aVm) {
    return aVm.server->listenEndpoint;
  });
  SoakCaller caller(this->seed, "last", std::move(endpoints));
  for (std::size_t number = 0; number < this->vms.size(); ++number) {
    bool isServed = false;
    while (!isServed && steady_clock::now() < deadline) {
      auto request = caller.Generate(number);
      isServed = request.answer.isComplete && request.answer.status == 200;
      this->Record(std::move(request));
    }
    if (!isServed) {
      return false;
    }
  }
  return this->evacuations.empty() || this->AwaitRunInZone(deadline);
}

SoakVerdict SoakTest::Judge(std::set<std::string> aEarlierPrograms)
{
  this->ResumeVms();
  this->TakeZoneBack();
  std::ranges::for_each(this->vms, &SoakTest::Terminate);
  this->RestartTerminatingVms();
  // Stop the callers before copying the runs: a request that finishes between the copies
  // of the two lists would otherwise be reported as one that never ran.
  this->StopCallers();
  SoakVerdict::Facts facts;
  facts.lives = this->endedLives;
  std::ranges::transform(this->vms, std::back_inserter(facts.lives), &Vm::life);
  for (const auto& run : this->platform.Runs()) {
    ++facts.runs[run.attemptId];
    if (this->IsInEvacuatedZone(run.server)) {
      facts.runsInZone.emplace(run.attemptId, run.startedAt);
    }
  }
  facts.evacuations = this->evacuations;
  for (const auto& vm : this->vms) {
    facts.storeOutages[vm.proxyMapping] = vm.storeOutages;
  }
  facts.failedRuns = this->platform.FailedRuns();
  facts.stopPeriod = this->stopPeriod;
  facts.earlierPrograms = std::move(aEarlierPrograms);
  facts.wholeStream =
    BackendServerStandin::CompleteStream(kEventCount, this->eventPadding);
  SoakVerdict verdict(std::move(facts));
  const std::scoped_lock lock(this->mutex);
  std::ranges::for_each(this->requests,
                        [&verdict](const auto& aRequest) { verdict.Judge(aRequest); });
  std::ranges::copy(this->failures, std::back_inserter(verdict.violations));
  return verdict;
}

std::size_t SoakTest::SuccessCount()
{
  const std::scoped_lock lock(this->mutex);
  return static_cast<std::size_t>(
    std::ranges::count_if(this->requests, [](const SoakRequest& aRequest) {
      return aRequest.answer.isComplete && aRequest.answer.status == 200;
    }));
}

std::size_t SoakTest::RunsBesideEvacuations()
{
  const auto runs = this->platform.Runs();
  return static_cast<std::size_t>(
    std::ranges::count_if(runs, [this](const RecordedRun& aRun) {
      const bool isElsewhere = !this->IsInEvacuatedZone(aRun.server);
      return std::ranges::any_of(this->evacuations, [&](const SoakInterval& aOrder) {
        return isElsewhere &&
               aRun.startedAt - aOrder.first > SoakVerdict::kEvacuationBound &&
               aRun.startedAt < aOrder.second;
      });
    }));
}

std::size_t SoakTest::RequestCount()
{
  const std::scoped_lock lock(this->mutex);
  return this->requests.size();
}

std::map<std::string, std::size_t> SoakTest::Refusals()
{
  const std::scoped_lock lock(this->mutex);
  std::map<std::string, std::size_t> refusals;
  for (const auto& request : this->requests) {
    const auto& answer = request.answer;
    if (answer.isComplete && answer.status != 200) {
      const auto body = json::parse(answer.body, nullptr, false);
      const auto error = body.is_object() ? body.value("error", json::object()) : json();
      const auto type = error.is_object() ? error.value("type", "") : "";
      ++refusals[std::to_string(answer.status) + " " + type];
    }
  }
  return refusals;
}

} // namespace toucanstand
