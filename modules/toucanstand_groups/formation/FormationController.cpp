#include "formation/FormationController.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <ranges>
#include <utility>

#include <nlohmann/json.hpp>

namespace toucanstand {

namespace {

/// Generations of one holder of the lease; the term selects the range.
constexpr Generation kGenerationsPerTerm = 100'000;
/// Groups that the operator's expectation counts as being busy.
constexpr double kExpectedWork = 4.0;
/// A formation takes at most this many times the load time of its model, because loads
/// slow one another down.
constexpr int kSlowestLoad = 4;
constexpr Duration kFormationSlack = std::chrono::seconds(5);
/// A staging order is given again after this many load times.
constexpr int kRepeatStaging = 4;

} // namespace

GroupId GroupIdFor(const std::string& aModel, Generation aGeneration)
{
  return GroupId(aModel + "-" + std::to_string(aGeneration));
}

std::string ModelOfGroup(const GroupId& aGroup)
{
  const auto dash = aGroup.Value().rfind('-');
  return dash == std::string::npos ? std::string() : aGroup.Value().substr(0, dash);
}

FormationController::FormationController(PoolId aPool)
  : pool(std::move(aPool))
{
}

void FormationController::Begin(std::int64_t aTerm)
{
  this->term = aTerm;
  this->formed = 0;
  this->outdated = false;
  this->groups.clear();
  this->silent.clear();
  this->staging.clear();
  this->orderedJoins.clear();
}

std::vector<EngineOrder> FormationController::Plan(const FormationInputs& aInputs,
                                                   TimePoint aNow)
{
  this->inputs = &aInputs;
  this->now = aNow;
  this->orders.clear();
  this->toExamine.clear();
  this->NoteMemberships();
  this->ForgetStaged();

  this->observed = aInputs.directory.GroupsOf(this->pool);
  this->Adopt(this->observed);
  // In the order of Phase.
  constexpr std::array<Step, 5> kSteps = { &FormationController::StepForming,
                                           &FormationController::StepStanding,
                                           &FormationController::StepClosing,
                                           &FormationController::StepRetiring,
                                           &FormationController::StepDissolved };
  const ObservedGroup unseen;
  for (auto& [id, record] : this->groups) {
    const auto seen = this->observed.find(id);
    (this->*kSteps.at(static_cast<std::size_t>(record.phase)))(
      id, record, seen == this->observed.end() ? unseen : seen->second);
  }
  std::erase_if(this->groups, [this](const auto& aGroup) {
    return aGroup.second.phase == Phase::Dissolved &&
           !this->observed.contains(aGroup.first);
  });
  this->FormGroups(this->FreeEngines());
  this->inputs = nullptr;
  return std::exchange(this->orders, {});
}

void FormationController::NoteMemberships()
{
  for (const auto& entry : this->inputs->directory.Servers() | std::views::values) {
    if (entry.pool == this->pool && entry.membership &&
        entry.membership->state != MembershipState::Joining) {
      this->lastModels[entry.id] = { entry.startedAtUnixMs,
                                     ModelOfGroup(entry.membership->group) };
    }
  }
  std::erase_if(this->lastModels, [this](const auto& aLast) {
    return this->inputs->directory.Find(aLast.first) == nullptr;
  });
}

void FormationController::Adopt(const std::map<GroupId, ObservedGroup>& aObserved)
{
  for (const auto& [id, seen] : aObserved) {
    if (this->groups.contains(id)) {
      continue;
    }
    GroupRecord record;
    record.generation = seen.generation;
    record.model = ModelOfGroup(id);
    const auto* terms = this->inputs->cost.FindModel(record.model);
    record.size = terms == nullptr ? 0 : terms->groupSize;
    record.phase = terms == nullptr ? Phase::Retiring : Phase::Standing;
    record.since = this->now;
    this->groups.emplace(id, std::move(record));
  }
}

bool FormationController::IsUsable(const ServerEntry& aEntry) const
{
  return !aEntry.leaving && !this->silent.contains(aEntry.id);
}

bool FormationController::IsComplete(const GroupRecord& aRecord,
                                     const ObservedGroup& aSeen) const
{
  const auto present =
    std::ranges::count_if(aSeen.members, [this, &aRecord](const ServerEntry* aMember) {
      return aMember->membership->generation == aRecord.generation &&
             aMember->membership->state != MembershipState::Joining &&
             !this->silent.contains(aMember->id);
    });
  return static_cast<std::size_t>(present) == aRecord.size;
}

bool FormationController::HasLeavingMember(const ObservedGroup& aSeen) const
{
  return std::ranges::any_of(aSeen.members,
                             [](const ServerEntry* aMember) { return aMember->leaving; });
}

void FormationController::Enter(GroupRecord& aRecord, Phase aPhase)
{
  aRecord.phase = aPhase;
  aRecord.since = this->now;
  aRecord.orderedAt.clear();
}

void FormationController::OrderOnce(const GroupId& aId,
                                    GroupRecord& aRecord,
                                    OrderKind aKind,
                                    const ServerId& aServer,
                                    const Endpoint& aEndpoint)
{
  if (aServer.IsEmpty()) {
    return;
  }
  const auto last = aRecord.orderedAt.find(aServer);
  const Duration pause = this->silent.contains(aServer) ? kRepeatToSilent : kRepeatAfter;
  if (last != aRecord.orderedAt.end() && this->now - last->second < pause) {
    return;
  }
  aRecord.orderedAt[aServer] = this->now;
  if (aKind == OrderKind::Join) {
    auto& highest = this->orderedJoins[aServer];
    highest = std::max(highest, aRecord.generation);
  }
  EngineOrder order;
  order.server = aServer;
  order.endpoint = aEndpoint;
  order.kind = aKind;
  order.group = aId;
  order.generation = aRecord.generation;
  order.model = aRecord.model;
  order.members = aKind == OrderKind::Join ? aRecord.members : std::vector<ServerId>{};
  order.fence = this->term;
  this->orders.push_back(std::move(order));
}

void FormationController::StepForming(const GroupId& aId,
                                      GroupRecord& aRecord,
                                      const ObservedGroup& aSeen)
{
  const auto* terms = this->inputs->cost.FindModel(aRecord.model);
  const bool late =
    terms == nullptr ||
    this->now - aRecord.since > terms->loadTime * kSlowestLoad + kFormationSlack;
  const bool memberLost =
    std::ranges::any_of(aRecord.members, [&](const ServerId& aMember) {
      const auto* entry = this->inputs->directory.Find(aMember);
      return entry == nullptr || !this->IsUsable(*entry);
    });
  if (late || memberLost) {
    this->Enter(aRecord, Phase::Retiring);
    return;
  }
  if (this->IsComplete(aRecord, aSeen)) {
    this->Enter(aRecord, Phase::Standing);
    this->StepStanding(aId, aRecord, aSeen);
    return;
  }
  for (const auto& member : aRecord.members) {
    const auto* entry = this->inputs->directory.Find(member);
    const bool joined = entry->membership && entry->membership->group == aId &&
                        entry->membership->generation == aRecord.generation;
    if (!joined) {
      this->OrderOnce(aId, aRecord, OrderKind::Join, member, entry->endpoint);
    }
  }
}

void FormationController::RememberMembers(GroupRecord& aRecord,
                                          const ObservedGroup& aSeen)
{
  aRecord.wasComplete = true;
  aRecord.members.clear();
  for (const auto* member : aSeen.members) {
    aRecord.members.push_back(member->id);
    aRecord.endpoints[member->id] = member->endpoint;
  }
}

bool FormationController::MembersLive(const GroupId& aId,
                                      const GroupRecord& aRecord,
                                      const ObservedGroup& aSeen)
{
  return std::ranges::all_of(aRecord.members, [&](const ServerId& aMember) {
    if (this->silent.contains(aMember)) {
      return false;
    }
    const auto* entry = this->inputs->directory.Find(aMember);
    if (entry == nullptr) {
      this->toExamine.push_back({ aMember, aRecord.endpoints.at(aMember) });
      return true;
    }
    return entry->membership && entry->membership->group == aId &&
           entry->membership->generation == aSeen.generation &&
           entry->membership->state != MembershipState::Joining;
  });
}

bool FormationController::IsOvertaken(const GroupRecord& aRecord) const
{
  // Registrations lag, so that a new holder of the lease may have planned with engines
  // that an earlier holder had already given to a group.
  return std::ranges::any_of(aRecord.members, [this, &aRecord](const ServerId& aMember) {
    const auto ordered = this->orderedJoins.find(aMember);
    return ordered != this->orderedJoins.end() && ordered->second > aRecord.generation;
  });
}

void FormationController::StepStanding(const GroupId& aId,
                                       GroupRecord& aRecord,
                                       const ObservedGroup& aSeen)
{
  const auto* head = aSeen.Head();
  if (head != nullptr) {
    aRecord.head = head->id;
    aRecord.headEndpoint = head->endpoint;
  }
  const bool complete = this->IsComplete(aRecord, aSeen);
  if (!complete && !aRecord.wasComplete) {
    if (this->now - aRecord.since >= kAdoptionGrace) {
      this->Enter(aRecord, Phase::Retiring);
      this->StepRetiring(aId, aRecord, aSeen);
    }
    return;
  }
  if (complete) {
    this->RememberMembers(aRecord, aSeen);
  }
  if (!this->MembersLive(aId, aRecord, aSeen) ||
      (head != nullptr && head->membership->state == MembershipState::Broken)) {
    this->Enter(aRecord, Phase::Retiring);
    this->StepRetiring(aId, aRecord, aSeen);
    return;
  }
  // Requests must not go to a head that is not registered.
  if (head == nullptr || this->HasLeavingMember(aSeen)) {
    this->Enter(aRecord, Phase::Closing);
    this->StepClosing(aId, aRecord, aSeen);
    return;
  }
  if (complete && head->membership->state == MembershipState::Ready) {
    if (this->IsOvertaken(aRecord)) {
      this->Enter(aRecord, Phase::Retiring);
      this->StepRetiring(aId, aRecord, aSeen);
      return;
    }
    this->OrderOnce(aId, aRecord, OrderKind::Open, head->id, head->endpoint);
  }
}

void FormationController::StepClosing(const GroupId& aId,
                                      GroupRecord& aRecord,
                                      const ObservedGroup& aSeen)
{
  const auto* head = aSeen.Head();
  const bool finished =
    head != nullptr && (head->membership->state == MembershipState::Ready ||
                        head->membership->state == MembershipState::Broken);
  const bool memberLost =
    std::ranges::any_of(aRecord.members, [this](const ServerId& aMember) {
      return this->silent.contains(aMember);
    });
  if (finished || memberLost || this->now - aRecord.since >= aRecord.closeWait) {
    this->Enter(aRecord, Phase::Retiring);
    this->StepRetiring(aId, aRecord, aSeen);
    return;
  }
  if (head == nullptr || head->membership->state == MembershipState::Open) {
    this->OrderOnce(aId, aRecord, OrderKind::Close, aRecord.head, aRecord.headEndpoint);
  }
}

void FormationController::StepRetiring(const GroupId& aId,
                                       GroupRecord& aRecord,
                                       const ObservedGroup& aSeen)
{
  const auto* head = aSeen.Head();
  if (head != nullptr) {
    aRecord.head = head->id;
    aRecord.headEndpoint = head->endpoint;
  } else if (this->inputs->directory.Find(aRecord.head) != nullptr) {
    // The head is registered and no longer a member.
    this->Enter(aRecord, Phase::Dissolved);
    return;
  }
  if (!aRecord.head.IsEmpty()) {
    // The answer tells whether the head has ended or serves without being registered.
    this->OrderOnce(aId, aRecord, OrderKind::Leave, aRecord.head, aRecord.headEndpoint);
  }
  const bool answers = head != nullptr && !this->silent.contains(aRecord.head);
  if (answers || !this->MembersHaveLeft(aId, aRecord, aSeen)) {
    return;
  }
  if (this->now - *aRecord.membersLeftAt >= this->inputs->headStall + kStallSlack) {
    this->Enter(aRecord, Phase::Dissolved);
  }
}

bool FormationController::MembersHaveLeft(const GroupId& aId,
                                          GroupRecord& aRecord,
                                          const ObservedGroup& aSeen)
{
  bool allLeft = true;
  for (const auto* member : aSeen.members) {
    if (member->id != aRecord.head && !this->silent.contains(member->id)) {
      allLeft = false;
      this->OrderOnce(aId, aRecord, OrderKind::Leave, member->id, member->endpoint);
    }
  }
  if (allLeft && !aRecord.membersLeftAt) {
    aRecord.membersLeftAt = this->now;
  }
  return aRecord.membersLeftAt.has_value();
}

void FormationController::StepDissolved(const GroupId& /*aId*/,
                                        GroupRecord& aRecord,
                                        const ObservedGroup& aSeen)
{
  const auto* head = aSeen.Head();
  const bool headIsBack = head != nullptr &&
                          head->membership->generation == aRecord.generation &&
                          this->now - aRecord.since > kRegistrationLag;
  if (headIsBack) {
    // An order that was carried out late brought the head back.
    this->Enter(aRecord, Phase::Retiring);
  }
}

void FormationController::OnReply(const EngineOrder& aOrder,
                                  OrderReply aReply,
                                  TimePoint aNow)
{
  if (aReply == OrderReply::Outdated) {
    this->outdated = true;
    return;
  }
  const bool ended =
    aReply == OrderReply::ConnectionRefused || aReply == OrderReply::WrongServer;
  const auto found = this->groups.find(aOrder.group);
  if (found == this->groups.end()) {
    return;
  }
  auto& record = found->second;
  this->now = aNow;
  if (aOrder.kind == OrderKind::Leave && aOrder.server == record.head &&
      record.phase == Phase::Retiring && aReply != OrderReply::Unknown &&
      aReply != OrderReply::Rejected) {
    this->Enter(record, Phase::Dissolved);
    return;
  }
  if (aOrder.kind == OrderKind::Join && record.phase == Phase::Forming &&
      (ended || aReply == OrderReply::Rejected)) {
    this->Enter(record, Phase::Retiring);
  }
  if (ended) {
    this->silent.insert(aOrder.server);
  }
}

void FormationController::OnSilent(const ServerId& aServer)
{
  this->silent.insert(aServer);
}

void FormationController::OnAnswered(const ServerId& aServer)
{
  this->silent.erase(aServer);
}

std::vector<const ServerEntry*> FormationController::FreeEngines() const
{
  std::set<ServerId> planned;
  for (const auto& record : this->groups | std::views::values) {
    if (record.phase == Phase::Forming) {
      planned.insert(record.members.begin(), record.members.end());
    }
  }
  std::vector<const ServerEntry*> free;
  for (const auto& entry : this->inputs->directory.Servers() | std::views::values) {
    if (entry.pool != this->pool || !this->IsUsable(entry) ||
        planned.contains(entry.id)) {
      continue;
    }
    const auto group =
      entry.membership ? this->groups.find(entry.membership->group) : this->groups.end();
    if (group == this->groups.end() || group->second.phase == Phase::Dissolved) {
      free.push_back(&entry);
    }
  }
  return free;
}

double FormationController::NeedOf(const ModelTerms& aModel) const
{
  // A model that nobody asks for now keeps some need.
  constexpr double kLeastShare = 0.02;
  double total = 0;
  double own = 0;
  for (const auto& model : this->inputs->cost.models) {
    const double need = this->GroupsFor(model);
    total += need;
    own = model.name == aModel.name ? need : own;
  }
  return total > 0 ? std::max(own / total, kLeastShare) : 1.0;
}

double FormationController::GroupsFor(const ModelTerms& aModel) const
{
  // The operator states the share of all engines that a model's groups should have. It
  // counts like a little measured work, so that the first requests decide nothing.
  const double expected =
    kExpectedWork * aModel.engineShare / static_cast<double>(aModel.groupSize);
  const auto measured = this->inputs->work.find(aModel.name);
  return expected + (measured == this->inputs->work.end()
                       ? 0.0
                       : measured->second * aModel.paceFactor);
}

std::size_t FormationController::CountOf(const std::string& aModel) const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(this->groups | std::views::values, [&](const auto& aRecord) {
      return aRecord.model == aModel &&
             (aRecord.phase == Phase::Forming || aRecord.phase == Phase::Standing);
    }));
}

