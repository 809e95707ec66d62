/// Prints the figures of docs/measurements/groups.md: group downtime and idle accelerator
/// time of each planning strategy under identical seeded faults, and the time per plan
/// and the record size by domain size.
#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>

#include "planning/BaselinePlanners.h"
#include "planning/GroupPlanner.h"
#include "planning/WeightBudget.h"

using namespace toucanstand;
using namespace std::chrono_literals;

namespace {

constexpr int kWarmUpSeconds = 3600;
constexpr int kEndSeconds = kWarmUpSeconds + 24 * 3600;
constexpr int kAcceleratorsPerServer = 8;
constexpr int kLossDetectionSeconds = 3;
constexpr int kFormingSeconds = 5;
constexpr double kWeightStoreBytesPerSecond = 2e9;
/// Multiplied by the group size: 40 GB per server in groups of 4, 80 GB in groups of 8.
constexpr std::uint64_t kWeightBytesPerMember = 10'000'000'000;

struct Server
{
  PlannedServer planned;
  int downUntil = 0;
  int downSince = 0;
  int leavingUntil = 0;
  double bytesToLoad = 0;
  int readySince = 0;
};

struct Totals
{
  double groupDowntime = 0;
  /// Part of groupDowntime that no strategy can avoid: too few servers were available.
  double unavoidableDowntime = 0;
  double idleAccelerators = 0;
  double loadedBytes = 0;
  int formations = 0;
};

/// Simulation of one fabric domain in steps of one second. Faults are drawn from a
/// separate random generator so that every strategy is exposed to the same faults.
class Domain
{
public:
  Domain(const std::string& aName,
         std::map<std::string, int> aServers,
         std::uint64_t aSeed)
    : faults(aSeed)
    , budget(kWeightStoreBytesPerSecond)
  {
    this->input.record.domain = DomainId(aName);
    for (const auto& [pool, count] : aServers) {
      const std::size_t size = pool == "large" ? 8 : 4;
      const auto wanted = static_cast<std::size_t>(count) / size;
      this->input.pools.push_back(
        { PoolId(pool), size, wanted, size * kWeightBytesPerMember });
      this->wantedGroups += static_cast<int>(wanted);
      for (int index = 0; index < count; ++index) {
        Server server;
        server.planned.id = ServerId(aName + pool + std::to_string(10 + index));
        server.planned.pool = PoolId(pool);
        server.bytesToLoad = static_cast<double>(this->input.pools.back().weightBytes);
        this->servers.push_back(server);
      }
    }
  }

  void Step(int aNow, PlanningStrategy& aStrategy, Totals& aTotals)
  {
    this->InjectFaults(aNow);
    this->LoadWeights(aNow, aTotals);
    this->UpdatePlan(aNow, aStrategy, aTotals);
    if (aNow >= kWarmUpSeconds) {
      this->AccumulateTotals(aNow, aTotals);
    }
  }

private:
  bool SampleFault(double aPerDay) { return this->faults.Fraction() < aPerDay / 86400; }

  void StopServer(Server& aServer, int aNow, int aSeconds, bool aKeepsState)
  {
    aServer.downSince = aNow;
    aServer.downUntil = std::max(aServer.downUntil, aNow + aSeconds);
    if (!aKeepsState) {
      aServer.planned.group = {};
      aServer.planned.holdsWeights = false;
      aServer.bytesToLoad =
        static_cast<double>(this->TargetOfServer(aServer).weightBytes);
    }
  }

  void InjectFaults(int aNow)
  {
    const bool domainFails = this->SampleFault(2);
    for (auto& server : this->servers) {
      const bool crashes = this->SampleFault(3);
      const bool pauses = this->SampleFault(6);
      const bool leaves = this->SampleFault(1);
      const int pause = 1 + static_cast<int>(this->faults.Below(20));
      if (domainFails || crashes) {
        this->StopServer(server, aNow, domainFails ? 300 : 60, false);
      } else if (pauses) {
        this->StopServer(server, aNow, pause, true);
      }
      if (leaves && !server.planned.leaving) {
        // The VM is replaced two minutes after the notice.
        server.planned.leaving = true;
        server.leavingUntil = aNow + 120;
      } else if (server.planned.leaving && aNow >= server.leavingUntil) {
        server.planned.leaving = false;
        this->StopServer(server, aNow, 60, false);
      }
      server.planned.reachable =
        aNow >= server.downUntil || aNow - server.downSince < kLossDetectionSeconds;
    }
  }

