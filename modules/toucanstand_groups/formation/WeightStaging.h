#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "formation/EngineOrder.h"
#include "formation/FormationInputs.h"
#include "formation/LoadRateLimiter.h"

namespace toucanstand {

/// Cost for an engine to join a group of a model, from lowest to highest.
enum class JoinCost
{
  /// The engine's last group ran the model, so the weights are loaded.
  Hot,
  /// The weights are staged on its host.
  Warm,
  /// The weights must be loaded from the weight store.
  Cold,
};

/// Loads weights onto engines before they join the groups that need them, within the rate
/// limit of the weight store.
class WeightStaging
{
public:
  /// Starts a lease term, dropping the record of loads in progress. What engines have
  /// loaded is kept.
  void StartTerm();

  /// Updates the loaded models and the loads in progress from the engines' registrations.
  void Update(const PoolId& aPool, const FormationInputs& aInputs, TimePoint aNow);

  [[nodiscard]] JoinCost CostOf(const ServerEntry& aEntry,
                                const std::string& aModel) const;

  /// Whether the engine is loading the weights of any model, or of the given one.
  [[nodiscard]] bool IsLoading(const ServerId& aServer) const
  {
    return this->inProgress.contains(aServer);
  }
  [[nodiscard]] bool IsLoading(const ServerId& aServer, const std::string& aModel) const;

  /// Orders a load unless the engine has one in progress, the rate limit is reached or
  /// the maximum number of loads is in progress.
  void TryStage(const ServerEntry& aEntry,
                const std::string& aModel,
                const FormationInputs& aInputs,
                TimePoint aNow);

  /// Whether as many loads are in progress as the weight store can serve without slowing
  /// them down (before the first request: twice as many).
  [[nodiscard]] bool IsAtLoadLimit(const FormationInputs& aInputs) const;

  void OnReply(const EngineOrder& aOrder, EngineOrderReply aReply);

  /// Returns the orders to send, without fencing tokens.
  [[nodiscard]] std::vector<EngineOrder> TakeOrders();

private:
  void UpdateLastModels(const PoolId& aPool, const ServerDirectory& aDirectory);
  void RemoveFinishedLoads(const FormationInputs& aInputs, TimePoint aNow);

  /// Model of an engine's last group, valid for the process started at that time.
  struct LastModel
  {
    std::int64_t startedAtUnixMs = 0;
    std::string model;
  };
  struct StagingOrder
  {
    std::string model;
    TimePoint orderedAt{};
    /// Whether the engine confirmed the order.
    bool confirmed = false;
  };

  std::map<ServerId, LastModel> lastModels;
  std::map<ServerId, StagingOrder> inProgress;
  LoadRateLimiter loadLimiter;
  std::vector<EngineOrder> orders;
};

} // namespace toucanstand
