#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "formation/FormationInputs.h"

namespace toucanstand {

/// Computes how the engines of a pool should be divided among its models.
class ModelDemand
{
public:
  /// How the engines are divided while they don't suffice.
  enum class Order
  {
    /// In proportion to the demand of each model.
    Proportional,
    /// The most urgent work of all models first.
    ByUrgency,
  };

  /// Share by which the engines must exceed the busy ones to count as enough: beyond
  /// about 0.85 of their capacity, first events are late at random peaks.
  static constexpr double kHeadroom = 0.2;
  /// Share of its proportional supply that a model keeps, however urgent the others are.
  static constexpr double kMinSupply = 0.5;

  /// @param aEngines number of engines that may become members of groups.
  ModelDemand(const FormationInputs& aInputs,
              std::size_t aEngines,
              Order aOrder = Order::Proportional);

  /// True if the demand of all models, with kHeadroom, exceeds the engines.
  [[nodiscard]] static bool IsShort(const FormationInputs& aInputs, std::size_t aEngines);

  /// Target share of the model in all groups; above 0.
  [[nodiscard]] double TargetShare(const std::string& aModel) const;

  /// Number of groups that gives the model its target share of the engines, rounded up;
  /// at least 1.
  [[nodiscard]] std::size_t MaxGroups(const std::string& aModel) const;

private:
  std::map<std::string, double> shares;
  double engines;
  /// Average number of engines per group, weighted by the target shares.
  double meanGroupSize = 0;
};

} // namespace toucanstand