  const PoolTarget& TargetOfServer(const Server& aServer) const
  {
    return *std::ranges::find(this->input.pools, aServer.planned.pool, &PoolTarget::pool);
  }

  /// Loads weights; the loading servers share the bandwidth of the weight store evenly.
  void LoadWeights(int aNow, Totals& aTotals)
  {
    std::vector<Server*> loading;
    for (auto& server : this->servers) {
      const auto* entry = this->input.record.GroupOf(server.planned.id);
      if (entry == nullptr || aNow < server.downUntil) {
        continue;
      }
      if (!server.planned.holdsWeights) {
        loading.push_back(&server);
      } else if (entry->state == GroupState::Forming &&
                 aNow - this->formedAt[entry->group.id] >= kFormingSeconds) {
        server.planned.group = entry->group.id;
        server.planned.generation = entry->group.generation;
      }
    }
    for (auto* server : loading) {
      const double loadedBytesPerServer =
        kWeightStoreBytesPerSecond / static_cast<double>(loading.size());
      aTotals.loadedBytes += aNow >= kWarmUpSeconds ? loadedBytesPerServer : 0;
      server->bytesToLoad -= loadedBytesPerServer;
      server->planned.holdsWeights = server->bytesToLoad <= 0;
    }
  }

  void UpdatePlan(int aNow, PlanningStrategy& aStrategy, Totals& aTotals)
  {
    const TimePoint now{ std::chrono::seconds(aNow) };
    this->input.servers.clear();
    for (const auto& server : this->servers) {
      this->input.servers.push_back(server.planned);
    }
    this->input.mayLoadWeights = this->budget.CanLoad(now);
    auto plan = aStrategy.MakePlan(this->input);
    if (plan.record.HasSameContent(this->input.record)) {
      return;
    }
    this->budget.AddLoad(plan.weightBytes, now);
    for (const auto& entry : plan.record.groups) {
      const auto* before = this->input.record.Find(entry.group.id);
      if (before == nullptr || before->group.generation != entry.group.generation) {
        this->formedAt[entry.group.id] = aNow;
        aTotals.formations += aNow >= kWarmUpSeconds ? 1 : 0;
      }
    }
    this->input.record = std::move(plan.record);
  }

  void AccumulateTotals(int aNow, Totals& aTotals)
  {
    const auto serves = [this, aNow](const GroupEntry& aEntry) {
      return std::ranges::all_of(aEntry.group.members, [&](const ServerId& aServer) {
        const auto& server = *std::ranges::find(
          this->servers, aServer, [](const auto& aItem) { return aItem.planned.id; });
        return aNow >= server.downUntil && !server.planned.leaving &&
               server.planned.group == aEntry.group.id &&
               server.planned.generation == aEntry.group.generation;
      });
    };
    int serving = 0;
    std::size_t serversInServingGroups = 0;
    for (const auto& entry : this->input.record.groups) {
      if (serves(entry)) {
        ++serving;
        serversInServingGroups += entry.size;
      }
    }
    const auto present = static_cast<std::size_t>(std::ranges::count_if(
      this->servers, [aNow](const auto& aServer) { return aNow >= aServer.downUntil; }));
    aTotals.groupDowntime += this->wantedGroups - serving;
    for (const auto& pool : this->input.pools) {
      const auto count = std::ranges::count_if(this->servers, [&](const auto& aServer) {
        return aServer.planned.pool == pool.pool && aNow >= aServer.downUntil &&
               !aServer.planned.leaving;
      });
      const auto possible = static_cast<std::size_t>(count) / pool.groupSize;
      aTotals.unavoidableDowntime +=
        static_cast<double>(pool.wantedGroups - std::min(pool.wantedGroups, possible));
    }
    aTotals.idleAccelerators +=
      static_cast<double>((present - serversInServingGroups) * kAcceleratorsPerServer);
  }

