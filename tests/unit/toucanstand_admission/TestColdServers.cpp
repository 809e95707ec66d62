#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "limits/ColdServers.h"
#include "limits/ServerAvailability.h"
#include "random/Random.h"

using namespace toucanstand;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{ 100s };
/// The first deployment: 17 requests per second, 30.5 in any second.
constexpr double kPerSecond = 17;
constexpr ColdServers::Tolerance kTolerance{ 1.5, 5 };
constexpr double kBound = 30.5;

std::vector<ServingPool> MakePools(double aPerSecond = kPerSecond)
{
  ServingPool pool;
  pool.id = PoolId("engines");
  pool.coldStart = 3s;
  pool.coldRequestsPerSecond = aPerSecond;
  return { pool };
}

ServerEntry MakeEntry(const std::string& aId, std::optional<Duration> aColdTime = {})
{
  static std::int64_t sequence = 0;
  ServerEntry entry;
  entry.id = ServerId(aId);
  entry.pool = PoolId("engines");
  entry.zone = ZoneId("zone-a");
  entry.startedAtUnixMs = 1;
  entry.sequence.number = ++sequence;
  entry.coldTime.remaining = aColdTime;
  return entry;
}

/// VMs that send all they may to cold servers, and the store through which they know of
/// each other. A registration is read 0.3 to 0.9 s after it was written.
class SimulatedFleet
{
public:
  static constexpr Duration kStep = 10ms;
  static constexpr Duration kTick = 100ms;
  static constexpr Duration kLapse = 2s;
  static constexpr int kServers = 4;
  /// Requests of one of 79 VMs to one server that it does not know to be cold; the warm
  /// server gets as much in all as a cold one tolerates.
  static constexpr double kUsualRate = kPerSecond / 79;

  SimulatedFleet(std::uint64_t aSeed, std::size_t aVms)
    : random(aSeed)
    , sends(kServers)
  {
    for (std::size_t vm = 0; vm < aVms; ++vm) {
      this->Join();
    }
    this->Run(5s);
  }

  void Join()
  {
    this->vms.emplace_back();
    this->Start(this->vms.size() - 1);
  }
  /// A process starts and registers.
  void Start(std::size_t aVm)
  {
    auto& vm = this->vms[aVm];
    vm = Vm{};
    vm.cold = std::make_unique<ColdServers>(this->directory, kTolerance);
    vm.cold->SetPools(MakePools());
    this->Register(aVm, true);
  }
  void Kill(std::size_t aVm)
  {
    this->vms[aVm].cold.reset();
    this->vms[aVm].lapsesAt = this->now + kLapse;
  }
  /// The VM loses the store; its registration lapses.
  void Partition(std::size_t aVm)
  {
    this->vms[aVm].isPartitioned = true;
    this->vms[aVm].lapsesAt = this->now + kLapse;
  }
  void Return(std::size_t aVm)
  {
    auto& vm = this->vms[aVm];
    vm.isPartitioned = false;
    vm.lapsesAt.reset();
    this->Register(aVm, true);
  }
  void Freeze(std::size_t aVm)
  {
    this->Partition(aVm);
    this->vms[aVm].isFrozen = true;
  }
  /// It goes on before it has read the store.
  void Thaw(std::size_t aVm) { this->vms[aVm].isFrozen = false; }

  void MakeServersCold()
  {
    for (int server = 0; server < kServers; ++server) {
      this->entries.push_back(MakeEntry("engine-" + std::to_string(server), 1min));
      this->directory.Put(this->entries.back());
    }
  }

  void Run(Duration aLength)
  {
    for (const auto end = this->now + aLength; this->now < end; this->now += kStep) {
      for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
        auto& state = this->vms[vm];
        if (state.lapsesAt && *state.lapsesAt <= this->now) {
          state.lapsesAt.reset();
          this->Register(vm, false);
        }
        if (state.cold != nullptr && !state.isFrozen) {
          this->Act(state, vm);
        }
      }
    }
  }

  /// Most requests to one server in any second.
  [[nodiscard]] std::size_t MostInSecond() const
  {
    std::size_t most = 0;
    for (const auto& times : this->sends) {
      auto last = times.begin();
      for (auto first = times.begin(); first != times.end(); ++first) {
        last = std::find_if(
          last, times.end(), [&](TimePoint aTime) { return aTime - *first >= 1s; });
        most = std::max(most, static_cast<std::size_t>(last - first));
      }
    }
    return most;
  }

  [[nodiscard]] std::size_t SendCount() const
  {
    std::size_t count = 0;
    for (const auto& times : this->sends) {
      count += times.size();
    }
    return count;
  }

  Random random;
  TimePoint now = kStart;

