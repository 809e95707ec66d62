#include "formation/GroupLifecycle.h"

#include <algorithm>
#include <array>
#include <ranges>
#include <utility>

namespace toucanstand {

namespace {

/// Generations of one holder of the lease; the term selects the range.
constexpr Generation kGenerationsPerTerm = 100'000;
/// A formation takes at most this many times the load time of its model, because loads
/// slow one another down.
constexpr int kSlowestLoad = 4;
constexpr Duration kFormationSlack = std::chrono::seconds(5);
/// Longest time that a group whose engines are wanted for another model finishes its
/// work. A usual stream takes under 3 s.
constexpr Duration kMoveWait = std::chrono::milliseconds(4000);

void Enter(GroupRecord& aRecord, GroupPhase aPhase, TimePoint aNow)
{
  aRecord.phase = aPhase;
  aRecord.since = aNow;
  aRecord.orderedAt.clear();
}

bool HasLeavingMember(const ObservedGroup& aSeen)
{
  return std::ranges::any_of(aSeen.members,
                             [](const ServerEntry* aMember) { return aMember->leaving; });
}

void RememberHead(GroupRecord& aRecord, const ServerEntry& aHead)
{
  aRecord.head = aHead.id;
  aRecord.headEndpoint = aHead.endpoint;
}

void RememberMembers(GroupRecord& aRecord, const ObservedGroup& aSeen)
{
  aRecord.wasComplete = true;
  aRecord.members.clear();
  for (const auto* member : aSeen.members) {
    aRecord.members.push_back(member->id);
    aRecord.endpoints[member->id] = member->endpoint;
  }
}

} // namespace

void GroupLifecycle::Begin(std::int64_t aTerm)
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
                                                   &GroupLifecycle::StepStanding,
                                                   &GroupLifecycle::StepClosing,
                                                   &GroupLifecycle::StepRetiring,
                                                   &GroupLifecycle::StepDissolved };
  this->toExamine.clear();
  this->Adopt(aInputs, aObserved, aNow);
  const ObservedGroup unseen;
  for (auto& [id, record] : this->groups) {
    const auto seen = aObserved.find(id);
    const View view{ id, seen == aObserved.end() ? unseen : seen->second, aInputs, aNow };
    (this->*kSteps.at(static_cast<std::size_t>(record.phase)))(record, view);
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
  for (const auto& [id, seen] : aObserved) {
    if (this->groups.contains(id)) {
      continue;
    }
    GroupRecord record;
    record.generation = seen.generation;
    record.model = ModelOfGroup(id);
    const auto* terms = aInputs.cost.FindModel(record.model);
    record.size = terms == nullptr ? 0 : terms->groupSize;
    record.phase = terms == nullptr ? GroupPhase::Retiring : GroupPhase::Standing;
    record.since = aNow;
    this->groups.emplace(id, std::move(record));
  }
}

void GroupLifecycle::Form(const std::string& aModel,
                          const std::vector<const ServerEntry*>& aMembers,
                          TimePoint aNow)
{
  GroupRecord record;
  record.generation =
    static_cast<Generation>(this->term) * kGenerationsPerTerm + ++this->formed;
  record.model = aModel;
  record.size = aMembers.size();
  Enter(record, GroupPhase::Forming, aNow);
  RememberHead(record, *aMembers.front());
  for (const auto* member : aMembers) {
    record.members.push_back(member->id);
    record.endpoints[member->id] = member->endpoint;
  }
  const auto id = GroupIdFor(aModel, record.generation);
  auto& kept = this->groups.emplace(id, std::move(record)).first->second;
  for (const auto* member : aMembers) {
    this->Order(id, kept, OrderKind::Join, member->id, member->endpoint, aNow);
  }
}

void GroupLifecycle::Move(const GroupId& aGroup,
                          const std::string& aModel,
                          const DomainId& aDomain,
                          TimePoint aNow)
{
  auto& record = this->groups.at(aGroup);
  record.closeWait = kMoveWait;
  record.movesTo = aModel;
  record.domain = aDomain;
  Enter(record, GroupPhase::Closing, aNow);
}

void GroupLifecycle::StepForming(GroupRecord& aRecord, const View& aView)
{
  const auto& directory = aView.inputs.directory;
  const auto* terms = aView.inputs.cost.FindModel(aRecord.model);
  const bool late =
    terms == nullptr ||
    aView.now - aRecord.since > terms->loadTime * kSlowestLoad + kFormationSlack;
  const bool memberLost =
    std::ranges::any_of(aRecord.members, [&](const ServerId& aMember) {
      const auto* entry = directory.Find(aMember);
      return entry == nullptr || !this->IsUsable(*entry);
    });
  if (late || memberLost) {
    Enter(aRecord, GroupPhase::Retiring, aView.now);
    return;
  }
  if (this->IsComplete(aRecord, aView)) {
    Enter(aRecord, GroupPhase::Standing, aView.now);
    this->StepStanding(aRecord, aView);
    return;
  }
  for (const auto& member : aRecord.members) {
    const auto* entry = directory.Find(member);
    const bool joined = entry->membership && entry->membership->group == aView.id &&
                        entry->membership->generation == aRecord.generation;
    if (!joined) {
      this->OrderOnce(aRecord, aView, OrderKind::Join, member, entry->endpoint);
    }
  }
}

