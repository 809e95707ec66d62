#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "formation/FormationController.h"
#include "random/Random.h"

namespace toucanstand {

/// Engines of one pool with their registrations and orders, in virtual time, for
/// FormationController. Counts what must never happen.
class FormationSimulation
{
public:
  struct Options
  {
    int domains = 2;
    int enginesPerDomain = 8;
    /// Chances of an order: executed without an answer, and executed 2 to 12 s later.
    double lostAnswers = 0;
    double lateOrders = 0;
    /// Chances in a second, over all engines.
    double crashes = 0;
    double unreachableCrashes = 0;
    /// An engine can't be reached by the leader, and lives on with its group.
    double networkOutages = 0;
    /// An engine can't reach the store, and lives on.
    double storeOutages = 0;
    double leaseHolderChanges = 0;
  };

  FormationSimulation(Options aOptions, std::uint64_t aSeed);

  /// Advances by whole ticks of the leader.
  void Run(Duration aDuration);

  /// Members taken from a head that may serve.
  int membersTakenFromServingHead = 0;
  /// Heads that served although a member was never ready in their group.
  int partialGroups = 0;

  [[nodiscard]] int OpenGroups(const std::string& aModel) const;
  void Kill(const ServerId& aEngine, bool aUnreachable);
  void DisconnectFromStore(const ServerId& aEngine, Duration aDuration);
  [[nodiscard]] std::vector<ServerId> MembersOf(const std::string& aModel) const;
  [[nodiscard]] TimePoint Now() const { return this->now; }
  /// Ends all faults.
  void EndFaults();
  void StartTraffic() { this->traffic = true; }

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
    TimePoint missingSince{};
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
  };

  void Tick();
  void InjectFaults();
  void AdvanceEngines();
  void DeliverRegistrations();
  void RunController();
  void Probe(const ServerId& aServer);
  EngineOrderReply Execute(const EngineOrder& aOrder);
  EngineOrderReply Join(Engine& aEngine, const EngineOrder& aOrder);
  void Register(const Engine& aEngine);
  [[nodiscard]] bool OccursThisTick(double aPerSecond);
  [[nodiscard]] Engine* HeadOf(const GroupId& aGroup);
  [[nodiscard]] bool HasMissingMember(const GroupId& aGroup) const;

  Options options;
  Random random;
  EngineCostModel cost;
  ServerDirectory directory;
  FormationController controller;
  std::int64_t term = 100;
  TimePoint now{ std::chrono::hours(1) };
  std::map<ServerId, Engine> engines;
  std::map<GroupId, std::vector<ServerId>> memberLists;
  std::map<GroupId, std::set<ServerId>> membersOnceReady;
  std::deque<DelayedOrder> delayedOrders;
  std::deque<Registration> registrations;
  bool traffic = false;
};

} // namespace toucanstand
