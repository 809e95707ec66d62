#include "routing/SelectionStrategy.h"

#include <algorithm>
#include <array>
#include <vector>

namespace toucanstand {

namespace {

/// Draws of one random choice before all candidates are examined.
constexpr int kDraws = 4;

class RoundRobin final : public SelectionStrategy
{
public:
  [[nodiscard]] CandidateState* Choose(const Selection& aSelection,
                                       RoutingPool& aPool,
                                       Random& /*aRandom*/) const override
  {
    const auto& candidates = aPool.Candidates();
    for (std::size_t step = 0; step < candidates.size(); ++step) {
      aPool.cursor = (aPool.cursor + 1) % candidates.size();
      if (aSelection.Admits(*candidates[aPool.cursor])) {
        return candidates[aPool.cursor];
      }
    }
    return nullptr;
  }
};

class LeastOutstanding final : public SelectionStrategy
{
public:
  [[nodiscard]] CandidateState* Choose(const Selection& aSelection,
                                       RoutingPool& aPool,
                                       Random& aRandom) const override
  {
    const auto& candidates = aPool.Candidates();
    CandidateState* best = nullptr;
    // A random start spreads the choice among equal candidates.
    const std::size_t start = candidates.empty() ? 0 : aRandom.Below(candidates.size());
    for (std::size_t step = 0; step < candidates.size(); ++step) {
      auto* candidate = candidates[(start + step) % candidates.size()];
      if ((best == nullptr || Precedes(*candidate, *best)) &&
          aSelection.Admits(*candidate)) {
        best = candidate;
      }
    }
    return best;
  }

private:
  static bool Precedes(const CandidateState& aLeft, const CandidateState& aRight)
  {
    const double left = aLeft.own.Outstanding();
    const double right = aRight.own.Outstanding();
    return left < right || (left == right && aLeft.inOwnZone && !aRight.inOwnZone);
  }
};

/// Two random candidates of the pool and two of the own availability zone are compared;
/// one of the zone wins while its load exceeds the other's by at most the tolerance.
class TwoChoices final : public SelectionStrategy
{
public:
  [[nodiscard]] CandidateState* Choose(const Selection& aSelection,
                                       RoutingPool& aPool,
                                       Random& aRandom) const override
  {
    const auto& all = aPool.Candidates();
    const auto& near = aPool.InOwnZone();
    const bool zoned = !near.empty() && near.size() < all.size();
    CandidateState* best = nullptr;
    double lowest = 0;
    for (const auto* group : { &all, zoned ? &near : nullptr }) {
      for (auto* candidate : Draw(aSelection, group, aRandom)) {
        if (candidate == nullptr) {
          continue;
        }
        const double load =
          aPool.Load(*candidate, aSelection.now) -
          (zoned && candidate->inOwnZone ? aSelection.settings.zoneTolerance : 0.0);
        if (best == nullptr || load < lowest) {
          best = candidate;
          lowest = load;
        }
      }
    }
    return best;
  }

private:
  using Pair = std::array<CandidateState*, 2>;

  /// Two different admitted candidates, or fewer.
  static Pair Draw(const Selection& aSelection,
                   const std::vector<CandidateState*>* aGroup,
                   Random& aRandom)
  {
    if (aGroup == nullptr || aGroup->empty()) {
      return {};
    }
    Pair pair{};
    std::size_t found = 0;
    for (int draw = 0; draw < 2 * kDraws && found < pair.size(); ++draw) {
      auto* candidate = (*aGroup)[aRandom.Below(aGroup->size())];
      if (candidate != pair[0] && aSelection.Admits(*candidate)) {
        pair[found++] = candidate;
      }
    }
    return found == pair.size() ? pair : DrawFromAdmitted(aSelection, *aGroup, aRandom);
  }

  static Pair DrawFromAdmitted(const Selection& aSelection,
                               const std::vector<CandidateState*>& aGroup,
                               Random& aRandom)
  {
    std::vector<CandidateState*> admitted;
    std::ranges::copy_if(
      aGroup, std::back_inserter(admitted), [&aSelection](const auto* aCandidate) {
        return aSelection.Admits(*aCandidate);
      });
    Pair pair{};
    std::ranges::sample(
      admitted, pair.begin(), static_cast<std::ptrdiff_t>(pair.size()), aRandom.Engine());
    return pair;
  }
};

} // namespace

std::unique_ptr<SelectionStrategy> MakeStrategy(RoutingStrategy aStrategy)
{
  switch (aStrategy) {
    case RoutingStrategy::RoundRobin:
      return std::make_unique<RoundRobin>();
    case RoutingStrategy::LeastOutstanding:
      return std::make_unique<LeastOutstanding>();
    case RoutingStrategy::TwoChoices:
      break;
  }
  return std::make_unique<TwoChoices>();
}

} // namespace toucanstand
