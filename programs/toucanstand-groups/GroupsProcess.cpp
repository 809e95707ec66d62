#include "GroupsProcess.h"

#include <algorithm>
#include <iostream>
#include <utility>

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

namespace toucanstand {

namespace {

constexpr const char* kPlatformKey = "/platform/vms";
constexpr auto kTickInterval = std::chrono::milliseconds(200);
/// Bounds the work of one process should the platform's list be wrong.
constexpr std::size_t kMostDomains = 4096;

Random RandomOf(const GroupsSettings& aSettings)
{
  return Random(aSettings.seed == 0 ? SystemSeed()
                                    : static_cast<std::uint64_t>(aSettings.seed));
}

EtcdStoreSettings StoreSettings(const GroupsSettings& aSettings)
{
  EtcdStoreSettings settings;
  settings.endpoint = aSettings.store;
  return settings;
}

} // namespace

GroupsProcess::GroupsProcess(GroupsSettings aSettings)
  : settings(std::move(aSettings))
  , loop(1)
  , shutdown(this->loop, { this->settings.drainPeriod, Duration::zero() })
  , random(RandomOf(this->settings))
  , store(this->loop,
          StoreSettings(this->settings),
          this->metrics,
          Random(this->random.Engine()()))
  , client(this->loop, this->metrics)
  , operators(this->loop,
              "toucanstand-groups",
              this->metrics,
              OperatorHooks{ [this] { return !this->shutdown.IsDraining(); },
                             [this] { return this->DescribeState(); },
                             [this] { this->shutdown.Begin(); },
                             nullptr })
  , timer(this->loop)
{
}

ExitCode GroupsProcess::Run()
{
  const auto endpoint = this->operators.Listen(this->settings.operatorEndpoint);
  if (!endpoint) {
    spdlog::error("cannot listen on {}", this->settings.operatorEndpoint.Text());
    return ExitCode::Failure;
  }
  std::cout << "operator " << endpoint->Text() << std::endl;
  this->shutdown.SetHooks(ShutdownHooks{ [this] { this->BeginDrain(); },
                                         nullptr,
                                         [this] { return this->IsBusy(); },
                                         nullptr });
  this->store.Watch(kPlatformKey,
                    [this](const Result<StoredValue, StoreFailure>& aValue) {
                      this->OnPlatformList(aValue);
                    });
  this->Tick();
  this->loop.run();
  return this->shutdown.Outcome();
}

void GroupsProcess::Tick()
{
  const auto now = BootClock::now();
  for (const auto& [domain, worker] : this->workers) {
    worker->Tick(this->list, now);
  }
  if (this->shutdown.IsDraining()) {
    this->shutdown.NoteProgress();
  }
  this->timer.expires_after(kTickInterval);
  this->timer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      this->Tick();
    }
  });
}

void GroupsProcess::OnPlatformList(const Result<StoredValue, StoreFailure>& aValue)
{
  if (!aValue || aValue->modRevision <= this->list.revision) {
    return;
  }
  auto parsed = ParsePlatformList(aValue->value, aValue->modRevision);
  if (!parsed) {
    this->metrics.Count("groups_platform_lists_rejected_total");
    spdlog::warn("the platform's list is rejected: {}", Describe(parsed.LastReason()));
    return;
  }
  this->list = std::move(*parsed);
  this->AddWorkers();
}

void GroupsProcess::AddWorkers()
{
  const auto& wanted = this->settings.domains;
  for (const auto& server : this->list.servers) {
    const bool isWanted =
      wanted.empty() || std::ranges::find(wanted, server.domain) != wanted.end();
    if (server.kind != ServerKind::Engine || server.domain.IsEmpty() || !isWanted ||
        this->shutdown.IsDraining() || this->workers.contains(server.domain) ||
        this->workers.size() >= kMostDomains) {
      continue;
    }
    auto worker = std::make_unique<DomainWorker>(this->loop,
                                                 this->settings,
                                                 server.domain,
                                                 this->store,
                                                 this->client,
                                                 this->metrics,
                                                 Random(this->random.Engine()()));
    worker->Start();
    this->workers.emplace(server.domain, std::move(worker));
  }
}

void GroupsProcess::BeginDrain()
{
  for (const auto& [domain, worker] : this->workers) {
    worker->Stop();
  }
}

bool GroupsProcess::IsBusy() const
{
  return std::ranges::any_of(this->workers,
                             [](const auto& aPair) { return aPair.second->IsBusy(); });
}

nlohmann::json GroupsProcess::DescribeState() const
{
  auto domains = nlohmann::json::array();
  for (const auto& [domain, worker] : this->workers) {
    domains.push_back(worker->Describe());
  }
  return { { "id", this->settings.id.Value() },
           { "draining", this->shutdown.IsDraining() },
           { "platform_list_revision", this->list.revision },
           { "domains", std::move(domains) } };
}

} // namespace toucanstand
