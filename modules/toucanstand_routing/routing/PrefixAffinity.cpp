#include "routing/PrefixAffinity.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace toucanstand {

namespace {

/// Highest-ranked candidates considered per prefix. The second is used when the first is
/// loaded above the bound; the others are used only if they have the prefix cached.
constexpr std::size_t kRankedCandidates = 4;
constexpr std::size_t kRankedWithoutCache = 2;

/// Maximum load of one candidate that counts towards the mean, as a multiple of its
/// capacity, so that one implausible report does not raise the bound for all.
constexpr double kMaxCountedLoad = 8.0;

struct RankedCandidate
{
  CandidateState* candidate = nullptr;
  std::uint64_t weight = 0;
  double requests = 0;
};

std::uint64_t RendezvousWeight(std::uint64_t aPrefix, std::uint64_t aCandidate)
{
  std::uint64_t value = aPrefix ^ aCandidate;
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
  return value ^ (value >> 31U);
}

/// The candidates with the highest weights, in descending order.
struct Ranking
{
  std::array<RankedCandidate, kRankedCandidates> ranked;
  /// Requests and capacity of all candidates together.
  double requests = 0;
  double capacity = 0;

  void Add(const RankedCandidate& aRanked)
  {
    RankedCandidate inserted = aRanked;
    for (auto& slot : this->ranked) {
      if (slot.candidate == nullptr || inserted.weight > slot.weight) {
        std::swap(slot, inserted);
      }
      if (inserted.candidate == nullptr) {
        return;
      }
    }
  }
};

Ranking Rank(const SelectionContext& aSelection, std::uint64_t aPrefix)
{
  Ranking ranking;
  for (auto* candidate : aSelection.pool.Candidates()) {
    if (!aSelection.Admits(*candidate)) {
      continue;
    }
    const double requests = aSelection.pool.EstimatedRequests(*candidate, aSelection.now);
    ranking.requests += std::min(requests, kMaxCountedLoad * candidate->capacity);
    ranking.capacity += candidate->capacity;
    ranking.Add({ candidate, RendezvousWeight(aPrefix, candidate->hash), requests });
  }
  return ranking;
}

} // namespace

CandidateState* PrefixAffinity::Choose(const SelectionContext& aSelection,
                                       std::uint64_t aPrefix)
{
  Ranking ranking = Rank(aSelection, aPrefix);
  const auto cached = [aPrefix](const RankedCandidate& aRanked) {
    return aRanked.candidate != nullptr && aRanked.candidate->HasPrefix(aPrefix);
  };
  const auto rest =
    std::stable_partition(ranking.ranked.begin(), ranking.ranked.end(), cached);
  const auto usable = std::max(
    rest, ranking.ranked.begin() + static_cast<std::ptrdiff_t>(kRankedWithoutCache));
  const double mean = (ranking.requests + 1) / std::max(ranking.capacity, 1e-9);
  const auto bounded = [mean, &aSelection](const RankedCandidate& aRanked) {
    // Rounded up so that a candidate can take one request however small the mean is.
    return aRanked.candidate != nullptr &&
           aRanked.requests + 1 <= std::ceil(aSelection.settings.prefixLoadBound * mean *
                                             aRanked.candidate->capacity);
  };
  const auto found = std::find_if(ranking.ranked.begin(), usable, bounded);
  return found == usable ? nullptr : found->candidate;
}

} // namespace toucanstand
