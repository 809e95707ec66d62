#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "control/GroupController.h"
#include "permission/ServingPermission.h"
#include "random/Random.h"

namespace toucanstand {

/// Simulates one fabric domain with several controllers, a store and engines in virtual
/// time, with seeded random faults. Checks the invariants after each commit and each
/// evaluation of the permission to serve.
class DomainSimulation
{
public:
  explicit DomainSimulation(std::uint64_t aSeed);

  /// Runs with faults, then without, until the groups are complete.
  /// @returns the first violated invariant; empty when none.
  std::string Run();

private:
  using GroupKey = std::pair<GroupId, Generation>;
  struct Engine
  {
    bool alive = true;
    GroupKey group;
    std::int64_t fence = 0;
    /// Highest fencing token of all orders that it accepted; kept across restarts.
    std::int64_t highestFence = 0;
    /// Last time at which it was in each group.
    std::map<GroupKey, TimePoint> lastReportedIn;
  };
  struct ControllerInstance
  {
    std::unique_ptr<GroupController> controller;
    TimePoint pausedUntil{};
    bool assumesLease = false;
  };
  struct Event
  {
    TimePoint at{};
    std::uint64_t number = 0;
    std::function<void()> run;
  };
  struct LaterFirst
  {
    bool operator()(const Event& aLeft, const Event& aRight) const;
  };

  void RunAfter(Duration aDelay, std::function<void()> aRun);
  void RunEvery(Duration aPeriod, const std::function<void()>& aRun);
  bool WithProbability(double aChance);
  Duration Delay();
  void Deliver(std::size_t aIndex, const ControllerEvent& aEvent);
  void Perform(std::size_t aIndex, const ControllerAction& aAction);
  void Read(std::size_t aIndex, std::uint64_t aRequestId);
  void Write(std::size_t aIndex, const WriteRecord& aAction);
  void Order(std::size_t aIndex, const SendOrder& aAction);
  OrderOutcome ExecuteOrder(const SendOrder& aAction);
  void MaintainLease(std::size_t aIndex);
  void Poll(std::size_t aIndex);
  void InjectFaults();
  void Commit(const std::string& aText);
  void CheckPermissions();
  bool HasConverged();
  void Fail(const std::string& aViolation);
  Observation Observe(const ServerId& aServer);

  Random random;
  TimePoint now{};
  bool faults = true;
  /// Whether orders can be applied after their expiry, as happens when the sender is
  /// paused in the middle of the request.
  bool lateOrders;
  std::uint64_t eventCount = 0;
  std::priority_queue<Event, std::vector<Event>, LaterFirst> events;
  std::vector<ControllerInstance> instances;
  std::map<ServerId, Engine> engines;
  PlatformList list;
  std::vector<std::string> committed;
  std::vector<ReplicaGroup> lastGroups;
  std::int64_t revision = 0;
  /// Members of each group and generation that was ever in a committed record.
  std::map<GroupKey, std::vector<ServerId>> memberLists;
  std::optional<std::size_t> leaseHolder;
  TimePoint leaseUntil{};
  /// Possibly outdated groups and observations of a process that evaluates the permission
  /// to serve; see CheckPermissions().
  std::vector<ReplicaGroup> evaluatorGroups;
  std::map<ServerId, Observation> evaluatorObservations;
  std::string violation;
};

} // namespace toucanstand