std::size_t FormationController::MostGroups(const ModelTerms& aModel) const
{
  double engines = 0;
  for (const auto& entry : this->inputs->directory.Servers() | std::views::values) {
    engines += entry.pool == this->pool && this->IsUsable(entry) ? 1 : 0;
  }
  double enginesPerNeed = 0;
  for (const auto& model : this->inputs->cost.models) {
    enginesPerNeed += this->NeedOf(model) * static_cast<double>(model.groupSize);
  }
  if (enginesPerNeed <= 0) {
    return 1;
  }
  const double groupCount = this->NeedOf(aModel) * engines / enginesPerNeed;
  return static_cast<std::size_t>(std::max(1.0, std::ceil(groupCount)));
}

int FormationController::JoinCost(const ServerEntry& aEntry,
                                  const std::string& aModel) const
{
  const auto last = this->lastModels.find(aEntry.id);
  if (last != this->lastModels.end() &&
      last->second.startedAtUnixMs == aEntry.startedAtUnixMs &&
      last->second.model == aModel) {
    return kHot;
  }
  const bool staged =
    std::ranges::find(aEntry.stagedModels, aModel) != aEntry.stagedModels.end();
  return staged ? kWarm : kCold;
}

void FormationController::Summarize(const std::vector<const ServerEntry*>& aFree)
{
  this->summary.clear();
  for (const auto& model : this->inputs->cost.models) {
    this->summary += model.name + ": " + std::to_string(this->CountOf(model.name)) +
                     " of at most " + std::to_string(this->MostGroups(model)) + "; ";
  }
  std::map<DomainId, std::size_t> free;
  for (const auto* entry : aFree) {
    ++free[entry->domain];
  }
  this->summary += "free by domain:";
  for (const auto& [domain, count] : free) {
    this->summary += " " + domain.Value() + "=" + std::to_string(count);
  }
}

