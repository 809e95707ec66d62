#include "random/Random.h"

namespace toucanstand {

Random::Random(std::uint64_t aSeed)
  : engine(aSeed)
{
}

std::uint64_t Random::Below(std::uint64_t aBound)
{
  return std::uniform_int_distribution<std::uint64_t>(0, aBound - 1)(this->engine);
}

double Random::Fraction()
{
  return std::uniform_real_distribution<double>(0.0, 1.0)(this->engine);
}

std::uint64_t SystemSeed()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace toucanstand
