#pragma once

namespace toucanstand {

/// How the candidates of a pool are compared.
enum class RoutingStrategy
{
  RoundRobin,
  /// Fewest requests of this process outstanding.
  LeastOutstanding,
  /// The less loaded of two random candidates.
  TwoChoices,
  /// The less loaded of two random candidates among those with the fewest requests of
  /// this process outstanding.
  LeastTwoChoices,
};

/// Name of a strategy in the configuration, settings and state dumps.
[[nodiscard]] const char* Name(RoutingStrategy aStrategy);

} // namespace toucanstand
