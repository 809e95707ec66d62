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
  /// @param aEngines number of engines that may become members of groups.
  ModelDemand(const FormationInputs& aInputs, std::size_t aEngines);

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
