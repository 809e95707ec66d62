#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "support/TestSystem.h"

namespace toucanstand {

/// The servers of a measurement and what one of them does unloaded.
struct ServerModel
{
  int domains = 2;
  int enginesPerDomain = 8;
  int groupSize = 2;
  int slots = 8;
  double tokensPerSecond = 100;
  double batchSlowdown = 0.5;

  [[nodiscard]] int Groups() const;
  /// Tokens a second of all groups with every slot in use.
  [[nodiscard]] double Capacity() const;
};

/// One way of serving that is compared with others.
struct Policy
{
  std::string name;
  std::string strategy = "least-two-choices";
  std::string admission = "weighted";
};

/// A mix of short and long chats.
struct RequestMix
{
  double shortWeight = 0.97;
  double longWeight = 0.03;
  int shortTokens = 20;
  int longTokens = 600;
  double abandonShare = 0;

  [[nodiscard]] double MeanTokens() const;
};

/// Plan of toucanstand-load for a mix. @param aPhases list of its phases
[[nodiscard]] nlohmann::json MakePlan(const RequestMix& aMix,
                                      nlohmann::json aPhases,
                                      int aSeed);

/// Starts a system with the policy, applies the load, and returns the generator's result
/// with the engines' busy and wasted time and the entries' attempts added.
[[nodiscard]] nlohmann::json RunLoad(const ServerModel& aServers,
                                     const Policy& aPolicy,
                                     nlohmann::json aPlan);

} // namespace toucanstand
