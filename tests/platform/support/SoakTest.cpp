#include "support/SoakTest.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <map>
#include <utility>

namespace toucanstand {

using nlohmann::json;

namespace {

/// Number of requests that finish between two faults: at least 8, at most 47. With 6
/// callers these are few for each, so that most faults overlap with the effects of the
/// one before.
constexpr std::size_t kMinRequestsBetweenFaults = 8;
constexpr std::size_t kExtraRequestsBetweenFaults = 40;

/// Statuses with which the server guarantees that the request did not run.
bool StatusMeansNotRun(int aStatus)
{
  constexpr std::array kStatuses = { 408, 421, 429, 503 };
  return std::ranges::find(kStatuses, aStatus) != kStatuses.end();
}

} // namespace

SoakTest::SoakTest(std::uint64_t aSeed)
  : random(aSeed)
  , platform(kEngineCount)
  , proxyCaller(std::chrono::seconds(2))
  , seed(aSeed)
{
  std::vector<std::string> arguments = { "--control=127.0.0.1:0", "--log-level=warn" };
  for (int vm = 0; vm < kVmCount; ++vm) {
    arguments.push_back("--map=127.0.0.1:0=" + this->platform.Store().Address().Text());
  }
  this->proxyProcess = std::make_unique<ProcessLauncher>("fault-proxy", arguments);
  for (int number = 0; number < kVmCount; ++number) {
    Vm vm;
    vm.proxyMapping = static_cast<std::size_t>(number);
    vm.server = std::make_unique<ServerUnderTest>(
      this->platform, "vm-" + std::to_string(number), this->proxyProcess->ReadEndpoint());
    this->vms.push_back(std::move(vm));
  }
  this->proxyControlEndpoint = this->proxyProcess->ReadEndpoint("control");
  for (const auto& vm : this->vms) {
    vm.server->WaitForGroups(kEngineCount / 2);
  }
  for (int caller = 0; caller < kCallerCount; ++caller) {
    this->callers.emplace_back([this, caller] { this->RunCaller(caller); });
  }
}

SoakTest::~SoakTest()
{
  this->StopCallers();
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
  Random choice(this->seed * 1000 + static_cast<std::uint64_t>(aCaller));
  HttpCaller caller(std::chrono::seconds(2));
  constexpr std::array kKinds = { RequestKind::Generation,
                                  RequestKind::NonIdempotent,
                                  RequestKind::Idempotent };
  for (int number = 0; !this->callersMustStop; ++number) {
    auto& vm = this->vms.at(choice.Below(this->vms.size()));
    auto request =
      this->PerformRequest(caller,
                           vm,
                           kKinds.at(choice.Below(kKinds.size())),
                           "c" + std::to_string(aCaller) + "-" + std::to_string(number));
    const std::scoped_lock lock(this->mutex);
    this->requests.push_back(std::move(request));
    this->requestRecorded.notify_all();
  }
}

SoakTest::RequestRecord SoakTest::PerformRequest(HttpCaller& aCaller,
                                                 Vm& aVm,
                                                 RequestKind aKind,
                                                 std::string aName)
{
  RequestRecord request;
  request.attemptId = std::move(aName);
  request.kind = aKind;
  HttpHeaders headers = ServerUnderTest::GenerationHeaders(request.attemptId);
  const bool isIdempotent = aKind == RequestKind::Idempotent;
  const char* path = isIdempotent ? "/looks/1" : "/holds/1";
  auto answer = aCaller.Call(aVm.server->listenEndpoint,
                             isIdempotent ? "GET" : "POST",
                             aKind == RequestKind::Generation ? "/chat/1" : path,
                             isIdempotent ? "" : "body",
                             headers);
  if (answer) {
    request.status = answer->status;
    request.isSigned = answer->headers.Has("X-Engine-Stamp");
    request.answeredAttemptId = std::string(answer->headers.Find("X-Attempt-Id"));
    request.body = std::move(answer->body);
  }
  return request;
}

void SoakTest::WaitForRequests(std::size_t aCount)
{
  std::unique_lock lock(this->mutex);
  const auto target = this->requests.size() + aCount;
  this->requestRecorded.wait(lock, [&] { return this->requests.size() >= target; });
}

void SoakTest::Run(int aFaults)
{
  constexpr std::array<FaultInjector, 16> kFaults = {
    &SoakTest::PauseVm,
    &SoakTest::ResumeVms,
    &SoakTest::KillVm,
    &SoakTest::TerminateVm,
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
  }
}

void SoakTest::PauseVm()
{
  auto& vm = this->RandomVm();
  const bool noVmIsPaused = std::ranges::none_of(this->vms, &Vm::isPaused);
  if (noVmIsPaused && !vm.isTerminating) {
    vm.isPaused = true;
    vm.server->process->Signal(SIGSTOP);
  }
}

void SoakTest::ResumeVms()
{
  for (auto& vm : this->vms) {
    if (std::exchange(vm.isPaused, false)) {
      vm.server->process->Signal(SIGCONT);
    }
  }
}

void SoakTest::KillVm()
{
  auto& vm = this->RandomVm();
  vm.isPaused = false;
  vm.isTerminating = false;
  vm.server->Restart(SIGKILL);
}

void SoakTest::TerminateVm()
{
  auto& vm = this->RandomVm();
  if (!vm.isPaused) {
    // May hit a VM that is already terminating: a second SIGTERM must have no effect.
    vm.server->process->Signal(SIGTERM);
    vm.isTerminating = true;
  }
}

void SoakTest::RestartTerminatingVms()
{
  for (auto& vm : this->vms) {
    if (std::exchange(vm.isTerminating, false)) {
      vm.server->Restart(SIGTERM);
    }
  }
}

void SoakTest::RejectStoreCalls()
{
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
    this->SetProxyFault(vm.proxyMapping, R"("pass":true)");
  }
}