void FormationController::FormGroups(std::vector<const ServerEntry*> aFree)
{
  auto models = this->inputs->cost.models;
  while (!models.empty()) {
    // The model with the fewest groups for its need first; the larger one of equals.
    const auto next =
      std::ranges::min_element(models, {}, [this](const ModelTerms& aModel) {
        return std::pair(static_cast<double>(this->CountOf(aModel.name)) /
                           this->NeedOf(aModel),
                         -static_cast<double>(aModel.groupSize));
      });
    const bool wanted = this->CountOf(next->name) < this->MostGroups(*next);
    if (!wanted || !this->FormOne(*next, aFree)) {
      models.erase(next);
    }
  }
  this->Summarize(aFree);
  this->MoveEngines(aFree);
  this->StageSpares(aFree);
  this->StageAhead();
}

const ModelTerms& FormationController::MostLacking() const
{
  return *std::ranges::min_element(
    this->inputs->cost.models, {}, [this](const ModelTerms& aModel) {
      return static_cast<double>(this->CountOf(aModel.name)) / this->NeedOf(aModel);
    });
}

void FormationController::MoveEngines(const std::vector<const ServerEntry*>& aFree)
{
  const bool moving =
    std::ranges::any_of(this->groups | std::views::values, [](const auto& aRecord) {
      return !aRecord.movesTo.empty() && aRecord.phase != Phase::Dissolved;
    });
  if (moving || this->inputs->cost.models.empty()) {
    return;
  }
  const auto& lacking = this->MostLacking();
  const auto donor = this->DonorFor(lacking, aFree);
  if (!donor) {
    return;
  }
  // A cold engine would keep the others waiting for the whole time of a load.
  if (donor->cold.empty()) {
    auto& record = this->groups.at(donor->group);
    record.closeWait = kMoveWait;
    record.movesTo = lacking.name;
    record.domain = this->inputs->directory.Find(record.head)->domain;
    this->Enter(record, Phase::Closing);
    return;
  }
  for (const auto* entry : donor->cold) {
    this->StageIfAffordable(*entry, lacking);
  }
}

