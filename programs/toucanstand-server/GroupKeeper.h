#pragma once

#include <map>
#include <memory>
#include <set>

#include "PeerLink.h"
#include "ServingState.h"
#include "Session.h"
#include "formation/FormationController.h"

namespace toucanstand {

/// Runs group formation while this process leads: gives engines the controllers' orders
/// and finds out whether the members of a silent group live.
class GroupKeeper
{
public:
  /// Registrations arrive about as often.
  static constexpr Duration kInterval = std::chrono::milliseconds(200);
  /// Between two questions to a member that did not answer. A link that loses packets
  /// seldom loses two answers in a row.
  static constexpr Duration kSecondQuestion = std::chrono::milliseconds(100);
  /// Engines that did not answer are asked again after this.
  static constexpr Duration kNextQuestion = std::chrono::milliseconds(2000);
  /// A group is examined again no sooner than after this.
  static constexpr Duration kExaminationInterval = std::chrono::milliseconds(1000);

  GroupKeeper(ServingState& aState, Session& aSession, PeerLink& aPeers);

  /// Runs until the process ends.
  Task<> Run();

  /// A group was found silent.
  void OnSuspicion(const GroupId& aGroup);

  [[nodiscard]] nlohmann::json Describe() const;

private:
  Task<> PlanAll(std::int64_t aTerm);
  void PlanPool(const PoolId& aPool, const EngineCostModel& aCost, TimePoint aNow);
  void ExamineSilent(TimePoint aNow);
  Task<> Give(PoolId aPool, EngineOrder aOrder);
  Task<> Examine(PoolId aPool, ServerId aMember, Endpoint aEndpoint);
  FormationController& ControllerOf(const PoolId& aPool);

  ServingState& state;
  Session& session;
  PeerLink& peers;
  std::map<PoolId, FormationController> controllers;
  std::map<GroupId, TimePoint> examinedAt;
  std::map<ServerId, TimePoint> memberExaminedAt;
  /// Last logged plan of each pool.
  std::map<PoolId, std::string> summaries;
  std::int64_t term = 0;
  TimePoint silentExaminedAt{};
};

} // namespace toucanstand
