#include <algorithm>
#include <csignal>

#include <boost/asio/co_spawn.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "permission/ServingPermission.h"
#include "records/DomainRecord.h"
#include "store/EtcdStore.h"
#include "support/HttpCaller.h"
#include "support/ProcessLauncher.h"
#include "support/SettingsFile.h"

using namespace toucanstand;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/// A store, three engines of one domain that form groups of two, and what both saw.
struct Domain
{
  explicit Domain(bool aIgnoreFence)
    : store("standin-store", { "--listen=127.0.0.1:0" })
    , storeEndpoint(store.ReadEndpoint())
    , engines("standin-engine", Arguments(aIgnoreFence))
    , client(loop, StoreSettings(), metrics, Random(1))
  {
    for (int index = 0; index < 3; ++index) {
      BackendServer server;
      server.id = ServerId("engine-" + std::to_string(index));
      server.pool = PoolId("assistant");
      server.zone = ZoneId("z");
      server.domain = DomainId("d");
      server.endpoint = this->engines.ReadEndpoint();
      server.fencing = aIgnoreFence ? FencingSupport::Ignored : FencingSupport::Checked;
      this->list.servers.push_back(server);
    }
    this->control = this->engines.ReadEndpoint("control");
    bool written = false;
    boost::asio::co_spawn(
      this->loop, this->WriteList(written), [](const std::exception_ptr&) {});
    REQUIRE(this->RunUntil([&written] { return written; }));
    this->client.Watch("/toucanstand/domains/d",
                       [this](const Result<StoredValue, StoreFailure>& aValue) {
                         if (aValue) {
                           this->Check(*aValue);
                         }
                       });
  }

  static std::vector<std::string> Arguments(bool aIgnoreFence)
  {
    std::vector<std::string> arguments = {
      "--listen=127.0.0.1:0", "--control=127.0.0.1:0", "--count=3", "--load-ms=300"
    };
    if (aIgnoreFence) {
      arguments.emplace_back("--ignore-fence");
    }
    return arguments;
  }

  [[nodiscard]] EtcdStoreSettings StoreSettings() const
  {
    EtcdStoreSettings settings;
    settings.endpoint = this->storeEndpoint;
    settings.callsPerSecond = 10'000;
    settings.watchPause = 10ms;
    return settings;
  }

  Task<> WriteList(bool& aWritten)
  {
    const auto created = co_await this->client.CreateIfAbsent(
      "/platform/vms", FormatPlatformList(this->list), 0);
    aWritten = created.HasValue();
  }

  /// Settings of a groups process with short periods.
  [[nodiscard]] json GroupsSettings(const std::string& aId) const
  {
    return { { "id", aId },
             { "operator", "127.0.0.1:0" },
             { "store", this->storeEndpoint.Text() },
             { "pools",
               { { { "pool", "assistant" },
                   { "group_size", 2 },
                   { "groups_per_domain", 1 } } } },
             { "controller",
               { { "order_lifetime_ms", 2500 }, { "loss_timeout_ms", 1000 } } },
             { "lease_seconds", 1 },
             { "poll_interval_ms", 100 } };
  }

  /// Each value that the record ever had must be consistent.
  void Check(const StoredValue& aValue)
  {
    auto parsed = ParseDomainRecord(aValue.value, aValue.modRevision);
    REQUIRE(parsed);
    this->record = *parsed;
  }

  bool RunUntil(const std::function<bool()>& aCondition)
  {
    const auto deadline = BootClock::now() + 25s;
    while (!aCondition() && BootClock::now() < deadline) {
      this->loop.restart();
      this->loop.run_one_for(20ms);
    }
    return aCondition();
  }

  /// Waits until the record has its group in the state, at the generation or a later one.
  bool WaitForGroup(GroupState aState, Generation aGeneration)
  {
    return this->RunUntil([&] {
      return !this->record.groups.empty() && this->record.groups[0].state == aState &&
             this->record.groups[0].group.generation >= aGeneration;
    });
  }

  [[nodiscard]] std::vector<ServerId> Members() const
  {
    return this->record.groups.at(0).group.members;
  }

  void Kill(int aEngine, bool aDead)
  {
    const json fault = { { "engine", aEngine }, { "dead", aDead } };
    this->caller.Json(this->control, "POST", "/fault", fault.dump());
  }

  /// What every engine that answers reports itself.
  std::map<ServerId, Observation> Observe()
  {
    std::map<ServerId, Observation> observations;
    for (const auto& server : this->list.servers) {
      const auto answer = this->caller.Call(server.endpoint, "GET", "/state");
      if (!answer) {
        continue;
      }
      const auto state = json::parse(answer->body);
      Observation& observation = observations[server.id];
      observation.server = server.id;
      observation.reachable = true;
      observation.group = GroupId(state["group"].get<std::string>());
      observation.generation = state["generation"];
      observation.observedAt = BootClock::now();
    }
    return observations;
  }