std::optional<FormationController::Donor> FormationController::DonorFor(
  const ModelTerms& aLacking,
  const std::vector<const ServerEntry*>& aFree) const
{
  const double lackingAfter =
    (static_cast<double>(this->CountOf(aLacking.name)) + 1) / this->NeedOf(aLacking);
  std::optional<Donor> best;
  for (const auto& [id, record] : this->groups) {
    const auto* terms = this->inputs->cost.FindModel(record.model);
    const auto seen = this->observed.find(id);
    if (record.phase != Phase::Standing || terms == nullptr ||
        seen == this->observed.end() || seen->second.Head() == nullptr ||
        record.model == aLacking.name) {
      continue;
    }
    const double donorAfter =
      (static_cast<double>(this->CountOf(record.model)) - 1) / this->NeedOf(*terms);
    if (donorAfter < lackingAfter) {
      continue;
    }
    auto engines = seen->second.members;
    std::ranges::copy_if(aFree, std::back_inserter(engines), [&](const auto* aEntry) {
      return aEntry->domain == engines.front()->domain;
    });
    const bool useful = engines.size() > seen->second.members.size();
    if (!useful || engines.size() < aLacking.groupSize) {
      continue;
    }
    std::ranges::stable_sort(engines, {}, [this, &aLacking](const ServerEntry* aEntry) {
      return this->JoinCost(*aEntry, aLacking.name);
    });
    engines.resize(aLacking.groupSize);
    Donor candidate{ id, {} };
    std::ranges::copy_if(engines,
                         std::back_inserter(candidate.cold),
                         [this, &aLacking](const ServerEntry* aEntry) {
                           return this->JoinCost(*aEntry, aLacking.name) == kCold;
                         });
    if (!best || candidate.cold.size() < best->cold.size()) {
      best = std::move(candidate);
    }
  }
  return best;
}

