#pragma once

#include <map>
#include <memory>
#include <set>

#include "PeerChannel.h"
#include "ServingState.h"
#include "StoreSession.h"
#include "formation/FormationController.h"

namespace toucanstand {

/// Runs group formation while this process leads: gives engines the controllers' orders
/// and finds out whether the members of a silent group live.
class GroupCoordinator
{
public:
  /// Registrations arrive about as often.
  static constexpr Duration kPlanInterval = std::chrono::milliseconds(200);
  /// Between two questions to a member that did not answer. A link that loses packets
  /// seldom loses two answers in a row.
  static constexpr Duration kProbeRetryDelay = std::chrono::milliseconds(100);
  /// Engines that did not answer are asked again after this.
  static constexpr Duration kSilentProbeInterval = std::chrono::milliseconds(2000);
  /// A group is examined again no sooner than after this.
  static constexpr Duration kMinProbeInterval = std::chrono::milliseconds(1000);

  GroupCoordinator(ServingState& aState, StoreSession& aSession, PeerChannel& aPeers);

  /// Runs until the process ends.
  Task<> Run();

  /// A group was found silent.
  void OnGroupSuspected(const GroupId& aGroup);

  [[nodiscard]] nlohmann::json Describe() const;

private:
  Task<> PlanPools(std::int64_t aTerm);
  void PlanPool(const PoolId& aPool, const EngineCostModel& aCost, TimePoint aNow);
  void ProbeSilentServers(TimePoint aNow);
  Task<> SendOrder(PoolId aPool, EngineOrder aOrder);
  Task<> ProbeMember(PoolId aPool, ServerId aMember, Endpoint aEndpoint);
  FormationController& ControllerOf(const PoolId& aPool);

  ServingState& state;
  StoreSession& session;
  PeerChannel& peers;
  std::map<PoolId, FormationController> controllers;
  std::map<GroupId, TimePoint> groupProbedAt;
  std::map<ServerId, TimePoint> memberProbedAt;
  /// Last logged plan of each pool.
  std::map<PoolId, std::string> loggedPlans;
  std::int64_t term = 0;
  TimePoint silentServersProbedAt{};
};

} // namespace toucanstand
