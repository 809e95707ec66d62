#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "support/TestSystem.h"

namespace toucanstand {

/// Servers of a measurement; tokensPerSecond is the rate of an unloaded engine.
struct ServerModel
{
  int domains = 2;
  int enginesPerDomain = 8;
  int groupSize = 2;
  int slots = 8;
  double tokensPerSecond = 100;
  double batchSlowdown = 0.5;

  [[nodiscard]] int Groups() const;
  /// Tokens per second of all groups with every slot in use.
  [[nodiscard]] double Capacity() const;
};

/// Routing strategy and admission mode under comparison.
struct Policy
{
  std::string name;
  std::string strategy = "least-two-choices";
  std::string admission = "weighted";
};

/// Mix of short and long chat requests.
struct RequestMix
{
  double shortWeight = 0.97;
  double longWeight = 0.03;
  int shortTokens = 20;
  int longTokens = 600;
  double abandonShare = 0;

  [[nodiscard]] double MeanTokens() const;
};

/// Returns the toucanstand-load plan for a request mix. @param aPhases its load phases
[[nodiscard]] nlohmann::json MakePlan(const RequestMix& aMix,
                                      nlohmann::json aPhases,
                                      int aSeed);

/// Starts a system with the policy, applies the load and returns the result of the load
/// generator, extended by the engines' busy and wasted time and the entries' attempts.
[[nodiscard]] nlohmann::json RunLoad(const ServerModel& aServers,
                                     const Policy& aPolicy,
                                     nlohmann::json aPlan);

} // namespace toucanstand