void GroupLifecycle::StepStanding(GroupRecord& aRecord, const View& aView)
{
  const auto* head = aView.seen.Head();
  if (head != nullptr) {
    RememberHead(aRecord, *head);
  }
  const bool complete = this->IsComplete(aRecord, aView);
  if (!complete && !aRecord.wasComplete) {
    if (aView.now - aRecord.since >= kAdoptionGrace) {
      this->Retire(aRecord, aView);
    }
    return;
  }
  if (complete) {
    RememberMembers(aRecord, aView.seen);
  }
  if (!this->MembersLive(aRecord, aView) ||
      (head != nullptr && head->membership->state == MembershipState::Broken)) {
    this->Retire(aRecord, aView);
    return;
  }
  // Requests must not go to a head that is not registered.
  if (head == nullptr || HasLeavingMember(aView.seen)) {
    Enter(aRecord, GroupPhase::Closing, aView.now);
    this->StepClosing(aRecord, aView);
    return;
  }
  if (!complete || head->membership->state != MembershipState::Ready) {
    return;
  }
  if (this->IsOvertaken(aRecord)) {
    this->Retire(aRecord, aView);
    return;
  }
  this->OrderOnce(aRecord, aView, OrderKind::Open, head->id, head->endpoint);
}

void GroupLifecycle::StepClosing(GroupRecord& aRecord, const View& aView)
{
  const auto* head = aView.seen.Head();
  const bool finished =
    head != nullptr && (head->membership->state == MembershipState::Ready ||
                        head->membership->state == MembershipState::Broken);
  const bool memberLost =
    std::ranges::any_of(aRecord.members, [this](const ServerId& aMember) {
      return this->silent.contains(aMember);
    });
  if (finished || memberLost || aView.now - aRecord.since >= aRecord.closeWait) {
    this->Retire(aRecord, aView);
    return;
  }
  if (head == nullptr || head->membership->state == MembershipState::Open) {
    this->OrderOnce(aRecord, aView, OrderKind::Close, aRecord.head, aRecord.headEndpoint);
  }
}

void GroupLifecycle::Retire(GroupRecord& aRecord, const View& aView)
{
  Enter(aRecord, GroupPhase::Retiring, aView.now);
  this->StepRetiring(aRecord, aView);
}

void GroupLifecycle::StepRetiring(GroupRecord& aRecord, const View& aView)
{
  const auto* head = aView.seen.Head();
  if (head != nullptr) {
    RememberHead(aRecord, *head);
  } else if (aView.inputs.directory.Find(aRecord.head) != nullptr) {
    // The head is registered and no longer a member.
    Enter(aRecord, GroupPhase::Dissolved, aView.now);
    return;
  }
  // The answer tells whether the head has ended or serves without being registered.
  this->OrderOnce(aRecord, aView, OrderKind::Leave, aRecord.head, aRecord.headEndpoint);
  const bool answers = head != nullptr && !this->silent.contains(aRecord.head);
  if (answers || !this->MembersHaveLeft(aRecord, aView)) {
    return;
  }
  if (aView.now - *aRecord.membersLeftAt >= aView.inputs.headStall + kStallSlack) {
    Enter(aRecord, GroupPhase::Dissolved, aView.now);
  }
}

void GroupLifecycle::StepDissolved(GroupRecord& aRecord, const View& aView)
{
  const auto* head = aView.seen.Head();
  const bool headIsBack = head != nullptr &&
                          head->membership->generation == aRecord.generation &&
                          aView.now - aRecord.since > kRegistrationLag;
  if (headIsBack) {
    // An order that was carried out late brought the head back.
    Enter(aRecord, GroupPhase::Retiring, aView.now);
  }
}

bool GroupLifecycle::IsUsable(const ServerEntry& aEntry) const
{
  return !aEntry.leaving && !this->silent.contains(aEntry.id);
}

