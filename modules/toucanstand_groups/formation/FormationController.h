#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "formation/EngineOrder.h"
#include "formation/LoadBudget.h"
#include "serving/EngineCostModel.h"
#include "serving/ServerDirectory.h"

namespace toucanstand {

/// Work that callers ask of each model, in engine seconds a second at pace 1.
using ModelWork = std::map<std::string, double>;

/// What the controller plans with.
struct FormationInputs
{
  const ServerDirectory& directory;
  const EngineCostModel& cost;
  /// Models without an entry count with the share that the operator expects.
  ModelWork work;
  /// Loads of weights are cheap and unlimited before the first request.
  bool trafficStarted = false;
  /// Time for which a head with a missing member keeps its work.
  Duration headStall = std::chrono::seconds(5);
};

/// Forms, repairs and dissolves the replica groups of one pool while its process holds
/// the lease of the pool.
///
/// What lasts is what the engines report: each engine states its group, generation and
/// state, and the name of a group says which model it runs. A new holder of the lease
/// adopts the groups that it finds. Four rules keep a member from being taken away from
/// a head that may serve, and a head from serving with a member missing:
///  - a head is opened only when every member reports the group as ready;
///  - members are used again only after the head has left or has ended; the members of a
///    head that does not answer leave, and are used again after the time for which a head
///    with a missing member keeps its work;
///  - a group whose member is no longer registered stands while the member answers: an
///    engine that is cut off from the store still serves;
///  - generations and fences rise with the lease, so that an engine rejects an order of
///    an earlier holder once it has one of the present holder.
class FormationController
{
public:
  /// An order without a visible effect is given again after this.
  static constexpr Duration kRepeatAfter = std::chrono::milliseconds(700);
  /// The same for an engine that does not answer.
  static constexpr Duration kRepeatToSilent = std::chrono::milliseconds(2000);
  /// Time in which the members of a group that is found in formation may become complete.
  static constexpr Duration kAdoptionGrace = std::chrono::milliseconds(2500);
  /// Added to the time for which a head with a missing member keeps its work, for the
  /// way of the order that made the member leave.
  static constexpr Duration kStallSlack = std::chrono::milliseconds(300);
  /// Time in which an engine's registration shows what an answered order changed.
  static constexpr Duration kRegistrationLag = std::chrono::milliseconds(2000);
  /// Longest time that a group with a leaving member finishes its work; the member exits
  /// as soon as 2 s after it announced that it leaves.
  static constexpr Duration kCloseWait = std::chrono::milliseconds(1500);
  /// The same for a group whose engines are wanted for another model. A usual stream
  /// takes under 3 s.
  static constexpr Duration kMoveWait = std::chrono::milliseconds(4000);
  /// Loads that may be in progress before the first request, relative to the number
  /// beyond which they slow one another down.
  static constexpr std::size_t kEarlyLoads = 2;

  explicit FormationController(PoolId aPool);

  /// The lease was gained. @param aTerm rises with each holder
  void Begin(std::int64_t aTerm);

  /// Orders to give now. Call a few times a second while the lease is held.
  [[nodiscard]] std::vector<EngineOrder> Plan(const FormationInputs& aInputs,
                                              TimePoint aNow);

  void OnReply(const EngineOrder& aOrder, OrderReply aReply, TimePoint aNow);

  /// An engine and where it listened last.
  struct KnownEngine
  {
    ServerId server;
    Endpoint endpoint;
  };

  /// Members of standing groups whose registrations have ended since they were complete,
  /// to be asked whether they live. Known after Plan().
  [[nodiscard]] const std::vector<KnownEngine>& ToExamine() const
  {
    return this->toExamine;
  }

  /// An engine did not answer when it was asked.
  void OnSilent(const ServerId& aServer);
  /// An engine answered when it was asked.
  void OnAnswered(const ServerId& aServer);

  /// Engines that do not answer although they are registered.
  [[nodiscard]] const std::set<ServerId>& Silent() const { return this->silent; }

  /// True once an engine has seen an order of a later holder of the lease.
  [[nodiscard]] bool IsOutdated() const { return this->outdated; }

  /// Groups and need of each model, and the free engines of each domain, as of the last
  /// plan; for the log.
  [[nodiscard]] const std::string& Summary() const { return this->summary; }

  [[nodiscard]] nlohmann::json Describe() const;

private:
  enum class Phase
  {
    Forming,
    Standing,
    /// Finishes its work before the head leaves.
    Closing,
    /// The head must leave before the members may be used again.
    Retiring,
    /// The members may be used again.
    Dissolved,
  };

  struct GroupRecord
  {
    Generation generation = 0;
    std::string model;
    std::size_t size = 1;
    Phase phase = Phase::Standing;
    TimePoint since{};
    /// Known once the head was seen or the group was formed here.
    ServerId head;
    Endpoint headEndpoint;
    /// Members by rank; for an adopted group known once it was seen complete.
    std::vector<ServerId> members;
    std::map<ServerId, Endpoint> endpoints;
    bool wasComplete = false;
    Duration closeWait = kCloseWait;
    /// Set while the group is dissolved for the sake of another model: until then the
    /// free engines of its domain are kept for that model.
    std::string movesTo;
    DomainId domain;
    /// Set once no member is left in the group of a head that does not answer.
    std::optional<TimePoint> membersLeftAt;
    /// When each engine got its last order on this group.
    std::map<ServerId, TimePoint> orderedAt;
  };

  using Step = void (FormationController::*)(const GroupId&,
                                             GroupRecord&,
                                             const ObservedGroup&);

