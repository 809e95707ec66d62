#pragma once

#include <cstdint>
#include <random>

namespace toucanstand {

/// Source of randomness handed to decision classes, so that a seed replays a run.
class Random
{
public:
  explicit Random(std::uint64_t aSeed);

  /// Uniform whole number in [0, aBound). @param aBound must be above 0.
  [[nodiscard]] std::uint64_t Below(std::uint64_t aBound);

  /// Uniform number in [0, 1).
  [[nodiscard]] double Fraction();

  /// The generator, for the distributions and algorithms of the standard library.
  [[nodiscard]] std::mt19937_64& Engine() { return this->engine; }

private:
  std::mt19937_64 engine;
};

/// Seed from the operating system, for programs; tests use fixed seeds.
[[nodiscard]] std::uint64_t SystemSeed();

} // namespace toucanstand