void SoakTest::AbortStreams()
{
  auto& server = this->RandomServer();
  const int after =
    static_cast<int>(this->random.Below(BackendServerStandin::kEventCount));
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
  this->platform.WriteConfiguration(++this->version);
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
  const auto number = this->random.Below(kEngineCount + 2);
  const bool isEngine = number < kEngineCount;
  return this->platform.BackendServer(isEngine ? "engine-" + std::to_string(number)
                                               : "stock-" +
                                                   std::to_string(number - kEngineCount));
}

void SoakTest::SetProxyFault(std::size_t aIndex, const std::string& aFault)
{
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
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  HttpCaller caller(std::chrono::seconds(6));
  for (std::size_t number = 0; number < this->vms.size(); ++number) {
    int attemptCount = 0;
    bool isServed = false;
    while (!isServed && std::chrono::steady_clock::now() < deadline) {
      const auto name =
        "last-" + std::to_string(number) + "-" + std::to_string(++attemptCount);
      auto request =
        this->PerformRequest(caller, this->vms[number], RequestKind::Generation, name);
      isServed = request.status == 200;
      const std::scoped_lock lock(this->mutex);
      this->requests.push_back(std::move(request));
    }
    if (!isServed) {
      return false;
    }
  }
  return true;
}

std::string SoakTest::FindViolation(const RequestRecord& aRequest,
                                    std::size_t aRuns) const
{
  const bool mayRepeat = aRequest.kind != RequestKind::NonIdempotent;
  if (!mayRepeat && aRuns > 1) {
    return "a request that must run at most once ran " + std::to_string(aRuns) + " times";
  }
  if (StatusMeansNotRun(aRequest.status) && aRuns > 0) {
    return "status " + std::to_string(aRequest.status) +
           " says that the request did not run, but it ran";
  }
  constexpr std::array kUnexpectedStatuses = { 400, 401, 403, 404 };
  if (std::ranges::find(kUnexpectedStatuses, aRequest.status) !=
      kUnexpectedStatuses.end()) {
    return "an allowed request got status " + std::to_string(aRequest.status);
  }
  if (aRequest.status != 200) {
    return {};
  }
  if (aRuns == 0) {
    return "a successful response to a request that did not run";
  }
  if (!aRequest.isSigned || aRequest.answeredAttemptId != aRequest.attemptId) {
    return "a response without a signature or with the attempt id of another request";
  }
  const bool isComplete = aRequest.kind == RequestKind::Generation
                            ? aRequest.body == BackendServerStandin::CompleteStream()
                            : aRequest.body.starts_with("answer of stock-");
  return isComplete ? "" : "an incomplete response: " + aRequest.body;
}

std::vector<std::string> SoakTest::FindViolations()
{
  // Stop the callers before copying the runs: a request that finishes between the copies
  // of the two lists would otherwise be reported as one that never ran.
  this->StopCallers();
  std::map<std::string, std::size_t> runs;
  for (const auto& run : this->platform.Runs()) {
    ++runs[run.attemptId];
  }
  const std::scoped_lock lock(this->mutex);
  std::vector<std::string> violations;
  for (const auto& request : this->requests) {
    if (auto violation = this->FindViolation(request, runs[request.attemptId]);
        !violation.empty()) {
      violations.push_back(request.attemptId + ": " + violation);
    }
  }
  return violations;
}

std::size_t SoakTest::SuccessCount()
{
  const std::scoped_lock lock(this->mutex);
  return static_cast<std::size_t>(
    std::ranges::count(this->requests, 200, &RequestRecord::status));
}

std::size_t SoakTest::RequestCount()
{
  const std::scoped_lock lock(this->mutex);
  return this->requests.size();
}

} // namespace toucanstand