  Random faults;
  WeightBudget budget;
  PlanningInput input;
  std::vector<Server> servers;
  std::map<GroupId, int> formedAt;
  int wantedGroups = 0;
};

Totals Simulate(PlanningStrategy& aStrategy, std::uint64_t aSeed)
{
  std::vector<Domain> domains;
  domains.emplace_back("a", std::map<std::string, int>{ { "small", 17 } }, aSeed * 10);
  domains.emplace_back(
    "b", std::map<std::string, int>{ { "large", 17 } }, aSeed * 10 + 1);
  domains.emplace_back(
    "c", std::map<std::string, int>{ { "large", 8 }, { "small", 8 } }, aSeed * 10 + 2);
  Totals totals;
  for (int now = 0; now < kEndSeconds; ++now) {
    for (auto& domain : domains) {
      domain.Step(now, aStrategy, totals);
    }
  }
  return totals;
}

void CompareStrategies()
{
  std::printf("strategy,seed,group_downtime_s,unavoidable_s,idle_accelerator_s,loaded_TB,"
              "formations\n");
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Random random(seed);
    GroupPlanner planner;
    FirstFitPlanner firstFit;
    RandomPlanner randomPlanner(random);
    const std::vector<std::pair<const char*, PlanningStrategy*>> strategies = {
      { "planner", &planner }, { "first-fit", &firstFit }, { "random", &randomPlanner }
    };
    for (const auto& [name, strategy] : strategies) {
      const auto totals = Simulate(*strategy, seed);
      std::printf("%s,%llu,%.0f,%.0f,%.0f,%.1f,%d\n",
                  name,
                  static_cast<unsigned long long>(seed),
                  totals.groupDowntime,
                  totals.unavoidableDowntime,
                  totals.idleAccelerators,
                  totals.loadedBytes / 1e12,
                  totals.formations);
      std::fflush(stdout);
    }
  }
}

/// Returns a domain in which every server is in a serving group. For the repair plan,
/// MeasurePlans() makes one server in 16 unreachable.
PlanningInput MakeServingDomain(int aServers)
{
  PlanningInput input;
  input.record.domain = DomainId("domain-1");
  input.pools = {
    { PoolId("assistant"), 8, static_cast<std::size_t>(aServers) / 8, 1'000'000 }
  };
  for (int index = 0; index < aServers; ++index) {
    PlannedServer server;
    server.id = ServerId("engine-" + std::to_string(100000 + index));
    server.pool = PoolId("assistant");
    server.reachable = true;
    server.holdsWeights = true;
    input.servers.push_back(server);
  }
  input.record = GroupPlanner().MakePlan(input).record;
  for (auto& server : input.servers) {
    const auto* entry = input.record.GroupOf(server.id);
    server.group = entry->group.id;
    server.generation = entry->group.generation;
  }
  return input;
}

double NanosecondsPerPlan(const PlanningInput& aInput)
{
  GroupPlanner planner;
  const int rounds = std::max(20, 200'000 / static_cast<int>(aInput.servers.size()) / 8);
  const auto start = BootClock::now();
  for (int round = 0; round < rounds; ++round) {
    if (planner.MakePlan(aInput).record.groups.empty()) {
      std::puts("empty plan");
    }
  }
  return ToSeconds(BootClock::now() - start) * 1e9 / rounds;
}

void MeasurePlans()
{
  std::printf("\nservers,ns_per_plan_unchanged,ns_per_plan_repair,record_bytes_serving,"
              "record_bytes_forming\n");
  for (const int servers : { 16, 64, 256, 1024 }) {
    auto input = MakeServingDomain(servers);
    const auto forming = FormatDomainRecord(input.record).size();
    input.record = GroupPlanner().MakePlan(input).record;
    const auto serving = FormatDomainRecord(input.record).size();
    const double unchanged = NanosecondsPerPlan(input);
    for (std::size_t index = 0; index < input.servers.size(); index += 16) {
      input.servers[index].reachable = false;
    }
    const double repair = NanosecondsPerPlan(input);
    std::printf("%d,%.0f,%.0f,%zu,%zu\n", servers, unchanged, repair, serving, forming);
  }
}

} // namespace

int main()
{
  CompareStrategies();
  MeasurePlans();
  return 0;
}
