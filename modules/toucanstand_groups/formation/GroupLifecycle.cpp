#include "formation/GroupLifecycle.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <ranges>
#include <utility>

namespace toucanstand {

namespace {

/// Number of generations reserved for each lease term: a term starts at its number times
/// this value.
constexpr Generation kGenerationsPerTerm = 100'000;
/// A formation times out after the load time of its model times this factor, plus
/// kFormationSlack. Concurrent loads slow one another down, so that a load takes longer
/// than alone.
constexpr int kMaxLoadSlowdown = 4;
constexpr Duration kFormationSlack = std::chrono::seconds(5);

void EnterPhase(GroupRecord& aRecord, GroupPhase aPhase, TimePoint aNow)
{
  aRecord.phase = aPhase;
  aRecord.phaseEnteredAt = aNow;
  aRecord.orderedAt.clear();
}

/// Starts to close a group that may serve. An order to leave takes effect at once and
/// would cut off the requests of its head, which accepts them until the order to close
/// has reached it.
void BeginDrain(GroupRecord& aRecord, Duration aLongestRequest, TimePoint aNow)
{
  aRecord.drainTimeout = aLongestRequest + GroupLifecycle::kOrderRetryInterval;
  EnterPhase(aRecord, GroupPhase::Closing, aNow);
}

bool HasLeavingMember(const ObservedGroup& aObservedGroup)
{
  return std::ranges::any_of(aObservedGroup.members,
                             [](const ServerEntry* aMember) { return aMember->leaving; });
}

void RememberHead(GroupRecord& aRecord, const ServerEntry& aHead)
{
  aRecord.head = aHead.id;
  aRecord.headEndpoint = aHead.endpoint;
  aRecord.zone = aHead.zone;
}

void RememberMembers(GroupRecord& aRecord, const ObservedGroup& aObservedGroup)
{
  auto members = aObservedGroup.members;
  std::ranges::copy(aObservedGroup.unregisteredMembers, std::back_inserter(members));
  std::ranges::sort(
    members, {}, [](const ServerEntry* aMember) { return aMember->membership->rank; });
  aRecord.members.clear();
  for (const auto* member : members) {
    aRecord.members.push_back(member->id);
    aRecord.endpoints[member->id] = member->endpoint;
  }
}

/// Whether the head accepts requests or finishes those it has. Then all members were
/// ready once: no head is opened before.
bool HeadServes(const ObservedGroup& aObservedGroup)
{
  const auto* head = aObservedGroup.Head();
  return head != nullptr && (head->membership->state == MembershipState::Open ||
                             head->membership->state == MembershipState::Closing);
}

/// Whether the engine is registered in a group whose head serves.
bool IsInServingGroup(const ServerEntry& aEntry,
                      const std::map<GroupId, ObservedGroup>& aObserved)
{
  if (!aEntry.membership) {
    return false;
  }
  const auto found = aObserved.find(aEntry.membership->group);
  return found != aObserved.end() && HeadServes(found->second);
}

/// Whether the registered members have been ready.
bool AreReady(const ObservedGroup& aObservedGroup)
{
  return std::ranges::none_of(aObservedGroup.members, [](const ServerEntry* aMember) {
    return aMember->membership->state == MembershipState::Joining;
  });
}

} // namespace

void GroupLifecycle::StartTerm(std::int64_t aTerm)
{
  *this = GroupLifecycle();
  this->term = aTerm;
}

void GroupLifecycle::Step(const FormationInputs& aInputs,
                          const std::map<GroupId, ObservedGroup>& aObserved,
                          TimePoint aNow)
{
  // In the order of GroupPhase.
  constexpr std::array<StepFunction, 5> kSteps = { &GroupLifecycle::StepForming,
                                                   &GroupLifecycle::StepActive,
                                                   &GroupLifecycle::StepClosing,
                                                   &GroupLifecycle::StepRetiring,
                                                   &GroupLifecycle::StepDissolved };
  this->membersToProbe.clear();
  std::erase_if(this->answered, [&aInputs](const ServerId& aServer) {
    return aInputs.directory.Find(aServer) == nullptr;
  });
  this->Adopt(aInputs, aObserved, aNow);
  const ObservedGroup notObserved;
  for (auto& [id, record] : this->groups) {
    const bool wasEvacuated =
      std::exchange(record.isEvacuated, aInputs.IsEvacuated(record.zone));
    if (record.isEvacuated) {
      continue;
    }
    if (wasEvacuated) {
      // No order was sent during the evacuation, so the phase could not make progress. A
      // head that has not executed the order to close accepts requests again, and would
      // cut them if its drain counted as over.
      EnterPhase(record, record.phase, aNow);
    }
    const auto observed = aObserved.find(id);
    const StepContext context{ id,
                               observed == aObserved.end() ? notObserved
                                                           : observed->second,
                               aObserved,
                               aInputs,
                               aNow };
    (this->*kSteps.at(static_cast<std::size_t>(record.phase)))(record, context);
  }
  std::erase_if(this->groups, [&aObserved](const auto& aGroup) {
    return aGroup.second.phase == GroupPhase::Dissolved &&
           !aObserved.contains(aGroup.first);
  });
}

void GroupLifecycle::Adopt(const FormationInputs& aInputs,
                           const std::map<GroupId, ObservedGroup>& aObserved,
                           TimePoint aNow)
{
  for (const auto& [id, observed] : aObserved) {
    if (this->groups.contains(id)) {
      continue;
    }
    GroupRecord record;
    record.generation = observed.generation;
    record.model = ModelOfGroup(id);
    const auto* terms = aInputs.cost.FindModel(record.model);
    record.size = terms == nullptr ? 0 : terms->groupSize;
    record.phaseEnteredAt = aNow;
    record.zone = observed.members.front()->zone;
    if (terms == nullptr) {
      BeginDrain(record, aInputs.longestRequest, aNow);
    }
    this->groups.emplace(id, std::move(record));
  }
}

void GroupLifecycle::Form(const std::string& aModel,
                          const std::vector<const ServerEntry*>& aMembers,
                          TimePoint aNow)
{
  GroupRecord record;
  record.generation =
    static_cast<Generation>(this->term) * kGenerationsPerTerm + ++this->groupsFormed;
  record.model = aModel;
  record.size = aMembers.size();
  EnterPhase(record, GroupPhase::Forming, aNow);
  RememberHead(record, *aMembers.front());
  for (const auto* member : aMembers) {
    record.members.push_back(member->id);
    record.endpoints[member->id] = member->endpoint;
  }
  const auto id = GroupIdFor(aModel, record.generation);
  auto& stored = this->groups.emplace(id, std::move(record)).first->second;
  for (const auto* member : aMembers) {
    this->QueueOrder(id, stored, OrderKind::Join, member->id, member->endpoint, aNow);
  }
}

void GroupLifecycle::Reassign(const GroupId& aGroup,
                              const std::string& aModel,
                              const DomainId& aDomain,
                              Duration aLongestRequest,
                              TimePoint aNow)
{
  auto& record = this->groups.at(aGroup);
  record.reassignedTo = aModel;
  record.domain = aDomain;
  BeginDrain(record, aLongestRequest, aNow);
}

void GroupLifecycle::StepForming(GroupRecord& aRecord, const StepContext& aContext)
{
  const auto& directory = aContext.inputs.directory;
  const auto* terms = aContext.inputs.cost.FindModel(aRecord.model);
  const bool timedOut =
    terms == nullptr || aContext.now - aRecord.phaseEnteredAt >
                          terms->loadTime * kMaxLoadSlowdown + kFormationSlack;
  const bool memberLost =
    std::ranges::any_of(aRecord.members, [&](const ServerId& aMember) {
      const auto* entry = directory.Find(aMember);
      return entry == nullptr || !this->IsUsable(*entry);
    });
  if (timedOut || memberLost) {
    EnterPhase(aRecord, GroupPhase::Retiring, aContext.now);
    return;
  }
  if (this->IsComplete(aRecord, aContext)) {
    EnterPhase(aRecord, GroupPhase::Active, aContext.now);
    this->StepActive(aRecord, aContext);
    return;
  }
  for (const auto& member : aRecord.members) {
    const auto* entry = directory.Find(member);
    const bool joined = entry->membership && entry->membership->group == aContext.id &&
                        entry->membership->generation == aRecord.generation;
    // A group that the engine is in may have begun to serve since the first order.
    if (!joined && !IsInServingGroup(*entry, aContext.allObserved)) {
      this->OrderIfDue(aRecord, aContext, OrderKind::Join, member, entry->endpoint);
    }
  }
}

void GroupLifecycle::StepActive(GroupRecord& aRecord, const StepContext& aContext)
{
  const auto* head = aContext.observed.Head();
  if (head != nullptr) {
    RememberHead(aRecord, *head);
  }
  const bool complete = this->IsComplete(aRecord, aContext);
  if (complete || !aRecord.wasComplete) {
    RememberMembers(aRecord, aContext.observed);
    aRecord.wasComplete =
      complete || (HeadServes(aContext.observed) && AreReady(aContext.observed) &&
                   aRecord.members.size() == aRecord.size);
  }
  const bool alive = this->AreMembersAlive(aRecord, aContext);
  // Members that this process has never seen registered can't be probed.
  const bool isKeptByHead =
    alive && HeadServes(aContext.observed) && aRecord.members.size() < aRecord.size;
  if (!aRecord.wasComplete && !isKeptByHead) {
    if (aContext.now - aRecord.phaseEnteredAt >= kAdoptionGrace) {
      this->Retire(aRecord, aContext);
    }
    return;
  }
  if (!alive || (head != nullptr && head->membership->state == MembershipState::Broken)) {
    this->Retire(aRecord, aContext);
    return;
  }
  // An unregistered head must not receive requests, and a leaving member ends the group.
  // The head may be healthy and cut off from the store, and a leaving member stays while
  // the head has work, so the requests in progress may finish.
  if (head == nullptr || HasLeavingMember(aContext.observed)) {
    BeginDrain(aRecord, aContext.inputs.longestRequest, aContext.now);
    aRecord.hasLostMember = true;
    this->StepClosing(aRecord, aContext);
    return;
  }
  if (!complete || head->membership->state != MembershipState::Ready) {
    return;
  }
  if (this->IsSuperseded(aRecord)) {
    this->Retire(aRecord, aContext);
    return;
  }
  if (this->AreMembersFenced(aRecord, aContext)) {
    this->OrderIfDue(aRecord, aContext, OrderKind::Open, head->id, head->endpoint);
  }
}

void GroupLifecycle::StepClosing(GroupRecord& aRecord, const StepContext& aContext)
{
  const auto* head = aContext.observed.Head();
  if (head != nullptr) {
    RememberHead(aRecord, *head);
  }
  const bool finished =
    head != nullptr && (head->membership->state == MembershipState::Ready ||
                        head->membership->state == MembershipState::Broken);
  // A head without a registration does not show that it has finished, so it is probed
  // until the longest request has ended.
  const bool alive = this->AreMembersAlive(aRecord, aContext);
  if (finished || !alive || this->MayMoveRequests(aRecord, aContext) ||
      aContext.now - aRecord.phaseEnteredAt >= aRecord.drainTimeout) {
    this->Retire(aRecord, aContext);
    return;
  }
  if (head == nullptr || head->membership->state == MembershipState::Open) {
    this->OrderIfDue(
      aRecord, aContext, OrderKind::Close, aRecord.head, aRecord.headEndpoint);
  }
}

void GroupLifecycle::Retire(GroupRecord& aRecord, const StepContext& aContext)
{
  EnterPhase(aRecord, GroupPhase::Retiring, aContext.now);
  this->StepRetiring(aRecord, aContext);
}

void GroupLifecycle::StepRetiring(GroupRecord& aRecord, const StepContext& aContext)
{
  const auto* head = aContext.observed.Head();
  if (head != nullptr) {
    RememberHead(aRecord, *head);
  } else if (aContext.inputs.directory.Find(aRecord.head) != nullptr) {
    // The head is registered but no longer a member, so it has left.
    aRecord.headHasLeft = true;
    EnterPhase(aRecord, GroupPhase::Dissolved, aContext.now);
    return;
  }
  // The reply shows whether the head's process has ended or the head still serves without
  // being registered.
  this->OrderIfDue(
    aRecord, aContext, OrderKind::Leave, aRecord.head, aRecord.headEndpoint);
  const bool answers = head != nullptr && !this->unresponsive.contains(aRecord.head);
  if (answers || !this->MembersHaveLeft(aRecord, aContext)) {
    return;
  }
  if (aContext.now - *aRecord.membersLeftAt >=
      aContext.inputs.headStallTimeout + kStallSlack) {
    EnterPhase(aRecord, GroupPhase::Dissolved, aContext.now);
  }
}

void GroupLifecycle::StepDissolved(GroupRecord& aRecord, const StepContext& aContext)
{
  if (aContext.now - aRecord.phaseEnteredAt <= kRegistrationLag) {
    return;
  }
  const auto* head = aContext.observed.Head();
  const bool isHeadMember =
    head != nullptr && head->membership->generation == aRecord.generation;
  // A head that is a member has not left, or has executed a delayed order to join. The
  // members of a head that may serve have to leave, too.
  if (isHeadMember || (!aRecord.headHasLeft && !aContext.observed.members.empty())) {
    aRecord.headHasLeft = false;
    EnterPhase(aRecord, GroupPhase::Retiring, aContext.now);
  }
}

bool GroupLifecycle::MayMoveRequests(const GroupRecord& aRecord,
                                     const StepContext& aContext) const
{
  // The closing group itself is not counted.
  return aRecord.hasLostMember && aContext.inputs.canMoveRequests &&
         aContext.now - aRecord.phaseEnteredAt >= kMoveDelay &&
         std::ranges::any_of(
           this->groups | std::views::values, [&aRecord](const GroupRecord& aOther) {
             return aOther.model == aRecord.model && aOther.phase == GroupPhase::Active &&
                    aOther.wasComplete && !aOther.isEvacuated;
           });
}

bool GroupLifecycle::IsUsable(const ServerEntry& aEntry) const
{
  return !aEntry.leaving && !this->unresponsive.contains(aEntry.id);
}

bool GroupLifecycle::IsFree(const ServerEntry& aEntry) const
{
  if (!this->IsUsable(aEntry)) {
    return false;
  }
  return std::ranges::none_of(this->groups, [&aEntry](const auto& aGroup) {
    const auto& [id, record] = aGroup;
    const bool isMember = aEntry.membership && aEntry.membership->group == id;
    if (record.phase == GroupPhase::Dissolved) {
      // A head that the lease holder does not reach may serve with the members that it
      // does not reach either.
      return isMember && !record.headHasLeft;
    }
    const bool isJoining =
      record.phase == GroupPhase::Forming &&
      std::ranges::find(record.members, aEntry.id) != record.members.end();
    // An engine that did not answer the order to join this group may execute the order
    // late and rejoin. Assigning the engine to another group could then remove it from
    // this group while the head serves.
    return isMember || isJoining || record.unansweredJoins.contains(aEntry.id);
  });
}

bool GroupLifecycle::IsComplete(const GroupRecord& aRecord,
                                const StepContext& aContext) const
{
  const auto present =
    std::ranges::count_if(aContext.observed.members, [&](const ServerEntry* aMember) {
      return aMember->membership->generation == aRecord.generation &&
             aMember->membership->state != MembershipState::Joining &&
             !this->unresponsive.contains(aMember->id);
    });
  return static_cast<std::size_t>(present) == aRecord.size;
}

bool GroupLifecycle::AreMembersAlive(const GroupRecord& aRecord,
                                     const StepContext& aContext)
{
  return std::ranges::all_of(aRecord.members, [&](const ServerId& aMember) {
    if (this->unresponsive.contains(aMember)) {
      return false;
    }
    const auto* entry = aContext.inputs.directory.Find(aMember);
    if (entry == nullptr) {
      this->membersToProbe.push_back({ aMember, aRecord.endpoints.at(aMember) });
      return true;
    }
    return entry->membership && entry->membership->group == aContext.id &&
           entry->membership->generation == aContext.observed.generation &&
           entry->membership->state != MembershipState::Joining;
  });
}

bool GroupLifecycle::MembersHaveLeft(GroupRecord& aRecord, const StepContext& aContext)
{
  bool allLeft = true;
  for (const auto* member : aContext.observed.members) {
    if (member->id != aRecord.head && !this->unresponsive.contains(member->id)) {
      allLeft = false;
      this->OrderIfDue(aRecord, aContext, OrderKind::Leave, member->id, member->endpoint);
    }
  }
  if (allLeft && !aRecord.membersLeftAt) {
    aRecord.membersLeftAt = aContext.now;
  }
  return aRecord.membersLeftAt.has_value();
}

bool GroupLifecycle::AreMembersFenced(GroupRecord& aRecord, const StepContext& aContext)
{
  const bool isFormedInThisTerm =
    aRecord.generation > static_cast<Generation>(this->term) * kGenerationsPerTerm;
  if (isFormedInThisTerm) {
    return true;
  }
  // A delayed order of a former lease holder to join another group would take the member
  // away while the head serves. The order to open fences the head.
  bool areFenced = true;
  for (const auto* member : aContext.observed.members) {
    if (member->id != aRecord.head && !this->answered.contains(member->id)) {
      areFenced = false;
      this->OrderIfDue(aRecord, aContext, OrderKind::Join, member->id, member->endpoint);
    }
  }
  return areFenced;
}

bool GroupLifecycle::IsSuperseded(const GroupRecord& aRecord) const
{
  // Registrations lag behind: this lease holder may have ordered an engine into a later
  // group before it saw that a former holder had ordered the engine into this one.
  return std::ranges::any_of(aRecord.members, [this, &aRecord](const ServerId& aMember) {
    const auto ordered = this->orderedJoins.find(aMember);
    return ordered != this->orderedJoins.end() && ordered->second > aRecord.generation;
  });
}

std::size_t GroupLifecycle::GroupCount(const std::string& aModel) const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(this->groups | std::views::values, [&](const auto& aRecord) {
      return aRecord.model == aModel && !aRecord.isEvacuated &&
             (aRecord.phase == GroupPhase::Forming ||
              aRecord.phase == GroupPhase::Active);
    }));
}

