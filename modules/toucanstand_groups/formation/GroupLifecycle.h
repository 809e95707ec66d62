#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "formation/EngineOrder.h"
#include "formation/FormationInputs.h"
#include "formation/GroupRecord.h"

namespace toucanstand {

/// State machine of each replica group of a pool, from formation to dissolution.
///
/// The head of a group is its member with rank 0; it accepts the requests. Four rules
/// ensure that no member joins another group while its head may serve, and that no head
/// serves with a member missing:
///  - a head is opened only when every member reports that it is ready in the group, and
///    the others reject orders of former lease holders, which may be carried out late;
///  - members are reused only after the head has left or its process has ended; if the
///    head does not answer, its members are ordered to leave, and those that have left
///    are reused;
///  - a group with an unregistered member stays active while that member answers probes:
///    an engine that is partitioned from the store still serves. If this process has not
///    seen the member's registration, the head decides: it was opened when all members
///    were ready, and it breaks after `headStallTimeout` when one is lost;
///  - generations and fencing tokens increase with the lease term and within it, so that
///    an engine rejects a delayed order once it has received a later one.
class GroupLifecycle
{
public:
  /// Retry interval of an order whose effect has not been observed.
  static constexpr Duration kOrderRetryInterval = std::chrono::milliseconds(700);
  /// Retry interval for an engine that does not answer.
  static constexpr Duration kUnresponsiveRetryInterval = std::chrono::milliseconds(2000);
  /// Time that an adopted group whose head does not serve has to become complete.
  static constexpr Duration kAdoptionGrace = std::chrono::milliseconds(2500);
  /// Time that a group which is about to lose its head or a member has for its requests
  /// before those that still run are moved to other groups of the model. Its engines are
  /// needed for the group that replaces it.
  static constexpr Duration kMoveDelay = std::chrono::milliseconds(1500);
  /// Added to `headStallTimeout`, to allow for the delivery of the order that made the
  /// member leave.
  static constexpr Duration kStallSlack = std::chrono::milliseconds(300);
  /// Maximum delay until an engine's registration shows the effect of an answered order.
  static constexpr Duration kRegistrationLag = std::chrono::milliseconds(2000);

  /// Starts a lease term, discarding all state.
  /// @param aTerm increases with each lease holder.
  void StartTerm(std::int64_t aTerm);

  /// Adopts groups observed for the first time and advances the state of every group
  /// whose zone is not evacuated.
  void Step(const FormationInputs& aInputs,
            const std::map<GroupId, ObservedGroup>& aObserved,
            TimePoint aNow);

  /// Orders engines of one domain to form a group.
  /// @param aMembers in order of rank, the head first.
  void Form(const std::string& aModel,
            const std::vector<const ServerEntry*>& aMembers,
            TimePoint aNow);

  /// Starts to close a group, so that its engines can serve another model.
  /// @param aLongestRequest time for which the group may finish its requests
  void Reassign(const GroupId& aGroup,
                const std::string& aModel,
                const DomainId& aDomain,
                Duration aLongestRequest,
                TimePoint aNow);

  void OnReply(const EngineOrder& aOrder, EngineOrderReply aReply, TimePoint aNow);
  /// Reports that an engine did not answer a probe.
  void OnUnresponsive(const ServerId& aServer) { this->unresponsive.insert(aServer); }
  /// Reports that an engine answered a probe.
  void OnResponsive(const ServerId& aServer) { this->unresponsive.erase(aServer); }

  /// Returns the orders to send, without fencing tokens.
  [[nodiscard]] std::vector<EngineOrder> TakeOrders();

  [[nodiscard]] const std::map<GroupId, GroupRecord>& Groups() const
  {
    return this->groups;
  }
  [[nodiscard]] std::size_t GroupCount(const std::string& aModel) const;

  /// Whether the engine may become a member of a group.
  [[nodiscard]] bool IsUsable(const ServerEntry& aEntry) const;

