#pragma once

#include <array>
#include <cstddef>

#include "contracts/Contract.h"

namespace toucanstand {

/// Predicts the service time in a pool from its answered requests, by work class.
class ServiceTimeModel
{
public:
  /// Adds an answered request. @param aSeconds its service time
  void Record(WorkClass aClass, double aCost, double aSeconds);

  /// Expected service time of a cost; zero before the first sample of the class.
  [[nodiscard]] double PredictSeconds(WorkClass aClass, double aCost) const;

  /// Cost whose expected service time is the given one; zero before the first sample.
  [[nodiscard]] double EquivalentCost(WorkClass aClass, double aSeconds) const;

  /// Mean service time; zero before the first sample.
  [[nodiscard]] double MeanSeconds(WorkClass aClass) const;

private:
  struct Averages
  {
    double seconds = 0;
    double cost = 0;
    std::size_t samples = 0;
  };
  std::array<Averages, 2> averages{};
};

/// Index of a class in arrays with one entry per class.
[[nodiscard]] constexpr std::size_t IndexOf(WorkClass aClass)
{
  return aClass == WorkClass::Short ? 0 : 1;
}

} // namespace toucanstand