bool FormationController::MayForm(const DomainId& aDomain,
                                  const std::string& aModel) const
{
  return std::ranges::none_of(
    this->groups | std::views::values, [&](const auto& aRecord) {
      return !aRecord.movesTo.empty() && aRecord.phase != Phase::Dissolved &&
             aRecord.domain == aDomain && aRecord.movesTo != aModel;
    });
}

bool FormationController::FormOne(const ModelTerms& aModel,
                                  std::vector<const ServerEntry*>& aFree)
{
  std::map<DomainId, std::vector<const ServerEntry*>> byDomain;
  for (const auto* entry : aFree) {
    // Once callers are served, weights are staged first: members that are ready would
    // wait for the load of one that is cold.
    const bool quick =
      !this->inputs->trafficStarted || this->JoinCost(*entry, aModel.name) < kCold;
    if (quick && this->MayForm(entry->domain, aModel.name)) {
      byDomain[entry->domain].push_back(entry);
    }
  }
  std::size_t largest = 1;
  for (const auto& model : this->inputs->cost.models) {
    largest = std::max(largest, model.groupSize);
  }
  // Best fit: what remains should be whole groups of the largest model.
  const std::vector<const ServerEntry*>* best = nullptr;
  std::pair<std::size_t, std::size_t> bestFit;
  for (const auto& candidates : byDomain | std::views::values) {
    if (candidates.size() < aModel.groupSize) {
      continue;
    }
    const std::pair fit((candidates.size() - aModel.groupSize) % largest,
                        candidates.size());
    if (best == nullptr || fit < bestFit) {
      best = &candidates;
      bestFit = fit;
    }
  }
  if (best == nullptr) {
    return false;
  }
  std::vector<const ServerEntry*> members = *best;
  std::ranges::stable_sort(members, {}, [this, &aModel](const ServerEntry* aEntry) {
    return this->JoinCost(*aEntry, aModel.name);
  });
  members.resize(aModel.groupSize);
  GroupRecord record;
  record.generation =
    static_cast<Generation>(this->term) * kGenerationsPerTerm + ++this->formed;
  record.model = aModel.name;
  record.size = aModel.groupSize;
  record.phase = Phase::Forming;
  record.since = this->now;
  record.head = members.front()->id;
  record.headEndpoint = members.front()->endpoint;
  for (const auto* member : members) {
    record.members.push_back(member->id);
    std::erase(aFree, member);
  }
  const auto id = GroupIdFor(aModel.name, record.generation);
  auto& kept = this->groups.emplace(id, std::move(record)).first->second;
  for (const auto* member : members) {
    kept.endpoints[member->id] = member->endpoint;
    this->OrderOnce(id, kept, OrderKind::Join, member->id, member->endpoint);
  }
  return true;
}