private:
  struct Vm
  {
    std::unique_ptr<ColdServers> cold;
    bool isPartitioned = false;
    bool isFrozen = false;
    /// When the store drops the registration.
    std::optional<TimePoint> lapsesAt;
    bool knowsServers = false;
    TimePoint copyOf{};
    TimePoint tickAt{};
  };

  /// What the store knew from a time on.
  struct Registrations
  {
    TimePoint from{};
    std::vector<bool> isRegistered;
  };

  static std::string NameOf(std::size_t aVm) { return "10.0.0." + std::to_string(aVm); }

  void Register(std::size_t aVm, bool aIsRegistered)
  {
    Registrations next{ this->now,
                        this->store.empty() ? std::vector<bool>()
                                            : this->store.back().isRegistered };
    next.isRegistered.resize(this->vms.size());
    next.isRegistered[aVm] = aIsRegistered;
    this->store.push_back(std::move(next));
  }

  void Act(Vm& aVm, std::size_t aNumber)
  {
    if (this->now >= aVm.tickAt) {
      aVm.tickAt = this->now + kTick;
      if (!aVm.isPartitioned) {
        this->ReadStore(aVm, aNumber);
      }
      aVm.cold->Update(this->now);
    }
    for (int server = 0; server < kServers; ++server) {
      const ServerId id("engine-" + std::to_string(server));
      const bool mustGuess = !aVm.knowsServers && !this->entries.empty();
      if (mustGuess && this->random.Fraction() < kUsualRate * ToSeconds(kStep)) {
        this->sends[static_cast<std::size_t>(server)].push_back(this->now);
      }
      while (aVm.knowsServers &&
             aVm.cold->TimeUntilNextRequest(id, this->now) == Duration::zero()) {
        aVm.cold->OnSent(id, this->now);
        this->sends[static_cast<std::size_t>(server)].push_back(this->now);
      }
    }
  }

  void ReadStore(Vm& aVm, std::size_t aNumber)
  {
    aVm.copyOf =
      std::max(aVm.copyOf, this->now - FromSeconds(0.3 + 0.6 * this->random.Fraction()));
    const auto known = std::find_if(
      this->store.rbegin(), this->store.rend(), [&](const Registrations& aState) {
        return aState.from <= aVm.copyOf;
      });
    if (known == this->store.rend()) {
      return;
    }
    ColdServers::FleetView view;
    view.self = NameOf(aNumber);
    for (std::size_t vm = 0; vm < known->isRegistered.size(); ++vm) {
      if (vm == aNumber) {
        view.isRegistered = known->isRegistered[vm];
      } else if (known->isRegistered[vm]) {
        view.others.push_back(NameOf(vm));
      }
    }
    view.completeAt = aVm.copyOf;
    aVm.cold->SetFleet(std::move(view), this->now);
    for (const auto& entry : this->entries) {
      aVm.cold->OnRegistration(entry, this->now);
      aVm.knowsServers = true;
    }
  }

  ServerDirectory directory;
  std::vector<ServerEntry> entries;
  std::vector<Vm> vms;
  std::vector<Registrations> store;
  std::vector<std::vector<TimePoint>> sends;
};

constexpr std::size_t kVms = 79;
constexpr std::size_t kSeeds = 2;

} // namespace

TEST_CASE("79 VMs use nearly all of a cold server's rate and stay within its bound",
          "[cold]")
{
  // Guards against shares that add up to more than a server tolerates, and against shares
  // that lie idle. Load: each VM always has a caller waiting, for 20 s.
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SimulatedFleet fleet(seed, kVms);
    fleet.MakeServersCold();
    fleet.Run(1s);
    const auto before = fleet.SendCount();
    fleet.Run(20s);
    const double used = static_cast<double>(fleet.SendCount() - before) /
                        (kPerSecond * 20 * SimulatedFleet::kServers);
    INFO("seed " << seed << ", used " << used << ", most " << fleet.MostInSecond());
    CHECK(used >= 0.9);
    CHECK(static_cast<double>(fleet.MostInSecond()) < kBound);
  }
}

