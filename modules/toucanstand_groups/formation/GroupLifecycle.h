#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "formation/EngineOrder.h"
#include "formation/FormationInputs.h"
#include "formation/GroupRecord.h"

namespace toucanstand {

/// Brings each replica group of a pool from its formation to the end of its life.
///
/// Four rules keep a member from being taken away from a head that may serve, and a head
/// from serving with a member missing:
///  - a head is opened only when every member reports the group as ready;
///  - members are used again only after the head has left or has ended; the members of a
///    head that does not answer leave, and are used again after the time for which a head
///    with a missing member keeps its work;
///  - a group whose member is no longer registered stands while the member answers: an
///    engine that is cut off from the store still serves;
///  - generations and fences rise with the lease, so that an engine rejects an order of
///    an earlier holder once it has one of the present holder.
class GroupLifecycle
{
public:
  /// An order without a visible effect is given again after this.
  static constexpr Duration kOrderRetryInterval = std::chrono::milliseconds(700);
  /// The same for an engine that does not answer.
  static constexpr Duration kUnresponsiveRetryInterval = std::chrono::milliseconds(2000);
  /// Time in which the members of a group that is found in formation may become complete.
  static constexpr Duration kAdoptionGrace = std::chrono::milliseconds(2500);
  /// Added to the time for which a head with a missing member keeps its work, for the
  /// way of the order that made the member leave.
  static constexpr Duration kStallSlack = std::chrono::milliseconds(300);
  /// Time in which an engine's registration shows what an answered order changed.
  static constexpr Duration kRegistrationLag = std::chrono::milliseconds(2000);

  /// Forgets everything; the lease was gained. @param aTerm rises with each holder
  void StartTerm(std::int64_t aTerm);

  /// Adopts the groups that are seen for the first time and advances all of them.
  void Step(const FormationInputs& aInputs,
            const std::map<GroupId, ObservedGroup>& aObserved,
            TimePoint aNow);

  /// Orders engines of one domain to form a group. @param aMembers by rank
  void Form(const std::string& aModel,
            const std::vector<const ServerEntry*>& aMembers,
            TimePoint aNow);

  /// Lets a group finish its work, so that its engines can serve another model.
  void Reassign(const GroupId& aGroup,
                const std::string& aModel,
                const DomainId& aDomain,
                TimePoint aNow);

  void OnReply(const EngineOrder& aOrder, EngineOrderReply aReply, TimePoint aNow);
  /// An engine did not answer when it was asked.
  void OnUnresponsive(const ServerId& aServer) { this->unresponsive.insert(aServer); }
  /// An engine answered when it was asked.
  void OnResponsive(const ServerId& aServer) { this->unresponsive.erase(aServer); }

  [[nodiscard]] std::vector<EngineOrder> TakeOrders();

  [[nodiscard]] const std::map<GroupId, GroupRecord>& Groups() const
  {
    return this->groups;
  }
  [[nodiscard]] std::size_t GroupCount(const std::string& aModel) const;

  /// An engine that may become a member of a group.
  [[nodiscard]] bool IsUsable(const ServerEntry& aEntry) const;

  /// A usable engine that no group has or may still get by an earlier order.
  [[nodiscard]] bool IsFree(const ServerEntry& aEntry) const;

  /// Engines that do not answer although they are registered.
  [[nodiscard]] const std::set<ServerId>& UnresponsiveEngines() const
  {
    return this->unresponsive;
  }

  /// An engine and where it listened last.
  struct EngineAddress
  {
    ServerId server;
    Endpoint endpoint;
  };

  /// Members of standing groups whose registrations have ended since they were complete,
  /// to be asked whether they live. Known after Step().
  [[nodiscard]] const std::vector<EngineAddress>& MembersToProbe() const
  {
    return this->membersToProbe;
  }

  /// True once an engine has seen an order of a later holder of the lease.
  [[nodiscard]] bool IsOutdated() const { return this->outdated; }

private:
  /// What a step on one group is decided by.
  struct StepContext
  {
    const GroupId& id;
    const ObservedGroup& observed;
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

  [[nodiscard]] bool IsComplete(const GroupRecord& aRecord,
                                const StepContext& aContext) const;
  /// Every member is registered as one or answers when it is asked.
  [[nodiscard]] bool AreMembersAlive(const GroupRecord& aRecord,
                                     const StepContext& aContext);
  [[nodiscard]] bool MembersHaveLeft(GroupRecord& aRecord, const StepContext& aContext);
  /// A member got an order to join a later group, which it may still carry out.
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
  /// Highest generation that each engine was ordered to join under this lease.
  std::map<ServerId, Generation> orderedJoins;
  std::vector<EngineOrder> orders;
  std::vector<EngineAddress> membersToProbe;
};

} // namespace toucanstand
