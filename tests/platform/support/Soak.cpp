#include "support/Soak.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <map>
#include <utility>

namespace toucanstand {

using nlohmann::json;

namespace {

/// Requests that end between two faults: a few for each caller, so that most faults
/// strike while the one before is still felt.
constexpr std::size_t kLeastBetween = 8;
constexpr std::size_t kMoreBetween = 40;

bool PromisesNotRun(int aStatus)
{
  constexpr std::array kStatuses = { 408, 421, 429, 503 };
  return std::ranges::find(kStatuses, aStatus) != kStatuses.end();
}

} // namespace

Soak::Soak(std::uint64_t aSeed)
  : random(aSeed)
  , platform(kEngines)
  , control(std::chrono::seconds(2))
  , seed(aSeed)
{
  std::vector<std::string> arguments = { "--control=127.0.0.1:0", "--log-level=warn" };
  for (int vm = 0; vm < kVms; ++vm) {
    arguments.push_back("--map=127.0.0.1:0=" + this->platform.Store().Address().Text());
  }
  this->proxyProcess = std::make_unique<ProcessLauncher>("fault-proxy", arguments);
  for (int number = 0; number < kVms; ++number) {
    Vm vm;
    vm.proxy = static_cast<std::size_t>(number);
    vm.server = std::make_unique<ServerUnderTest>(
      this->platform, "vm-" + std::to_string(number), this->proxyProcess->ReadEndpoint());
    this->vms.push_back(std::move(vm));
  }
  this->proxyControl = this->proxyProcess->ReadEndpoint("control");
  for (const auto& vm : this->vms) {
    vm.server->WaitForGroups(kEngines / 2);
  }
  for (int caller = 0; caller < kCallers; ++caller) {
    this->callers.emplace_back([this, caller] { this->Call(caller); });
  }
}

Soak::~Soak()
{
  this->StopCallers();
}

void Soak::StopCallers()
{
  this->finished = true;
  for (auto& caller : std::exchange(this->callers, {})) {
    caller.join();
  }
}

void Soak::Call(int aCaller)
{
  Random choice(this->seed * 1000 + static_cast<std::uint64_t>(aCaller));
  HttpCaller caller(std::chrono::seconds(2));
  constexpr std::array kKinds = { Kind::Generation, Kind::Hold, Kind::Look };
  for (int number = 0; !this->finished; ++number) {
    auto& vm = this->vms.at(choice.Below(this->vms.size()));
    auto request =
      this->Ask(caller,
                vm,
                kKinds.at(choice.Below(kKinds.size())),
                "c" + std::to_string(aCaller) + "-" + std::to_string(number));
    const std::scoped_lock lock(this->mutex);
    this->requests.push_back(std::move(request));
    this->changed.notify_all();
  }
}

Soak::Request Soak::Ask(HttpCaller& aCaller, Vm& aVm, Kind aKind, std::string aName)
{
  Request request;
  request.attempt = std::move(aName);
  request.kind = aKind;
  HttpHeaders headers = ServerUnderTest::GenerationHeaders(request.attempt);
  const bool looks = aKind == Kind::Look;
  const char* path = looks ? "/looks/1" : "/holds/1";
  auto answer = aCaller.Call(aVm.server->listen,
                             looks ? "GET" : "POST",
                             aKind == Kind::Generation ? "/chat/1" : path,
                             looks ? "" : "body",
                             headers);
  if (answer) {
    request.status = answer->status;
    request.isSigned = answer->headers.Has("X-Engine-Stamp");
    request.answersAttempt = std::string(answer->headers.Find("X-Attempt-Id"));
    request.body = std::move(answer->body);
  }
  return request;
}

void Soak::AwaitRequests(std::size_t aCount)
{
  std::unique_lock lock(this->mutex);
  const auto target = this->requests.size() + aCount;
  this->changed.wait(lock, [&] { return this->requests.size() >= target; });
}

void Soak::Run(int aFaults)
{
  constexpr std::array<Fault, 16> kFaults = {
    &Soak::PauseVm,          &Soak::ResumeVms,      &Soak::KillVm,
    &Soak::StopVm,           &Soak::RestartStopped, &Soak::RefuseStoreCalls,
    &Soak::LoseStoreAnswers, &Soak::ForgetHistory,  &Soak::CutStore,
    &Soak::SilenceStore,     &Soak::HealStore,      &Soak::BreakRuns,
    &Soak::SpoilAnswers,     &Soak::RejectRequests, &Soak::ChangeConfiguration,
    &Soak::EndServer,
  };
  for (int number = 0; number < aFaults; ++number) {
    (this->*kFaults.at(this->random.Below(kFaults.size())))();
    this->AwaitRequests(kLeastBetween + this->random.Below(kMoreBetween));
  }
}

void Soak::PauseVm()
{
  auto& vm = this->AnyVm();
  const bool another = std::ranges::none_of(this->vms, &Vm::paused);
  if (another && !vm.stopping) {
    vm.paused = true;
    vm.server->process->Signal(SIGSTOP);
  }
}

void Soak::ResumeVms()
{
  for (auto& vm : this->vms) {
    if (std::exchange(vm.paused, false)) {
      vm.server->process->Signal(SIGCONT);
    }
  }
}

void Soak::KillVm()
{
  auto& vm = this->AnyVm();
  vm.paused = false;
  vm.stopping = false;
  vm.server->Restart(SIGKILL);
}

void Soak::StopVm()
{
  auto& vm = this->AnyVm();
  if (!vm.paused) {
    // Twice at times: a second signal changes nothing.
    vm.server->process->Signal(SIGTERM);
    vm.stopping = true;
  }
}

void Soak::RestartStopped()
{
  for (auto& vm : this->vms) {
    if (std::exchange(vm.stopping, false)) {
      vm.server->Restart(SIGTERM);
    }
  }
}

void Soak::RefuseStoreCalls()
{
  this->platform.Do([this] { this->platform.Store().faults.refuses = true; });
}

void Soak::LoseStoreAnswers()
{
  const int count = 1 + static_cast<int>(this->random.Below(3));
  this->platform.Do(
    [this, count] { this->platform.Store().faults.loseWriteAnswers = count; });
}

void Soak::ForgetHistory()
{
  this->platform.Do([this] { this->platform.Store().DropHistory(); });
}

void Soak::CutStore()
{
  this->ProxyFault(this->AnyVm().proxy,
                   this->random.Below(2) == 0 ? R"("cut_to_client":true)"
                                              : R"("refuse":true)");
}

void Soak::SilenceStore()
{
  this->ProxyFault(this->AnyVm().proxy, R"("blackhole_open":true,"delay_ms":20)");
}

void Soak::HealStore()
{
  this->platform.Do([this] { this->platform.Store().faults = {}; });
  for (const auto& vm : this->vms) {
    this->ProxyFault(vm.proxy, R"("pass":true)");
  }
}

void Soak::BreakRuns()
{
  auto& server = this->AnyServer();
  const int after = static_cast<int>(this->random.Below(EngineStandin::kEvents));
  this->platform.Do([&server, after] {
    server.faults.breakRuns = 3;
    server.faults.breakAfterEvents = after;
    server.faults.loseAnswers = 2;
  });
}

void Soak::SpoilAnswers()
{
  auto& server = this->AnyServer();
  this->platform.Do([&server] {
    server.faults.unsignedAnswers = 2;
    server.faults.foreignAnswers = 2;
  });
}

void Soak::RejectRequests()
{
  auto& server = this->AnyServer();
  this->platform.Do([&server] {
    server.faults.rejectAsFull = 3;
    server.faults.rejectAsOther = 2;
  });
}

void Soak::ChangeConfiguration()
{
  this->platform.Configure(++this->version);
}

void Soak::EndServer()
{
  // Two engines and one instance of the service stay.
  constexpr int kMost = 2;
  if (this->ended < kMost) {
    const auto name = "engine-" + std::to_string(this->ended++);
    this->platform.Kill(name);
    this->platform.Unregister(name);
  }
}

EngineStandin& Soak::AnyServer()
{
  const auto number = this->random.Below(kEngines + 2);
  const bool isEngine = number < kEngines;
  return this->platform.Engine(isEngine ? "engine-" + std::to_string(number)
                                        : "stock-" + std::to_string(number - kEngines));
}

void Soak::ProxyFault(std::size_t aIndex, const std::string& aFault)
{
  this->control.Json(this->proxyControl,
                     "POST",
                     "/fault",
                     "{\"mapping\":" + std::to_string(aIndex) + "," + aFault + "}");
}

bool Soak::Recover()
{
  this->ResumeVms();
  this->RestartStopped();
  this->HealStore();
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  HttpCaller caller(std::chrono::seconds(6));
  for (std::size_t number = 0; number < this->vms.size(); ++number) {
    int tries = 0;
    bool served = false;
    while (!served && std::chrono::steady_clock::now() < deadline) {
      const auto name = "last-" + std::to_string(number) + "-" + std::to_string(++tries);
      auto request = this->Ask(caller, this->vms[number], Kind::Generation, name);
      served = request.status == 200;
      const std::scoped_lock lock(this->mutex);
      this->requests.push_back(std::move(request));
    }
    if (!served) {
      return false;
    }
  }
  return true;
}

std::string Soak::Check(const Request& aRequest, std::size_t aRuns) const
{
  const bool mayRepeat = aRequest.kind != Kind::Hold;
  if (!mayRepeat && aRuns > 1) {
    return "a call that may run once ran " + std::to_string(aRuns) + " times";
  }
  if (PromisesNotRun(aRequest.status) && aRuns > 0) {
    return "status " + std::to_string(aRequest.status) + ", but it ran";
  }
  constexpr std::array kForbidden = { 400, 401, 403, 404 };
  if (std::ranges::find(kForbidden, aRequest.status) != kForbidden.end()) {
    return "an allowed request got status " + std::to_string(aRequest.status);
  }
  if (aRequest.status != 200) {
    return {};
  }
  if (aRuns == 0) {
    return "an answer to a request that did not run";
  }
  if (!aRequest.isSigned || aRequest.answersAttempt != aRequest.attempt) {
    return "an answer without signature or of another request";
  }
  const bool whole = aRequest.kind == Kind::Generation
                       ? aRequest.body == EngineStandin::WholeStream()
                       : aRequest.body.starts_with("answer of stock-");
  return whole ? "" : "an answer that is not whole: " + aRequest.body;
}

std::vector<std::string> Soak::BrokenPromises()
{
  // A request that ends between the two lists would look like one that never ran.
  this->StopCallers();
  std::map<std::string, std::size_t> runs;
  for (const auto& run : this->platform.Runs()) {
    ++runs[run.attempt];
  }
  const std::scoped_lock lock(this->mutex);
  std::vector<std::string> broken;
  for (const auto& request : this->requests) {
    if (auto fault = this->Check(request, runs[request.attempt]); !fault.empty()) {
      broken.push_back(request.attempt + ": " + fault);
    }
  }
  return broken;
}

std::size_t Soak::Answered()
{
  const std::scoped_lock lock(this->mutex);
  return static_cast<std::size_t>(
    std::ranges::count(this->requests, 200, &Request::status));
}

std::size_t Soak::Asked()
{
  const std::scoped_lock lock(this->mutex);
  return this->requests.size();
}

} // namespace toucanstand
