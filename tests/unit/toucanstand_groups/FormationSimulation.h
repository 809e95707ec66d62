#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "formation/FormationController.h"
#include "random/Random.h"

namespace toucanstand {

/// Simulates the engines of one pool, their registrations and their orders in virtual
/// time, to test FormationController. Counts violations of its safety rules.
class FormationSimulation
{
public:
  struct Options
  {
    int domains = 2;
    int enginesPerDomain = 8;
    /// Probabilities per order: executed with the reply lost, and executed 2 to 12 s
    /// late.
    double lostAnswers = 0;
    double lateOrders = 0;
    /// Expected faults per second, over all engines. After a crash, connections to the
    /// engine are refused; after an unreachable crash, they get no answer.
    double crashes = 0;
    double unreachableCrashes = 0;
    /// The controller can't reach an engine, which remains in its group.
    double networkOutages = 0;
    /// An engine can't reach the store, but still runs.
    double storeOutages = 0;
    double leaseHolderChanges = 0;
    /// A domain, which is a zone of its own, is evacuated for 1 to 30 s.
    double evacuations = 0;
  };

  FormationSimulation(Options aOptions, std::uint64_t aSeed);

  /// Advances time in whole ticks of the controller.
  void Run(Duration aDuration);

  /// Number of members that joined another group while the head of theirs was serving.
  int membersTakenFromServingHead = 0;
  /// Number of ticks in which a head served although a member had never been ready.
  int partialGroups = 0;
  /// Number of orders and probes that the controller wanted for engines of a zone that
  /// was evacuated.
  int contactsToEvacuatedZones = 0;

  [[nodiscard]] int OpenGroups(const std::string& aModel) const;
  void Kill(const ServerId& aEngine, bool aUnreachable);
  void DisconnectFromStore(const ServerId& aEngine, Duration aDuration);

  /// Gives the lease to a process that has read the store all the while.
  void ChangeLeaseHolder();
  /// Gives the lease to a process that has just started and read the store as it is.
  void StartNewLeaseHolder();
  [[nodiscard]] std::vector<ServerId> MembersOf(const std::string& aModel) const;
  /// Whether the engine is the open head of a group.
  [[nodiscard]] bool IsOpenHead(const ServerId& aEngine) const;
  [[nodiscard]] TimePoint Now() const { return this->now; }
  /// Stops all faults and reconnects all engines that are alive.
  void EndFaults();
  void StartTraffic() { this->traffic = true; }
  /// Sets the offered load and its priorities from now on.
  void SetLoad(ModelWork aWork, ModelMix aMix)
  {
    this->work = std::move(aWork);
    this->mix = std::move(aMix);
  }

  static constexpr Duration kTick = std::chrono::milliseconds(200);
  static constexpr Duration kHeadStallTimeout = std::chrono::seconds(5);

private:
  struct Engine
  {
    ServerEntry entry;
    bool alive = true;
    bool unreachable = false;
    TimePoint unreachableUntil{};
    TimePoint storeUnreachableUntil{};
    TimePoint disconnectedAt{};
    std::uint64_t highestGeneration = 0;
    std::int64_t highestFence = 0;
    TimePoint readyAt{};
    /// Since when this serving head lacks a member; zero when none is missing.
    TimePoint memberMissingSince{};
    bool registered = true;
  };

  struct DelayedOrder
  {
    TimePoint at{};
    EngineOrder order;
  };

  struct Registration
  {
    TimePoint at{};
    ServerId server;
    bool removed = false;
    ServerEntry entry;
    /// Revision of the store with this write.
    std::int64_t revision = 0;
  };

  void Tick();
  void InjectFaults();
  void AdvanceEngines();
  void DeliverRegistrations();
  void RunController();
  void Probe(const ServerId& aServer);
  [[nodiscard]] bool IsEvacuated(const ZoneId& aZone) const;
  EngineOrderReply Execute(const EngineOrder& aOrder);
  EngineOrderReply Join(Engine& aEngine, const EngineOrder& aOrder);
  void Register(const Engine& aEngine);
  void Unregister(const Engine& aEngine);
  [[nodiscard]] bool OccursThisTick(double aPerSecond);
  [[nodiscard]] Engine* HeadOf(const GroupId& aGroup);
  [[nodiscard]] bool HasMissingMember(const GroupId& aGroup) const;

  Options options;
  Random random;
  EngineCostModel cost;
  ServerDirectory directory;
  FormationController controller;
  /// Last write to the store, and the last that the controller has read.
  std::int64_t storeRevision = 100;
  std::int64_t knownRevision = 100;
  TimePoint now{ std::chrono::hours(1) };
  std::map<ServerId, Engine> engines;
  std::map<GroupId, std::vector<ServerId>> memberLists;
  std::map<GroupId, std::set<ServerId>> membersOnceReady;
  std::deque<DelayedOrder> delayedOrders;
  std::deque<Registration> registrations;
  std::map<ZoneId, TimePoint> evacuatedUntil;
  bool traffic = false;
  ModelWork work;
  ModelMix mix;
};

} // namespace toucanstand
