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

/// Forms, repairs and dissolves the replica groups of one pool while its process holds
/// the lease of the pool.
///
/// What lasts is what the engines report: each engine states its group, generation and
/// state, and the name of a group says which model it runs. A new holder of the lease
/// adopts the groups that it finds. GroupLifecycle keeps the promises on each group; this
/// class chooses which engines form groups of which model.
class FormationController
{
public:
  explicit FormationController(PoolId aPool);

  /// The lease was gained. @param aTerm rises with each holder
  void StartTerm(std::int64_t aTerm);

  /// Orders to give now. Call a few times a second while the lease is held.
  [[nodiscard]] std::vector<EngineOrder> Plan(const FormationInputs& aInputs,
                                              TimePoint aNow);

  void OnReply(const EngineOrder& aOrder, EngineOrderReply aReply, TimePoint aNow);
  /// An engine did not answer when it was asked.
  void OnUnresponsive(const ServerId& aServer)
  {
    this->lifecycle.OnUnresponsive(aServer);
  }
  /// An engine answered when it was asked.
  void OnResponsive(const ServerId& aServer) { this->lifecycle.OnResponsive(aServer); }

  /// Members to be asked whether they live; see GroupLifecycle. Known after Plan().
  [[nodiscard]] const std::vector<GroupLifecycle::EngineAddress>& MembersToProbe() const
  {
    return this->lifecycle.MembersToProbe();
  }

  /// Engines that do not answer although they are registered.
  [[nodiscard]] const std::set<ServerId>& UnresponsiveEngines() const
  {
    return this->lifecycle.UnresponsiveEngines();
  }

  /// Groups whose heads are told to leave: requests to them are lost.
  [[nodiscard]] std::vector<GroupId> EndingGroups() const;

  /// True once an engine has seen an order of a later holder of the lease.
  [[nodiscard]] bool IsOutdated() const { return this->lifecycle.IsOutdated(); }

  /// Groups and need of each model, and the free engines of each domain, as of the last
  /// plan; for the log.
  [[nodiscard]] const std::string& Summary() const { return this->summary; }

  [[nodiscard]] nlohmann::json Describe() const;

private:
  using Engines = std::vector<const ServerEntry*>;

  /// What one plan is made from.
  struct PlanContext
  {
    const FormationInputs& inputs;
    std::map<GroupId, ObservedGroup> observed;
    ModelDemand demand;
    TimePoint now;
  };

  [[nodiscard]] std::size_t CountUsable(const ServerDirectory& aDirectory) const;
  [[nodiscard]] Engines FreeEngines(const ServerDirectory& aDirectory) const;

  /// Groups that a model has for each unit of its need.
  [[nodiscard]] double SupplyRatio(const PlanContext& aContext,
                                   const ModelTerms& aModel,
                                   double aAdditionalGroups = 0) const;
  [[nodiscard]] const ModelTerms& MostUndersupplied(const PlanContext& aContext) const;

  void FormGroups(const PlanContext& aContext, Engines& aFree);
  bool TryFormGroup(const PlanContext& aContext,
                    const ModelTerms& aModel,
                    Engines& aFree);

  /// Closes a group of a model with more than enough groups where its engines and the
  /// free ones of the same domain make a group of a model that lacks one.
  void ReassignEngines(const PlanContext& aContext, const Engines& aFree);

  /// A group whose engines, with free ones, make a group of another model.
  struct Donor
  {
    GroupId group;
    DomainId domain;
    /// Engines of the new group that would have to load its weights.
    Engines cold;
  };
  [[nodiscard]] std::optional<Donor> FindDonor(const PlanContext& aContext,
                                               const ModelTerms& aTarget,
                                               const Engines& aFree) const;
  [[nodiscard]] std::optional<Donor> MakeDonor(const ObservedGroup& aGroup,
                                               const ModelTerms& aTarget,
                                               const Engines& aFree) const;

  /// The engines for which joining takes the least time.
  [[nodiscard]] Engines FastestToJoin(Engines aEngines, const ModelTerms& aModel) const;
  /// False while the free engines of a domain are kept for another model.
  [[nodiscard]] bool IsDomainAvailableFor(const DomainId& aDomain,
                                          const std::string& aModel) const;

  /// A group that free engines of one domain make once some have loaded weights.
  struct CandidateGroup
  {
    const ModelTerms* model = nullptr;
    Engines members;
    /// Members that have yet to be told to load the weights.
    Engines cold;
    /// Engines that each load brings into service.
    double enginesPerLoad = 0;
    /// Of the model, before this group.
    double supplyRatio = 0;
  };
  [[nodiscard]] std::vector<CandidateGroup> RankCandidateGroups(
    const PlanContext& aContext,
    const Engines& aFree) const;
  [[nodiscard]] std::optional<CandidateGroup> MakeCandidateGroup(
    const PlanContext& aContext,
    const ModelTerms& aModel,
    const Engines& aDomain) const;
  /// Orders the loads that bring most engines into service first: the weight store
  /// serves few loads at a time. @returns the engines of the groups in prospect
  std::set<ServerId> StageForCandidateGroups(const PlanContext& aContext,
                                             const Engines& aFree);

  /// Weights for the free engines that remain, for the repair of the groups beside them.
  void StageForRepair(const PlanContext& aContext,
                      const Engines& aFree,
                      const std::set<ServerId>& aTaken);
  /// Weights of the other models for the members of groups, so that a later move takes
  /// the time of a warm join.
  void StageForReassignment(const PlanContext& aContext);
  void UpdateSummary(const PlanContext& aContext, const Engines& aFree);

  PoolId pool;
  std::int64_t term = 0;
  GroupLifecycle lifecycle;
  WeightStaging staging;
  std::string summary;
};

} // namespace toucanstand