TEST_CASE("VMs that join, die, freeze and are cut off do not exceed the bound", "[cold]")
{
  // Guards against two VMs that hold the same share because one of them does not know the
  // other. Load: as above; every 0.5 s something happens to four VMs, then half of the
  // fleet is cut off or frozen while others join, and returns.
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SimulatedFleet fleet(seed, kVms);
    fleet.MakeServersCold();
    std::deque<std::pair<std::size_t, std::size_t>> absent;
    for (int round = 0; round < 20; ++round) {
      for (std::size_t action = 0; action < 4; ++action) {
        const auto vm = fleet.random.Below(kVms);
        const bool isPresent = std::ranges::none_of(
          absent, [vm](const auto& aAbsent) { return aAbsent.first == vm; });
        if (action == 3) {
          fleet.Join();
        } else if (isPresent) {
          absent.emplace_back(vm, action);
          action == 0   ? fleet.Kill(vm)
          : action == 1 ? fleet.Partition(vm)
                        : fleet.Freeze(vm);
        }
      }
      fleet.Run(500ms);
      if (round % 3 == 2) {
        const auto [vm, action] = absent.front();
        absent.pop_front();
        if (action == 0) {
          fleet.Start(vm);
        } else {
          fleet.Thaw(vm);
          fleet.Run(50ms);
          fleet.Return(vm);
        }
      }
    }
    for (std::size_t vm = 0; vm < kVms; vm += 2) {
      fleet.Partition(vm);
    }
    for (int round = 0; round < 10; ++round) {
      fleet.Join();
      fleet.Run(500ms);
    }
    for (std::size_t vm = 0; vm < kVms; vm += 2) {
      fleet.Thaw(vm);
      fleet.Return(vm);
    }
    fleet.Run(6s);
    INFO("seed " << seed << ", most " << fleet.MostInSecond());
    CHECK(static_cast<double>(fleet.MostInSecond()) < kBound);
  }
}

TEST_CASE("Half of the fleet may not know that a server is cold", "[cold]")
{
  // Guards against a bound that leaves no room for VMs which are cut off from the store
  // before the server becomes cold, and treat it as warm. Load: half of 79 VMs send it
  // their usual part, the others all they may.
  for (const Duration before : { 0s, 1s, 2s, 6s }) {
    SimulatedFleet fleet(1, kVms);
    for (std::size_t vm = 0; vm < kVms; vm += 2) {
      fleet.Partition(vm);
    }
    fleet.Run(before);
    fleet.MakeServersCold();
    fleet.Run(8s);
    INFO("cold after " << ToSeconds(before) << " s, most " << fleet.MostInSecond());
    CHECK(static_cast<double>(fleet.MostInSecond()) < kBound);
  }
}

namespace {

/// One VM that is alone and has read its registration long ago.
struct Fixture
{
  explicit Fixture(double aPerSecond = kPerSecond)
  {
    this->cold.SetPools(MakePools(aPerSecond));
  }

  void Know(Duration aAt, std::vector<std::string> aOthers = {}, Duration aAge = 0ms)
  {
    this->cold.SetFleet({ "vm-1", std::move(aOthers), true, kStart + aAt - aAge },
                        kStart + aAt);
    this->cold.Update(kStart + aAt);
  }
  bool Register(ServerEntry aEntry, Duration aAt)
  {
    const bool isNew = this->cold.OnRegistration(aEntry, kStart + aAt);
    this->directory.Put(std::move(aEntry));
    this->cold.Update(kStart + aAt);
    return isNew;
  }
  Duration Remaining(const char* aServer, Duration aAt) const
  {
    return this->cold.RemainingTime(ServerId(aServer), kStart + aAt);
  }
  bool MaySend(const char* aServer, Duration aAt) const
  {
    return this->cold.TimeUntilNextRequest(ServerId(aServer), kStart + aAt) ==
           Duration::zero();
  }
  void Send(Duration aAt) { this->cold.OnSent(ServerId("other"), kStart + aAt); }

  ServerDirectory directory;
  ColdServers cold{ directory, kTolerance };
};

} // namespace

TEST_CASE("Servers become cold by what they state, by a new start and by their zone",
          "[cold]")
{
  // Guards against engines that are cold and get everything, and against ones that are
  // warm and get nothing.
  Fixture vm;
  CHECK_FALSE(vm.Register(MakeEntry("a"), 0s));
  vm.Send(1s);
  CHECK_FALSE(vm.Register(MakeEntry("a", 0ms), 1s));
  CHECK(vm.MaySend("a", 1s));

  const auto stated = MakeEntry("a", 2s);
  CHECK(vm.Register(stated, 2s));
  CHECK_FALSE(vm.Register(stated, 3s));
  CHECK(vm.Remaining("a", 3s) == Duration(1s));
  CHECK_FALSE(vm.MaySend("a", 3s));
  CHECK_FALSE(vm.Register(MakeEntry("a", 0ms), 3s));
  CHECK(vm.MaySend("a", 3s));

  auto started = MakeEntry("a", 0ms);
  started.startedAtUnixMs = 2;
  CHECK(vm.Register(started, 10s));
  CHECK(vm.Remaining("a", 10s) == Duration(3s));
  CHECK_FALSE(vm.Register(MakeEntry("a", 1min), 10s)); // Of the earlier run.
  CHECK(vm.Remaining("a", 10s) == Duration(3s));

  CHECK(vm.cold.OnZoneReturned(ZoneId("zone-a"), kStart + 20s) == 1);
  CHECK(vm.Remaining("a", 20s) == Duration(5s));
  started.sequence.number += 10;
  vm.Register(started, 21s);
  CHECK(vm.Remaining("a", 21s) == Duration(4s));
  started.sequence.number += 10;
  vm.Register(started, 22s);
  CHECK(vm.Remaining("a", 22s) == Duration::zero());
}