void FormationController::StageSpares(const std::vector<const ServerEntry*>& aFree)
{
  if (this->inputs->cost.models.empty()) {
    return;
  }
  const auto& lacking = this->MostLacking();
  for (const auto* entry : aFree) {
    if (this->JoinCost(*entry, lacking.name) == kCold) {
      this->StageIfAffordable(*entry, lacking);
    }
  }
}

void FormationController::StageIfAffordable(const ServerEntry& aEntry,
                                            const ModelTerms& aModel)
{
  const bool mayStage =
    !this->staging.contains(aEntry.id) &&
    (!this->inputs->trafficStarted ||
     this->loads.TryTake(1, this->inputs->cost.loadsPerSecond, this->now));
  if (mayStage) {
    this->Stage(aEntry, aModel);
  }
}

void FormationController::StageAhead()
{
  const bool forming =
    std::ranges::any_of(this->groups | std::views::values, [](const auto& aRecord) {
      return aRecord.phase == Phase::Forming;
    });
  if (forming) {
    return;
  }
  // Members of small groups first: with a free engine or two they make a large one.
  std::vector<std::pair<std::size_t, const ServerEntry*>> members;
  for (const auto& group : this->observed | std::views::values) {
    for (const auto* member : group.members) {
      members.emplace_back(group.members.size(), member);
    }
  }
  std::ranges::stable_sort(members, {}, &decltype(members)::value_type::first);
  const std::size_t most =
    this->inputs->cost.concurrentLoads * (this->inputs->trafficStarted ? 1 : kEarlyLoads);
  for (const auto& [size, member] : members) {
    if (this->StagingNow() >= most) {
      return;
    }
    const auto other =
      std::ranges::find_if(this->inputs->cost.models, [this, member](const auto& aModel) {
        return this->JoinCost(*member, aModel.name) == kCold;
      });
    if (other != this->inputs->cost.models.end()) {
      this->StageIfAffordable(*member, *other);
    }
  }
}

