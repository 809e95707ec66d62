#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "formation/FormationInputs.h"

namespace toucanstand {

/// How the engines of a pool should be divided among its models.
class ModelDemand
{
public:
  /// @param aEngines engines that may become members of groups
  ModelDemand(const FormationInputs& aInputs, std::size_t aEngines);

  /// Share of all groups that should run the model; above 0.
  [[nodiscard]] double TargetShare(const std::string& aModel) const;

  /// Groups of the model that the engines allow when every model has what it needs.
  [[nodiscard]] std::size_t MaxGroups(const std::string& aModel) const;

private:
  std::map<std::string, double> shares;
  double engines;
  double enginesPerGroup = 0;
};

} // namespace toucanstand