TEST_CASE("The head of a group is bound while a registered member is cold", "[cold]")
{
  // Guards against a cold member that gets the requests of its head.
  Fixture vm;
  for (const std::size_t rank : { 0, 1 }) {
    auto entry = MakeEntry("g" + std::to_string(rank), rank == 1 ? 3s : 0s);
    entry.membership = { GroupId("group"), 1, rank, MembershipState::Open };
    vm.Register(entry, 0s);
  }
  CHECK_FALSE(vm.MaySend("g0", 1s));
  CHECK(vm.cold.Exhausted(kStart + 1s).size() == 2);
  CHECK(vm.MaySend("g0", 3s));
}

TEST_CASE("A share begins empty and is given up with the fleet", "[cold]")
{
  // Guards against a VM that uses a share which another one holds by now.
  Fixture vm;
  vm.Register(MakeEntry("a", 1min), 0s);
  vm.Know(0s);
  vm.Know(2s);
  CHECK_FALSE(vm.MaySend("a", 2s));
  vm.Know(4s);
  CHECK_FALSE(vm.MaySend("a", 4s));
  CHECK(vm.MaySend("a", 5s));
  // The copy of the store is too old now.
  CHECK_FALSE(vm.MaySend("a", 7s + 1ms));
  // What happened meanwhile is not known.
  vm.Know(8s);
  vm.Know(10s);
  CHECK_FALSE(vm.MaySend("a", 10s + 900ms));
  vm.Know(11s);
  CHECK(vm.MaySend("a", 12s));
  // Not registered.
  vm.cold.SetFleet({ "vm-1", {}, false, kStart + 12s }, kStart + 12s);
  vm.cold.Update(kStart + 12s);
  CHECK_FALSE(vm.MaySend("a", 12s));
}

TEST_CASE("Without a rate nothing is cold, and with a low one a request gets through",
          "[cold]")
{
  // Guards against changes for pools that state no rate, and against a server that gets
  // nothing for ever as its bound is low.
  Fixture without(0);
  without.Send(0s);
  CHECK_FALSE(without.Register(MakeEntry("a", 1min), 0s));
  CHECK(without.MaySend("a", 0s));
  CHECK(without.cold.OnZoneReturned(ZoneId("zone-a"), kStart) == 0);

  ServerDirectory directory;
  ColdServers cold(directory, {});
  cold.SetPools(MakePools(1));
  const auto entry = MakeEntry("a", 1min);
  directory.Put(entry);
  cold.OnRegistration(entry, kStart);
  std::size_t sent = 0;
  for (auto now = kStart; now < kStart + 13s; now += 100ms) {
    cold.SetFleet({ "vm-1", {}, true, now }, now);
    cold.Update(now);
    if (cold.TimeUntilNextRequest(ServerId("a"), now) == Duration::zero()) {
      cold.OnSent(ServerId("a"), now);
      ++sent;
    }
  }
  CHECK(sent == 4);
}

TEST_CASE("A cold server is spared until the next share", "[cold]")
{
  // Guards against requests that are placed on a server which must not get them, and
  // against a rejection without a time.
  Fixture vm;
  ServerRateLimits limits;
  const ZoneEvacuations evacuations;
  const ServerAvailability availability(vm.directory, limits, evacuations, vm.cold);
  vm.Know(0s);
  vm.Know(3s);
  vm.Register(MakeEntry("a", 1min), 4s);
  const auto answer = availability.WhenMayBeSent(ServerId("a"), kStart + 4s);
  CHECK(answer.obstacle == ServerAvailability::Obstacle::Cold);
  REQUIRE(answer.wait.has_value());
  CHECK(ToSeconds(*answer.wait) == Approx(1 / kPerSecond).epsilon(0.01));
  const auto spared = availability.Spared(kStart + 4s);
  REQUIRE(spared.size() == 1);
  CHECK(spared[0].obstacle == ServerAvailability::Obstacle::Cold);
  CHECK(availability.Spared(kStart + 5s).empty());
}
