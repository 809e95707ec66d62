#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "formation/EngineOrder.h"
#include "formation/FormationInputs.h"
#include "formation/LoadRateLimiter.h"

namespace toucanstand {

/// How an engine gets the weights of a model, from fastest to slowest.
enum class JoinCost
{
  /// It had the model in its last group.
  Hot,
  /// The weights are staged on its host.
  Warm,
  /// The weights must be loaded from the weight store.
  Cold,
};

/// Loads weights onto engines ahead of the groups that will need them, within the rate
/// of the weight store.
class WeightStaging
{
public:
  /// The lease was gained. What engines have loaded stays known.
  void StartTerm(std::int64_t aTerm);

  /// Takes over what the engines of a pool report.
  void Update(const PoolId& aPool, const FormationInputs& aInputs, TimePoint aNow);

  [[nodiscard]] JoinCost CostOf(const ServerEntry& aEntry,
                                const std::string& aModel) const;

  /// True while the engine loads any model's weights.
  [[nodiscard]] bool IsLoading(const ServerId& aServer) const
  {
    return this->inProgress.contains(aServer);
  }
  [[nodiscard]] bool IsLoading(const ServerId& aServer, const std::string& aModel) const;

  /// Orders a load unless the engine has one in progress, the rate is used up or a
  /// further load would slow down those in progress.
  void TryStage(const ServerEntry& aEntry,
                const std::string& aModel,
                const FormationInputs& aInputs,
                TimePoint aNow);

  /// True while further loads would slow down those in progress.
  [[nodiscard]] bool IsAtLoadLimit(const FormationInputs& aInputs) const;

  void OnReply(const EngineOrder& aOrder, EngineOrderReply aReply);

  [[nodiscard]] std::vector<EngineOrder> TakeOrders();

private:
  void UpdateLastModels(const PoolId& aPool, const ServerDirectory& aDirectory);
  void RemoveFinishedLoads(const FormationInputs& aInputs, TimePoint aNow);

  /// Model of the last group of each engine in its present run.
  struct LastModel
  {
    std::int64_t startedAtUnixMs = 0;
    std::string model;
  };
  struct StagingOrder
  {
    std::string model;
    TimePoint orderedAt{};
    /// The engine said that it loads.
    bool confirmed = false;
  };

  std::int64_t term = 0;
  std::map<ServerId, LastModel> lastModels;
  std::map<ServerId, StagingOrder> inProgress;
  LoadRateLimiter loadLimiter;
  std::vector<EngineOrder> orders;
};

} // namespace toucanstand