  void Adopt(const std::map<GroupId, ObservedGroup>& aObserved);
  void StepForming(const GroupId& aId, GroupRecord& aRecord, const ObservedGroup& aSeen);
  void StepStanding(const GroupId& aId, GroupRecord& aRecord, const ObservedGroup& aSeen);
  void StepClosing(const GroupId& aId, GroupRecord& aRecord, const ObservedGroup& aSeen);
  void StepRetiring(const GroupId& aId, GroupRecord& aRecord, const ObservedGroup& aSeen);
  [[nodiscard]] bool MembersHaveLeft(const GroupId& aId,
                                     GroupRecord& aRecord,
                                     const ObservedGroup& aSeen);
  void StepDissolved(const GroupId& aId,
                     GroupRecord& aRecord,
                     const ObservedGroup& aSeen);

  [[nodiscard]] bool IsUsable(const ServerEntry& aEntry) const;
  [[nodiscard]] bool IsComplete(const GroupRecord& aRecord,
                                const ObservedGroup& aSeen) const;
  /// Every member is registered as one or answers when it is asked.
  [[nodiscard]] bool MembersLive(const GroupId& aId,
                                 const GroupRecord& aRecord,
                                 const ObservedGroup& aSeen);
  void RememberMembers(GroupRecord& aRecord, const ObservedGroup& aSeen);
  /// A member got an order to join a later group, which it may still carry out.
  [[nodiscard]] bool IsOvertaken(const GroupRecord& aRecord) const;
  [[nodiscard]] bool HasLeavingMember(const ObservedGroup& aSeen) const;
  void Enter(GroupRecord& aRecord, Phase aPhase);
  void OrderOnce(const GroupId& aId,
                 GroupRecord& aRecord,
                 OrderKind aKind,
                 const ServerId& aServer,
                 const Endpoint& aEndpoint);

  [[nodiscard]] std::vector<const ServerEntry*> FreeEngines() const;
  void FormGroups(std::vector<const ServerEntry*> aFree);
  bool FormOne(const ModelTerms& aModel, std::vector<const ServerEntry*>& aFree);
  /// Closes a group of a model with more than enough groups where its engines and the
  /// free ones of the same domain make a group of a model that lacks one.
  void MoveEngines(const std::vector<const ServerEntry*>& aFree);

  /// A group whose engines, with free ones, make a group of another model.
  struct Donor
  {
    GroupId group;
    /// Engines of the new group that would have to load its weights.
    std::vector<const ServerEntry*> cold;
  };
  [[nodiscard]] std::optional<Donor> DonorFor(
    const ModelTerms& aLacking,
    const std::vector<const ServerEntry*>& aFree) const;
  /// The model with the fewest groups for its need.
  [[nodiscard]] const ModelTerms& MostLacking() const;
  void StageIfAffordable(const ServerEntry& aEntry, const ModelTerms& aModel);
  void StageSpares(const std::vector<const ServerEntry*>& aFree);
  /// Weights of the other models for the members of groups, so that a later move takes
  /// the time of a warm join.
  void StageAhead();
  void Stage(const ServerEntry& aEntry, const ModelTerms& aModel);
  [[nodiscard]] std::size_t StagingNow() const;
  void ForgetStaged();
  [[nodiscard]] std::size_t CountOf(const std::string& aModel) const;
  /// Share of all groups that should run the model.
  [[nodiscard]] double NeedOf(const ModelTerms& aModel) const;
  /// Groups that the model's callers keep busy, in any unit that is the same for all.
  [[nodiscard]] double GroupsFor(const ModelTerms& aModel) const;
  [[nodiscard]] std::size_t MostGroups(const ModelTerms& aModel) const;
  /// False while the free engines of a domain are kept for another model.
  [[nodiscard]] bool MayForm(const DomainId& aDomain, const std::string& aModel) const;
  /// How an engine gets the weights of a model, from fastest to slowest.
  static constexpr int kHot = 0;
  static constexpr int kWarm = 1;
  static constexpr int kCold = 2;
  [[nodiscard]] int JoinCost(const ServerEntry& aEntry, const std::string& aModel) const;
  void NoteMemberships();
  void Summarize(const std::vector<const ServerEntry*>& aFree);

  PoolId pool;
  std::int64_t term = 0;
  std::uint64_t formed = 0;
  bool outdated = false;
  std::map<GroupId, GroupRecord> groups;
  std::set<ServerId> silent;
  /// Model of the last group of each engine in its present run.
  struct LastModel
  {
    std::int64_t startedAtUnixMs = 0;
    std::string model;
  };
  std::map<ServerId, LastModel> lastModels;
  /// Highest generation that each engine was ordered to join under this lease.
  std::map<ServerId, Generation> orderedJoins;
  struct StagingOrder
  {
    std::string model;
    TimePoint orderedAt{};
  };
  std::map<ServerId, StagingOrder> staging;
  LoadBudget loads;

  // Set for the duration of Plan().
  const FormationInputs* inputs = nullptr;
  std::map<GroupId, ObservedGroup> observed;
  TimePoint now{};
  std::vector<EngineOrder> orders;
  std::vector<KnownEngine> toExamine;
  std::string summary;
};

/// Id of a group that runs a model.
[[nodiscard]] GroupId GroupIdFor(const std::string& aModel, Generation aGeneration);

/// The model that a group's id names; empty when the id is not one of GroupIdFor().
[[nodiscard]] std::string ModelOfGroup(const GroupId& aGroup);

} // namespace toucanstand