void GroupLifecycle::OrderIfDue(GroupRecord& aRecord,
                                const StepContext& aContext,
                                OrderKind aKind,
                                const ServerId& aServer,
                                const Endpoint& aEndpoint)
{
  if (aServer.IsEmpty()) {
    return;
  }
  const auto last = aRecord.orderedAt.find(aServer);
  const Duration retryInterval = this->unresponsive.contains(aServer)
                                   ? kUnresponsiveRetryInterval
                                   : kOrderRetryInterval;
  if (last == aRecord.orderedAt.end() || aContext.now - last->second >= retryInterval) {
    this->QueueOrder(aContext.id, aRecord, aKind, aServer, aEndpoint, aContext.now);
  }
}

void GroupLifecycle::QueueOrder(const GroupId& aId,
                                GroupRecord& aRecord,
                                OrderKind aKind,
                                const ServerId& aServer,
                                const Endpoint& aEndpoint,
                                TimePoint aNow)
{
  aRecord.orderedAt[aServer] = aNow;
  EngineOrder order;
  order.server = aServer;
  order.endpoint = aEndpoint;
  order.kind = aKind;
  order.group = aId;
  order.generation = aRecord.generation;
  order.model = aRecord.model;
  if (aKind == OrderKind::Join) {
    order.members = aRecord.members;
    auto& highest = this->orderedJoins[aServer];
    highest = std::max(highest, aRecord.generation);
  }
  this->orders.push_back(std::move(order));
}