  /// Whether the engine is usable, is in no group and has no order to join one in
  /// progress.
  [[nodiscard]] bool IsFree(const ServerEntry& aEntry) const;

  /// Engines that are reported as unresponsive, or whose process has ended.
  [[nodiscard]] const std::set<ServerId>& UnresponsiveEngines() const
  {
    return this->unresponsive;
  }

  /// An engine and its last known endpoint.
  struct EngineAddress
  {
    ServerId server;
    Endpoint endpoint;
  };

  /// Members of active and closing groups whose registrations expired after the group was
  /// complete, to be probed for liveness. Valid after Step().
  [[nodiscard]] const std::vector<EngineAddress>& MembersToProbe() const
  {
    return this->membersToProbe;
  }

  /// True once an engine reports an order of a later lease holder.
  [[nodiscard]] bool IsOutdated() const { return this->outdated; }

private:
  /// Inputs of one step of one group.
  struct StepContext
  {
    const GroupId& id;
    const ObservedGroup& observed;
    const std::map<GroupId, ObservedGroup>& allObserved;
    const FormationInputs& inputs;
    TimePoint now;
  };

  using StepFunction = void (GroupLifecycle::*)(GroupRecord&, const StepContext&);

  void Adopt(const FormationInputs& aInputs,
             const std::map<GroupId, ObservedGroup>& aObserved,
             TimePoint aNow);
  void StepForming(GroupRecord& aRecord, const StepContext& aContext);
  void StepActive(GroupRecord& aRecord, const StepContext& aContext);
  void StepClosing(GroupRecord& aRecord, const StepContext& aContext);
  void StepRetiring(GroupRecord& aRecord, const StepContext& aContext);
  void StepDissolved(GroupRecord& aRecord, const StepContext& aContext);
  void Retire(GroupRecord& aRecord, const StepContext& aContext);

  /// Whether the requests of a closing group may be moved to other groups.
  [[nodiscard]] bool MayMoveRequests(const GroupRecord& aRecord,
                                     const StepContext& aContext) const;
  [[nodiscard]] bool IsComplete(const GroupRecord& aRecord,
                                const StepContext& aContext) const;
  /// Whether every member is registered in the group, or is unregistered but answers
  /// probes. Adds the unregistered ones to the members to probe.
  [[nodiscard]] bool AreMembersAlive(const GroupRecord& aRecord,
                                     const StepContext& aContext);
  [[nodiscard]] bool MembersHaveLeft(GroupRecord& aRecord, const StepContext& aContext);
  /// Whether every member but the head has carried out or answered an order of this lease
  /// term, so that it rejects those of former lease holders. Repeats the order to join to
  /// those that have not.
  [[nodiscard]] bool AreMembersFenced(GroupRecord& aRecord, const StepContext& aContext);
  /// Whether a member was ordered to join a later group and may still do so.
  [[nodiscard]] bool IsSuperseded(const GroupRecord& aRecord) const;

  void OrderIfDue(GroupRecord& aRecord,
                  const StepContext& aContext,
                  OrderKind aKind,
                  const ServerId& aServer,
                  const Endpoint& aEndpoint);
  void QueueOrder(const GroupId& aId,
                  GroupRecord& aRecord,
                  OrderKind aKind,
                  const ServerId& aServer,
                  const Endpoint& aEndpoint,
                  TimePoint aNow);

  std::int64_t term = 0;
  std::uint64_t groupsFormed = 0;
  bool outdated = false;
  std::map<GroupId, GroupRecord> groups;
  std::set<ServerId> unresponsive;
  /// Engines that have answered an order of this lease term and are registered.
  std::set<ServerId> answered;
  /// Highest generation that each engine was ordered to join in this lease term.
  std::map<ServerId, Generation> orderedJoins;
  std::vector<EngineOrder> orders;
  std::vector<EngineAddress> membersToProbe;
};

} // namespace toucanstand