bool GroupLifecycle::IsFree(const ServerEntry& aEntry) const
{
  if (!this->IsUsable(aEntry)) {
    return false;
  }
  return std::ranges::none_of(this->groups, [&aEntry](const auto& aGroup) {
    const auto& [id, record] = aGroup;
    if (record.phase == GroupPhase::Dissolved) {
      return false;
    }
    const bool isMember = aEntry.membership && aEntry.membership->group == id;
    const bool joins =
      record.phase == GroupPhase::Forming &&
      std::ranges::find(record.members, aEntry.id) != record.members.end();
    // An engine that has left a head that serves would be taken from it again by the
    // order to join another group, if a late order brought it back before.
    return isMember || joins || record.unansweredJoins.contains(aEntry.id);
  });
}

bool GroupLifecycle::IsComplete(const GroupRecord& aRecord, const View& aView) const
{
  const auto present =
    std::ranges::count_if(aView.seen.members, [&](const ServerEntry* aMember) {
      return aMember->membership->generation == aRecord.generation &&
             aMember->membership->state != MembershipState::Joining &&
             !this->silent.contains(aMember->id);
    });
  return static_cast<std::size_t>(present) == aRecord.size;
}

bool GroupLifecycle::MembersLive(const GroupRecord& aRecord, const View& aView)
{
  return std::ranges::all_of(aRecord.members, [&](const ServerId& aMember) {
    if (this->silent.contains(aMember)) {
      return false;
    }
    const auto* entry = aView.inputs.directory.Find(aMember);
    if (entry == nullptr) {
      this->toExamine.push_back({ aMember, aRecord.endpoints.at(aMember) });
      return true;
    }
    return entry->membership && entry->membership->group == aView.id &&
           entry->membership->generation == aView.seen.generation &&
           entry->membership->state != MembershipState::Joining;
  });
}

bool GroupLifecycle::MembersHaveLeft(GroupRecord& aRecord, const View& aView)
{
  bool allLeft = true;
  for (const auto* member : aView.seen.members) {
    if (member->id != aRecord.head && !this->silent.contains(member->id)) {
      allLeft = false;
      this->OrderOnce(aRecord, aView, OrderKind::Leave, member->id, member->endpoint);
    }
  }
  if (allLeft && !aRecord.membersLeftAt) {
    aRecord.membersLeftAt = aView.now;
  }
  return aRecord.membersLeftAt.has_value();
}

bool GroupLifecycle::IsOvertaken(const GroupRecord& aRecord) const
{
  // Registrations lag, so that a new holder of the lease may have planned with engines
  // that an earlier holder had already given to a group.
  return std::ranges::any_of(aRecord.members, [this, &aRecord](const ServerId& aMember) {
    const auto ordered = this->orderedJoins.find(aMember);
    return ordered != this->orderedJoins.end() && ordered->second > aRecord.generation;
  });
}

std::size_t GroupLifecycle::CountOf(const std::string& aModel) const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(this->groups | std::views::values, [&](const auto& aRecord) {
      return aRecord.model == aModel && (aRecord.phase == GroupPhase::Forming ||
                                         aRecord.phase == GroupPhase::Standing);
    }));
}

void GroupLifecycle::OrderOnce(GroupRecord& aRecord,
                               const View& aView,
                               OrderKind aKind,
                               const ServerId& aServer,
                               const Endpoint& aEndpoint)
{
  if (aServer.IsEmpty()) {
    return;
  }
  const auto last = aRecord.orderedAt.find(aServer);
  const Duration pause = this->silent.contains(aServer) ? kRepeatToSilent : kRepeatAfter;
  if (last == aRecord.orderedAt.end() || aView.now - last->second >= pause) {
    this->Order(aView.id, aRecord, aKind, aServer, aEndpoint, aView.now);
  }
}

void GroupLifecycle::Order(const GroupId& aId,
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
  order.fence = this->term;
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

void GroupLifecycle::OnReply(const EngineOrder& aOrder, OrderReply aReply, TimePoint aNow)
{
  if (aReply == OrderReply::Outdated) {
    this->outdated = true;
    return;
  }
  const auto found = this->groups.find(aOrder.group);
  if (found == this->groups.end()) {
    return;
  }
  auto& record = found->second;
  const bool ended =
    aReply == OrderReply::ConnectionRefused || aReply == OrderReply::WrongServer;
  if (aOrder.kind == OrderKind::Leave && aOrder.server == record.head &&
      record.phase == GroupPhase::Retiring && aReply != OrderReply::Unknown &&
      aReply != OrderReply::Rejected) {
    Enter(record, GroupPhase::Dissolved, aNow);
    return;
  }
  if (aOrder.kind == OrderKind::Join && aReply == OrderReply::Unknown) {
    record.unansweredJoins.insert(aOrder.server);
  }
  if (aOrder.kind == OrderKind::Join && record.phase == GroupPhase::Forming &&
      (ended || aReply == OrderReply::Rejected)) {
    Enter(record, GroupPhase::Retiring, aNow);
  }
  if (ended) {
    this->silent.insert(aOrder.server);
  }
}

} // namespace toucanstand
