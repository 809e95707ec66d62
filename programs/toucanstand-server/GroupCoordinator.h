#pragma once

#include <map>
#include <memory>
#include <set>

#include "PeerChannel.h"
#include "ServingState.h"
#include "StoreSession.h"
#include "StoreSynchronizer.h"
#include "formation/FormationController.h"

namespace toucanstand {

/// Runs group formation while this process is the leader: sends the orders of each pool's
/// FormationController to the engines, and probes the members of groups that stopped
/// responding.
class GroupCoordinator
{
public:
  /// Interval between two plans; registrations change about as often.
  static constexpr Duration kPlanInterval = std::chrono::milliseconds(200);
  /// Delay before the second probe of a member that did not answer the first. A lossy
  /// link rarely loses two answers in a row.
  static constexpr Duration kProbeRetryDelay = std::chrono::milliseconds(100);
  /// Interval at which engines that did not answer are probed again.
  static constexpr Duration kSilentProbeInterval = std::chrono::milliseconds(2000);
  /// Minimum time between two probes of the same group or member.
  static constexpr Duration kMinProbeInterval = std::chrono::milliseconds(1000);

  /// The references must outlive the coordinator.
  GroupCoordinator(ServingState& aState,
                   StoreSession& aSession,
                   const StoreSynchronizer& aStoreCopy,
                   PeerChannel& aPeers);

  /// Runs until the process ends.
  Task<> Run();

  /// Probes the members of a group that stopped responding, if this process leads.
  void OnGroupSuspected(const GroupId& aGroup);

  /// Stops planning until the engines have written their registrations again: those of
  /// the copy may show groups that no longer exist.
  void OnStoreRestored(TimePoint aNow)
  {
    this->planAgainAt = aNow + ServerDirectory::kReturnGrace;
  }

  [[nodiscard]] nlohmann::json Describe() const;

private:
  Task<> PlanPools(std::int64_t aTerm);
  void PlanPool(const PoolId& aPool, const EngineCostModel& aCost, TimePoint aNow);
  void ProbeSilentServers(TimePoint aNow);
  Task<> SendOrder(PoolId aPool, EngineOrder aOrder);
  /// Sends an order. A refused connection counts only if this VM reaches another server
  /// before and the connection is refused again after that.
  Task<EngineOrderReply> SendVerified(EngineOrder aOrder);
  Task<bool> ReachesAnotherServer(ServerId aExcept);
  Task<> ProbeMember(PoolId aPool, ServerId aMember, Endpoint aEndpoint);
  FormationController& ControllerOf(const PoolId& aPool);

  ServingState& state;
  StoreSession& session;
  const StoreSynchronizer& storeCopy;
  PeerChannel& peers;
  std::map<PoolId, FormationController> controllers;
  std::map<GroupId, TimePoint> groupProbedAt;
  std::map<ServerId, TimePoint> memberProbedAt;
  /// Summary of the last plan that was logged, by pool.
  std::map<PoolId, std::string> loggedPlans;
  std::int64_t term = 0;
  TimePoint planAgainAt{};
  TimePoint silentServersProbedAt{};
};

} // namespace toucanstand