  std::size_t Candidates()
  {
    const auto observations = this->Observe();
    return PermittedCandidates(
             GroupsOpenForWork(this->record), observations, this->list, BootClock::now())
      .size();
  }

  /// Orders that the engines took, one list for each.
  json Orders()
  {
    json orders = json::array();
    for (const auto& engine :
         this->caller.Json(this->control, "GET", "/log")["engines"]) {
      orders.push_back(engine["orders"]);
    }
    return orders;
  }

  boost::asio::io_context loop;
  MetricsRegistry metrics;
  ProcessLauncher store;
  Endpoint storeEndpoint;
  ProcessLauncher engines;
  Endpoint control;
  EtcdStore client;
  HttpCaller caller;
  PlatformList list;
  DomainRecord record;
};

/// One toucanstand-groups process.
struct Groups
{
  Groups(const Domain& aDomain, const std::string& aId)
    : file(aDomain.GroupsSettings(aId))
    , process("toucanstand-groups", { this->file.Option() })
    , endpoint(process.ReadEndpoint("operator"))
  {
  }

  SettingsFile file;
  ProcessLauncher process;
  Endpoint endpoint;
};

/// The domain in a process's state dump; it is missing until the list is read.
json DomainOf(const json& aDump)
{
  return aDump.value(json::json_pointer("/state/domains/0"), json::object());
}

bool HoldsLease(const json& aDump)
{
  return DomainOf(aDump).value("lease_held", false);
}

} // namespace

TEST_CASE("A group forms, and a killed member is replaced by the spare", "[groups]")
{
  // Guards against a group that stays out of service while a spare is idle.
  Domain domain(false);
  Groups groups(domain, "vm-1");
  REQUIRE(domain.WaitForGroup(GroupState::Serving, 1));
  CHECK(domain.Members() == std::vector{ ServerId("engine-0"), ServerId("engine-1") });
  CHECK(domain.Candidates() == 1);

  domain.Kill(1, true);
  REQUIRE(domain.WaitForGroup(GroupState::Serving, 2));
  CHECK(domain.Members() == std::vector{ ServerId("engine-0"), ServerId("engine-2") });
  CHECK(domain.Candidates() == 1);

  groups.process.Signal(SIGTERM);
  CHECK(groups.process.Wait() == 0);
}

TEST_CASE("An outage of the store does not stop a serving group", "[groups]")
{
  // Guards against a controller that undoes groups when it can't read the record (R63).
  Domain domain(false);
  Groups groups(domain, "vm-1");
  REQUIRE(domain.WaitForGroup(GroupState::Serving, 1));
  const auto orders = domain.Orders();
  domain.caller.Json(domain.storeEndpoint, "POST", "/fault", R"({"down":true})");
  domain.caller.WaitFor(
    groups.endpoint, "/state", [](const json& aDump) { return !HoldsLease(aDump); });
  CHECK(domain.Candidates() == 1);
  domain.caller.Json(domain.storeEndpoint, "POST", "/fault", R"({"down":false})");
  domain.caller.WaitFor(groups.endpoint, "/state", HoldsLease);
  CHECK(domain.Candidates() == 1);
  CHECK(domain.Orders() == orders);
}

TEST_CASE("A controller frozen in the middle of its work does no harm when it returns",
          "[groups]")
{
  // Guards against orders and writes of a controller that still believes in its lease
  // after a pause (R65), with engines that take any order.
  Domain domain(true);
  Groups first(domain, "vm-1");
  REQUIRE(domain.WaitForGroup(GroupState::Serving, 1));
  Groups second(domain, "vm-2");
  domain.Kill(1, true);
  REQUIRE(domain.WaitForGroup(GroupState::Forming, 2));
  first.process.Signal(SIGSTOP);

  domain.caller.WaitFor(second.endpoint, "/state", HoldsLease);
  REQUIRE(domain.WaitForGroup(GroupState::Serving, 2));
  domain.Kill(1, false);
  domain.Kill(0, true);
  REQUIRE(domain.WaitForGroup(GroupState::Serving, 3));
  CHECK(domain.Members() == std::vector{ ServerId("engine-1"), ServerId("engine-2") });

  first.process.Signal(SIGCONT);
  domain.caller.WaitFor(first.endpoint, "/state", [](const json& aDump) {
    return DomainOf(aDump).value(json::json_pointer("/counters/time_gaps"), 0) > 0 &&
           !HoldsLease(aDump);
  });
  // The thawed controller has to leave the domain to the other one, which still works.
  domain.Kill(2, true);
  domain.Kill(0, false);
  REQUIRE(domain.WaitForGroup(GroupState::Serving, 4));
  CHECK(domain.record.controller.starts_with("vm-2"));
  CHECK(domain.Candidates() == 1);
  for (const auto& list : domain.Orders()) {
    const auto fence = [](const json& aOrder) { return aOrder["fence"]; };
    CHECK(std::ranges::is_sorted(list, {}, fence));
  }
}