std::vector<EngineOrder> GroupLifecycle::TakeOrders()
{
  return std::exchange(this->orders, {});
}

void GroupLifecycle::OnReply(const EngineOrder& aOrder,
                             EngineOrderReply aReply,
                             TimePoint aNow)
{
  if (aReply == EngineOrderReply::Outdated) {
    this->outdated = true;
    return;
  }
  const bool isAnswered = aReply == EngineOrderReply::Begun ||
                          aReply == EngineOrderReply::Done ||
                          aReply == EngineOrderReply::WrongState;
  if (isAnswered) {
    this->answered.insert(aOrder.server);
  }
  const auto found = this->groups.find(aOrder.group);
  if (found == this->groups.end()) {
    return;
  }
  auto& record = found->second;
  const bool processEnded = aReply == EngineOrderReply::ConnectionRefused ||
                            aReply == EngineOrderReply::WrongServer;
  if (aOrder.kind == OrderKind::Leave && aOrder.server == record.head &&
      record.phase == GroupPhase::Retiring && aReply != EngineOrderReply::Unknown &&
      aReply != EngineOrderReply::Rejected) {
    record.headHasLeft = true;
    EnterPhase(record, GroupPhase::Dissolved, aNow);
    return;
  }
  if (aOrder.kind == OrderKind::Join && aReply == EngineOrderReply::Unknown) {
    record.unansweredJoins.insert(aOrder.server);
  }
  if (aOrder.kind == OrderKind::Join && record.phase == GroupPhase::Forming &&
      (processEnded || aReply == EngineOrderReply::Rejected)) {
    EnterPhase(record, GroupPhase::Retiring, aNow);
  }
  if (processEnded) {
    this->unresponsive.insert(aOrder.server);
  }
}

} // namespace toucanstand