void FormationController::Stage(const ServerEntry& aEntry, const ModelTerms& aModel)
{
  this->staging[aEntry.id] = { aModel.name, this->now };
  EngineOrder order;
  order.server = aEntry.id;
  order.endpoint = aEntry.endpoint;
  order.kind = OrderKind::Stage;
  order.model = aModel.name;
  order.fence = this->term;
  this->orders.push_back(std::move(order));
}

std::size_t FormationController::StagingNow() const
{
  return this->staging.size();
}

void FormationController::ForgetStaged()
{
  std::erase_if(this->staging, [this](const auto& aStaging) {
    const auto* entry = this->inputs->directory.Find(aStaging.first);
    const auto* terms = this->inputs->cost.FindModel(aStaging.second.model);
    if (entry == nullptr || terms == nullptr) {
      return true;
    }
    const bool staged = std::ranges::find(entry->stagedModels, aStaging.second.model) !=
                        entry->stagedModels.end();
    return staged ||
           this->now - aStaging.second.orderedAt >= terms->loadTime * kRepeatStaging;
  });
}

nlohmann::json FormationController::Describe() const
{
  constexpr std::array kPhases = {
    "forming", "standing", "closing", "retiring", "dissolved"
  };
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [id, record] : this->groups) {
    list.push_back({ { "id", id.Value() },
                     { "model", record.model },
                     { "phase", kPhases.at(static_cast<std::size_t>(record.phase)) },
                     { "head", record.head.Value() } });
  }
  return { { "term", this->term }, { "groups", std::move(list) } };
}

} // namespace toucanstand
