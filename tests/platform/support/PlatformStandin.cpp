#include "support/PlatformStandin.h"

#include <chrono>
#include <csignal>
#include <future>
#include <iterator>
#include <ranges>
#include <stdexcept>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

namespace toucanstand {

using nlohmann::json;

namespace {

constexpr auto kGroupFormationTimeout = std::chrono::seconds(15);
constexpr auto kPollInterval = std::chrono::milliseconds(20);

} // namespace

json PlatformStandin::DefaultConfiguration(std::int64_t aVersion)
{
  const json engine = {
    { "Slots", 8 },
    { "KvCapacity", 100000 },
    { "Stride", 5 },
    { "Models",
      { { { "Name", "large" },
          { "size", 2 },
          { "Share", 1.0 },
          { "pace", 1.0 },
          { "LoadS", 0.1 },
          { "WarmS", 0.1 } } } },
    { "step_ms", 1.0 },
    { "per_seq_ms", 0.1 },
    { "read_per_s", 100000.0 },
    { "chunk", 2048 },
    { "LoadsPerS", 100.0 },
    { "loads_at_once", 10 },
    { "usual", { { "prompt", 100 }, { "answer", 60 } } },
    { "FormMs", 20.0 },
  };
  const auto route =
    [](const char* aPrefix, const char* aKind, const char* aService, int aAttempts) {
      return json{ { "Name", aPrefix },         { "Host", "api.example" },
                   { "PathPrefix", aPrefix },   { "Kind", aKind },
                   { "TimeoutMs", 5000 },       { "TargetLatencyMs", 2000 },
                   { "Priority", 1 },           { "Service", aService },
                   { "MaxAttempts", aAttempts } };
    };
  json chat = route("/chat/", "streaming", "engines", 2);
  chat["CanResume"] = true;
  chat["GapTargetMs"] = 300;
  return { { "Version", aVersion },
           { "Routes",
             { chat,
               route("/holds/", "unsafe", "stock", 1),
               route("/looks/", "safe", "stock", 2) } },
           { "Services",
             { { { "Name", "engines" }, { "MaxConnections", 100 }, { "Engine", engine } },
               { { "Name", "stock" }, { "MaxConnections", 100 } } } },
           { "Limits",
             { { "MaxHeaderBytes", 16384 },
               { "MaxBodyBytes", 4194304 },
               { "HeaderTimeoutMs", 3000 },
               { "IdleTimeoutMs", 15000 } } },
           { "Tenants",
             { { { "Name", "shop" }, { "ApiKeys", { "key-1", "key-2" } } } } } };
}

PlatformStandin::PlatformStandin(int aEngines)
  : store(std::make_unique<StoreStandin>(this->loop, this->metrics))
{
  for (int number = 0; number < aEngines; ++number) {
    this->AddServer("engine-" + std::to_string(number), "engines", "domain-1");
  }
  this->AddServer("stock-0", "stock", "");
  this->AddServer("stock-1", "stock", "");
  this->currentConfiguration = DefaultConfiguration(1).dump();
  this->store->Put("op/config", this->currentConfiguration);
  this->thread = std::thread([this] {
    const auto work = boost::asio::make_work_guard(this->loop);
    this->loop.run();
  });
}

PlatformStandin::~PlatformStandin()
{
  this->loop.stop();
  this->thread.join();
}

void PlatformStandin::AddServer(const std::string& aId,
                                const std::string& aService,
                                const std::string& aDomain)
{
  auto server = std::make_unique<BackendServerStandin>(
    this->loop, this->metrics, aId, aService, aDomain);
  server->onRegistrationChanged = [this, aId](const std::string& aEntry) {
    this->store->Put("servers/" + aId, aEntry);
  };
  server->onRunStarted = [this](const RecordedRun& aRun) { this->runs.push_back(aRun); };
  server->onRunFailed = [this](const std::string& aAttemptId) {
    this->failedRuns.insert(aAttemptId);
  };
  server->isGroupComplete = [this](const std::string& aGroup) {
    return this->IsGroupComplete(aGroup);
  };
  server->Listen();
  this->store->Put("servers/" + aId, server->RegistrationText());
  this->servers.emplace(aId, std::move(server));
}

bool PlatformStandin::IsGroupComplete(const std::string& aGroup) const
{
  constexpr int kGroupSize = 2;
  return std::ranges::count_if(this->servers, [&aGroup](const auto& aServer) {
           return aServer.second->IsAlive() && aServer.second->Group() == aGroup;
         }) == kGroupSize;
}

void PlatformStandin::RunOnLoop(const std::function<void()>& aFunction)
{
  std::promise<void> done;
  boost::asio::post(this->loop, [&] {
    aFunction();
    done.set_value();
  });
  done.get_future().wait();
}

void PlatformStandin::WriteConfiguration(std::int64_t aVersion, const json& aChange)
{
  json configuration = DefaultConfiguration(aVersion);
  if (!aChange.is_null()) {
    configuration.merge_patch(aChange);
  }
  this->RunOnLoop([&] {
    this->currentConfiguration = configuration.dump();
    this->store->Put("op/config", this->currentConfiguration);
  });
}

void PlatformStandin::TakeStoreCopy()
{
  this->RunOnLoop([this] { this->store->TakeCopy(); });
}

void PlatformStandin::RestoreStore(int aFurtherWrites)
{
  this->RunOnLoop([&] {
    this->store->Restore();
    this->store->Put("op/config", this->currentConfiguration);
    for (const auto& [id, server] : this->servers) {
      if (server->IsAlive()) {
        this->store->Put("servers/" + id, server->RegistrationText());
      }
    }
    for (int number = 0; number < aFurtherWrites; ++number) {
      this->store->Put("other/key", std::to_string(number));
    }
  });
}

void PlatformStandin::AdvanceStoreRevision(int aWrites)
{
  this->RunOnLoop([&] {
    for (int number = 0; number < aWrites; ++number) {
      this->store->Put("other/key", std::to_string(number));
    }
  });
}

std::vector<std::string> PlatformStandin::ServerIds() const
{
  std::vector<std::string> ids;
  std::ranges::copy(this->servers | std::views::keys, std::back_inserter(ids));
  return ids;
}

std::vector<RecordedRun> PlatformStandin::Runs()
{
  std::vector<RecordedRun> copy;
  this->RunOnLoop([&] { copy = this->runs; });
  return copy;
}

std::set<std::string> PlatformStandin::FailedRuns()
{
  std::set<std::string> copy;
  this->RunOnLoop([&] { copy = this->failedRuns; });
  return copy;
}

std::map<std::string, std::string> PlatformStandin::OpenGroupHeads()
{
  std::map<std::string, std::string> heads;
  this->RunOnLoop([&] {
    for (const auto& [id, server] : this->servers) {
      const auto entry = json::parse(server->RegistrationText());
      if (server->IsAlive() && entry.contains("group") &&
          entry["group"]["State"] == "open") {
        heads[entry["group"]["Name"]] = id;
      }
    }
  });
  return heads;
}

std::size_t PlatformStandin::CompleteGroupCount()
{
  const auto heads = this->OpenGroupHeads();
  std::size_t count = 0;
  this->RunOnLoop([&] {
    count = static_cast<std::size_t>(
      std::ranges::count_if(heads, [this](const auto& aGroupAndHead) {
        return this->IsGroupComplete(aGroupAndHead.first);
      }));
  });
  return count;
}

void PlatformStandin::SetEventInterval(std::chrono::milliseconds aInterval)
{
  this->RunOnLoop([&] {
    for (const auto& [id, server] : this->servers) {
      server->eventInterval = aInterval;
    }
  });
}

void PlatformStandin::AddInjectors()
{
  this->RunOnLoop([this] {
    for (const auto& [id, server] : this->servers) {
      auto injector = std::make_unique<AnswerInjector>(
        this->loop, id, server->Address(), this->injectedAnswers);
      server->Advertise(injector->Address());
      this->injectors.emplace(id, std::move(injector));
    }
  });
}

void PlatformStandin::InjectAnswers(const std::vector<InjectedAnswer>& aAnswers)
{
  this->RunOnLoop(
    [&] { this->injectedAnswers.due.assign(aAnswers.begin(), aAnswers.end()); });
}

void PlatformStandin::SetStandingAnswer(const std::string& aServer,
                                        InjectedAnswer aAnswer)
{
  this->RunOnLoop([&] { this->injectedAnswers.standing[aServer] = std::move(aAnswer); });
}

std::size_t PlatformStandin::AnswersDue()
{
  std::size_t count = 0;
  this->RunOnLoop([&] { count = this->injectedAnswers.due.size(); });
  return count;
}

std::size_t PlatformStandin::InjectedAnswerCount(const std::string& aAttemptId)
{
  std::size_t count = 0;
  this->RunOnLoop([&] {
    count = static_cast<std::size_t>(
      std::ranges::count(this->injectedAnswers.attemptIds, aAttemptId));
  });
  return count;
}

void PlatformStandin::DeleteRegistration(const std::string& aId)
{
  this->RunOnLoop([&] { this->store->Delete("servers/" + aId); });
}

void PlatformStandin::CrashServer(const std::string& aId)
{
  this->RunOnLoop([&] { this->servers.at(aId)->Crash(); });
}

ServerUnderTest::ServerUnderTest(PlatformStandin& aPlatform, const std::string& aId)
  : ServerUnderTest(aPlatform, aId, aPlatform.Store().Address())
{
}

ServerUnderTest::ServerUnderTest(PlatformStandin& aPlatform,
                                 const std::string& aId,
                                 const Endpoint& aStore,
                                 std::chrono::milliseconds aStopPeriod)
  : ServerUnderTest(aPlatform, aId, aStore, aStopPeriod, Program{})
{
}

ServerUnderTest::ServerUnderTest(PlatformStandin& aPlatform,
                                 const std::string& aId,
                                 const Endpoint& aStore,
                                 std::chrono::milliseconds aStopPeriod,
                                 Program aProgram)
  : platform(aPlatform)
  , caller(std::chrono::seconds(6))
  , listenEndpoint(this->ports.Reserve())
  , readinessEndpoint(this->ports.Reserve())
  , operatorEndpoint(this->ports.Reserve())
  , peerEndpoint(this->ports.Reserve())
  , program(std::move(aProgram))
{
  json document = { { "id", aId },
                    { "zone", "zone-a" },
                    { "listen", this->listenEndpoint.Text() },
                    { "readiness", this->readinessEndpoint.Text() },
                    { "peers", this->peerEndpoint.Text() },
                    { "operator", this->operatorEndpoint.Text() },
                    { "store", aStore.Text() },
                    { "stop_period_s", static_cast<double>(aStopPeriod.count()) / 1000 },
                    { "head_stall_ms", 500 },
                    { "seed", 7 } };
  document.merge_patch(this->program.settings);
  this->settings = std::make_unique<SettingsFile>(document);
  this->Start();
}

int ServerUnderTest::Restart(int aSignal)
{
  this->process->Signal(SIGCONT);
  this->process->Signal(aSignal);
  const int exitCode = this->process->Wait();
  this->Start();
  return exitCode;
}

void ServerUnderTest::Start()
{
  this->process = std::make_unique<ProcessLauncher>(
    this->program.name,
    std::vector<std::string>{ this->settings->Option(), "--log-level=warn" },
    this->program.logFile);
}

void ServerUnderTest::WaitForGroups(std::size_t aCount)
{
  const auto deadline = std::chrono::steady_clock::now() + kGroupFormationTimeout;
  while (std::chrono::steady_clock::now() < deadline) {
    const auto state = this->caller.Call(this->operatorEndpoint, "GET", "/state");
    if (state && state->status == 200) {
      const auto document = json::parse(state->body);
      const auto& placements = document.at("state").at("placements");
      const auto heads = this->platform.OpenGroupHeads();
      if (heads.size() >= aCount && placements.contains("engines") &&
          placements.at("engines").size() >= aCount) {
        return;
      }
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  throw std::runtime_error("the requested number of groups was not formed in time");
}

HttpHeaders ServerUnderTest::GenerationHeaders(const std::string& aAttemptId,
                                               const std::string& aPromptParts)
{
  return { { "Host", "api.example" },
           { "X-Attempt-Id", aAttemptId },
           { "X-Model", "large" },
           { "X-Token-Usage", "100,60" },
           { "X-Prompt-Prefix", aPromptParts },
           { "X-Deadline-Ms", "5000" },
           { "Authorization", "Bearer key-1" } };
}

Result<HttpResponse, HttpFailure> ServerUnderTest::Generate(const std::string& aAttemptId)
{
  return this->caller.Call(
    this->listenEndpoint, "POST", "/chat/1", "prompt", GenerationHeaders(aAttemptId));
}

Result<HttpResponse, HttpFailure> ServerUnderTest::GenerateFrom(
  const std::string& aAttemptId,
  const std::string& aPromptParts)
{
  return this->caller.Call(this->listenEndpoint,
                           "POST",
                           "/chat/1",
                           "prompt " + aAttemptId,
                           GenerationHeaders(aAttemptId, aPromptParts));
}

Result<HttpResponse, HttpFailure> ServerUnderTest::Call(const std::string& aMethod,
                                                        const std::string& aPath,
                                                        const std::string& aAttemptId,
                                                        const std::string& aKey)
{
  return this->caller.Call(this->listenEndpoint,
                           aMethod,
                           aPath,
                           aMethod == "POST" ? "body" : "",
                           { { "Host", "api.example" },
                             { "X-Attempt-Id", aAttemptId },
                             { "X-Deadline-Ms", "4000" },
                             { "Authorization", "Bearer " + aKey } });
}

} // namespace toucanstand
