#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "formation/GroupLifecycle.h"
#include "formation/ModelDemand.h"
#include "formation/WeightStaging.h"

namespace toucanstand {

/// Forms, repairs and dissolves the replica groups of one pool while this process holds
/// the pool's lease.
///
/// No state is stored: each engine reports its group, generation and state, and the id of
/// a group contains its model. A new lease holder adopts the groups that it finds.
/// GroupLifecycle enforces the safety rules of each group; this class chooses which
/// engines form groups of which model.
class FormationController
{
public:
  explicit FormationController(PoolId aPool);

  /// Starts a lease term, discarding the group state of the previous one.
  /// @param aTerm increases with each lease holder.
  void StartTerm(std::int64_t aTerm);

  /// Returns the orders to send now. Call a few times a second while the lease is held.
  [[nodiscard]] std::vector<EngineOrder> Plan(const FormationInputs& aInputs,
                                              TimePoint aNow);

  void OnReply(const EngineOrder& aOrder, EngineOrderReply aReply, TimePoint aNow);
  /// Reports that an engine did not answer a probe.
  void OnUnresponsive(const ServerId& aServer)
  {
    this->lifecycle.OnUnresponsive(aServer);
  }
  /// Reports that an engine answered a probe.
  void OnResponsive(const ServerId& aServer) { this->lifecycle.OnResponsive(aServer); }

  /// Members to probe for liveness; see GroupLifecycle. Valid after Plan().
  [[nodiscard]] const std::vector<GroupLifecycle::EngineAddress>& MembersToProbe() const
  {
    return this->lifecycle.MembersToProbe();
  }

  /// Engines that are reported as unresponsive, or whose process has ended.
  [[nodiscard]] const std::set<ServerId>& UnresponsiveEngines() const
  {
    return this->lifecycle.UnresponsiveEngines();
  }

  /// Groups whose heads are ordered to leave: requests in flight on them are lost.
  [[nodiscard]] std::vector<GroupId> EndingGroups() const;

  /// True once an engine reports an order of a later lease holder.
  [[nodiscard]] bool IsOutdated() const { return this->lifecycle.IsOutdated(); }

  /// Group count and maximum of each model, and free engines per domain, as of the last
  /// plan; for the log.
  [[nodiscard]] const std::string& Summary() const { return this->summary; }

  /// The lease term and the phase of each group as JSON, for state dumps.
  [[nodiscard]] nlohmann::json Describe() const;

private:
  using Engines = std::vector<const ServerEntry*>;

  /// Inputs and derived state of one planning pass.
  struct PlanContext
  {
    const FormationInputs& inputs;
    std::map<GroupId, ObservedGroup> observed;
    ModelDemand demand;
    TimePoint now;
  };

  /// Models with more urgent requests are supplied first only when the engines have not
  /// sufficed for as long as a load takes.
  [[nodiscard]] ModelDemand::Order SupplyOrder(const FormationInputs& aInputs,
                                               std::size_t aUsable,
                                               TimePoint aNow);
  [[nodiscard]] std::size_t CountUsable(const FormationInputs& aInputs) const;
  [[nodiscard]] Engines FreeEngines(const ServerDirectory& aDirectory) const;

  /// Present groups of a model divided by its target share; lower means more
  /// undersupplied.
  [[nodiscard]] double SupplyRatio(const PlanContext& aContext,
                                   const ModelTerms& aModel,
                                   double aAdditionalGroups = 0) const;
  [[nodiscard]] const ModelTerms& MostUndersupplied(const PlanContext& aContext) const;

  void FormGroups(const PlanContext& aContext, Engines& aFree);
  bool TryFormGroup(const PlanContext& aContext,
                    const ModelTerms& aModel,
                    Engines& aFree);

  /// Closes one group of a well-supplied model if its engines, together with the free
  /// engines of its domain, can form a group of the most undersupplied model. Stages the
  /// missing weights first. At most one reassignment is in progress at a time.
  void ReassignEngines(const PlanContext& aContext, const Engines& aFree);

  /// A group whose engines, together with free ones, can form a group of another model.
  struct Donor
  {
    GroupId group;
    DomainId domain;
    /// Engines of the new group that must load the other model's weights first.
    Engines cold;
  };
  [[nodiscard]] std::optional<Donor> FindDonor(const PlanContext& aContext,
                                               const ModelTerms& aTarget,
                                               const Engines& aFree) const;
  [[nodiscard]] std::optional<Donor> MakeDonor(const ObservedGroup& aGroup,
                                               const ModelTerms& aTarget,
                                               const Engines& aFree) const;

  /// The `groupSize` engines that can join a group of the model in the least time.
  [[nodiscard]] Engines FastestToJoin(Engines aEngines, const ModelTerms& aModel) const;
  /// False while the free engines of a domain are reserved for another model.
  [[nodiscard]] bool IsDomainAvailableFor(const DomainId& aDomain,
                                          const std::string& aModel) const;

  /// A group that free engines of one domain can form once some have loaded the weights.
  struct CandidateGroup
  {
    const ModelTerms* model = nullptr;
    Engines members;
    /// Members that neither hold the weights nor are loading them.
    Engines cold;
    /// Engines brought into service per load.
    double enginesPerLoad = 0;
    /// The model's supply ratio before this group is formed.
    double supplyRatio = 0;
  };
  [[nodiscard]] std::vector<CandidateGroup> RankCandidateGroups(
    const PlanContext& aContext,
    const Engines& aFree) const;
  [[nodiscard]] std::optional<CandidateGroup> MakeCandidateGroup(
    const PlanContext& aContext,
    const ModelTerms& aModel,
    const Engines& aDomain) const;
  /// Starts loads for the candidate groups, beginning with those that bring the most
  /// engines into service per load, because the weight store serves only a few loads at a
  /// time.
  /// @returns the engines of the candidate groups.
  std::set<ServerId> StageForCandidateGroups(const PlanContext& aContext,
                                             const Engines& aFree);

  /// Stages weights on the remaining free engines, so that they can replace lost members
  /// of the groups in their domain.
  void StageForRepair(const PlanContext& aContext,
                      const Engines& aFree,
                      const std::set<ServerId>& aTaken);
  /// Stages the weights of other models on members of groups, so that a later
  /// reassignment takes only the time of a warm join.
  void StageForReassignment(const PlanContext& aContext);
  void UpdateSummary(const PlanContext& aContext, const Engines& aFree);

  /// Returns the orders of this plan with their fencing tokens.
  [[nodiscard]] std::vector<EngineOrder> TakeOrders(const FormationInputs& aInputs);

  PoolId pool;
  std::int64_t term = 0;
  /// Fencing token of the next orders; at least the term.
  std::int64_t fence = 0;
  /// Fencing token of the last order to each engine in this term.
  std::map<ServerId, std::int64_t> lastFences;
  GroupLifecycle lifecycle;
  WeightStaging staging;
  std::string summary;
  /// Since when the engines have not sufficed for the demand.
  std::optional<TimePoint> shortSince;
};

} // namespace toucanstand
