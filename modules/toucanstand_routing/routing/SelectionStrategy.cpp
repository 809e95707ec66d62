#include "routing/SelectionStrategy.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>
#include <vector>

namespace toucanstand {

namespace {

/// Maximum number of random draws to find two admitted candidates; after that, all
/// candidates are examined.
constexpr int kMaxDraws = 8;

class RoundRobin final : public SelectionStrategy
{
public:
  [[nodiscard]] CandidateState* Choose(const SelectionContext& aSelection,
                                       RoutingPool& aPool,
                                       Random& /*aRandom*/) const override
  {
    const auto& candidates = aPool.Candidates();
    for (std::size_t step = 0; step < candidates.size(); ++step) {
      aPool.roundRobinIndex = (aPool.roundRobinIndex + 1) % candidates.size();
      if (aSelection.Admits(*candidates[aPool.roundRobinIndex])) {
        return candidates[aPool.roundRobinIndex];
      }
    }
    return nullptr;
  }
};

class LeastOutstanding final : public SelectionStrategy
{
public:
  [[nodiscard]] CandidateState* Choose(const SelectionContext& aSelection,
                                       RoutingPool& aPool,
                                       Random& aRandom) const override
  {
    const auto& candidates = aPool.Candidates();
    CandidateState* best = nullptr;
    // A random start distributes the choice among equal candidates.
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
    const double left = aLeft.ownRequests.Outstanding();
    const double right = aRight.ownRequests.Outstanding();
    return left < right || (left == right && aLeft.inOwnZone && !aRight.inOwnZone);
  }
};

/// Keeps the least loaded of the candidates added. A candidate in the own availability
/// zone is preferred while its load exceeds the others' by at most the zone tolerance.
class LeastLoadedChoice
{
public:
  explicit LeastLoadedChoice(const SelectionContext& aSelection)
    : selection(aSelection)
    , prefersOwnZone(!aSelection.pool.InOwnZone().empty() &&
                     aSelection.pool.InOwnZone().size() <
                       aSelection.pool.Candidates().size())
  {
  }

  void Add(CandidateState* aCandidate)
  {
    if (aCandidate == nullptr) {
      return;
    }
    const bool preferred = this->prefersOwnZone && aCandidate->inOwnZone;
    const double adjustedLoad =
      this->selection.pool.RelativeLoad(*aCandidate, this->selection.now) -
      (preferred ? this->selection.settings.zoneTolerance : 0.0);
    if (this->best == nullptr || adjustedLoad < this->lowest) {
      this->best = aCandidate;
      this->lowest = adjustedLoad;
    }
  }

  /// Whether candidates in the own zone are preferred: true when some, but not all, of
  /// the pool are in it.
  [[nodiscard]] bool PrefersOwnZone() const { return this->prefersOwnZone; }

  /// Null when no candidate was added.
  [[nodiscard]] CandidateState* Best() const { return this->best; }

private:
  const SelectionContext& selection;
  bool prefersOwnZone;
  CandidateState* best = nullptr;
  double lowest = 0;
};

/// Adds two random candidates to a choice. Of equally loaded candidates the first one
/// added is kept, so their order is random as well.
void AddTwoRandom(const std::vector<CandidateState*>& aCandidates,
                  Random& aRandom,
                  LeastLoadedChoice& aChoice)
{
  if (aCandidates.size() < 2) {
    aChoice.Add(aCandidates.empty() ? nullptr : aCandidates.front());
    return;
  }
  const std::size_t first = aRandom.Below(aCandidates.size());
  const std::size_t other = aRandom.Below(aCandidates.size() - 1);
  aChoice.Add(aCandidates[first]);
  aChoice.Add(aCandidates[other < first ? other : other + 1]);
}

/// Chooses the least loaded of two random candidates of the pool and two of the own
/// availability zone.
class TwoChoices final : public SelectionStrategy
{
public:
  [[nodiscard]] CandidateState* Choose(const SelectionContext& aSelection,
                                       RoutingPool& aPool,
                                       Random& aRandom) const override
  {
    LeastLoadedChoice choice(aSelection);
    DrawFrom(aSelection, aPool.Candidates(), aRandom, choice);
    if (choice.PrefersOwnZone()) {
      DrawFrom(aSelection, aPool.InOwnZone(), aRandom, choice);
    }
    return choice.Best();
  }

private:
  static void DrawFrom(const SelectionContext& aSelection,
                       const std::vector<CandidateState*>& aGroup,
                       Random& aRandom,
                       LeastLoadedChoice& aChoice)
  {
    const CandidateState* first = nullptr;
    for (int draw = 0; draw < kMaxDraws && !aGroup.empty(); ++draw) {
      auto* candidate = aGroup[aRandom.Below(aGroup.size())];
      if (candidate == first || !aSelection.Admits(*candidate)) {
        continue;
      }
      aChoice.Add(candidate);
      if (first != nullptr) {
        return;
      }
      first = candidate;
    }
    DrawFromAdmitted(aSelection, aGroup, aRandom, aChoice);
  }

  /// Examines all candidates; used when few of them are admitted.
  static void DrawFromAdmitted(const SelectionContext& aSelection,
                               const std::vector<CandidateState*>& aGroup,
                               Random& aRandom,
                               LeastLoadedChoice& aChoice)
  {
    std::vector<CandidateState*> admitted;
    std::ranges::copy_if(
      aGroup, std::back_inserter(admitted), [&aSelection](const auto* aCandidate) {
        return aSelection.Admits(*aCandidate);
      });
    AddTwoRandom(admitted, aRandom, aChoice);
  }
};

/// Chooses among the candidates with the fewest own requests, whose number is known
/// exactly. Load reports are delayed and only decide between candidates that are equal in
/// this respect.
class LeastTwoChoices final : public SelectionStrategy
{
public:
  [[nodiscard]] CandidateState* Choose(const SelectionContext& aSelection,
                                       RoutingPool& aPool,
                                       Random& aRandom) const override
  {
    LeastLoadedChoice choice(aSelection);
    std::vector<CandidateState*> fewestCandidates;
    fewestCandidates.reserve(aPool.Candidates().size());
    std::pair fewest(std::numeric_limits<double>::infinity(), 0.0);
    for (auto* candidate : aPool.Candidates()) {
      const auto own = OwnLoad(*candidate, aSelection.query.workClass);
      if (own > fewest || !aSelection.Admits(*candidate)) {
        continue;
      }
      if (own < fewest) {
        fewest = own;
        fewestCandidates.clear();
      }
      fewestCandidates.push_back(candidate);
    }
    AddTwoRandom(fewestCandidates, aRandom, choice);
    if (choice.PrefersOwnZone()) {
      std::erase_if(fewestCandidates,
                    [](const auto* aCandidate) { return !aCandidate->inOwnZone; });
      AddTwoRandom(fewestCandidates, aRandom, choice);
    }
    return choice.Best();
  }

private:
  /// Sort key: own requests relative to capacity. For long work, own long requests are
  /// compared first, so that long work does not take all slots of some candidates.
  static std::pair<double, double> OwnLoad(const CandidateState& aCandidate,
                                           WorkClass aClass)
  {
    const double ownLong = aClass == WorkClass::Long ? aCandidate.ownLong : 0.0;
    return { ownLong / aCandidate.capacity,
             aCandidate.ownRequests.Outstanding() / aCandidate.capacity };
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
      return std::make_unique<TwoChoices>();
    case RoutingStrategy::LeastTwoChoices:
      break;
  }
  return std::make_unique<LeastTwoChoices>();
}

} // namespace toucanstand
