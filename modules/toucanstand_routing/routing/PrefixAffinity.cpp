#include "routing/PrefixAffinity.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace toucanstand {

namespace {

/// Candidates per prefix: the first two take it in turn when the first is loaded, the
/// others only matter when the prefix is cached there.
constexpr std::size_t kHomes = 4;
constexpr std::size_t kHomesWithoutCache = 2;

/// Load of one candidate that counts towards the mean, as a multiple of its capacity, so
/// that one absurd report does not raise the bound for all.
constexpr double kGreatestCountedLoad = 8.0;

struct Home
{
  CandidateState* candidate = nullptr;
  std::uint64_t weight = 0;
  double requests = 0;
};

std::uint64_t Weight(std::uint64_t aPrefix, std::uint64_t aCandidate)
{
  std::uint64_t value = aPrefix ^ aCandidate;
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
  return value ^ (value >> 31U);
}

/// The candidates with the highest weights, in descending order.
struct Ranking
{
  std::array<Home, kHomes> homes;
  /// Requests and capacity of all candidates together.
  double requests = 0;
  double capacity = 0;

  void Add(const Home& aHome)
  {
    Home home = aHome;
    for (auto& place : this->homes) {
      if (place.candidate == nullptr || home.weight > place.weight) {
        std::swap(place, home);
      }
      if (home.candidate == nullptr) {
        return;
      }
    }
  }
};

Ranking Rank(const Selection& aSelection, std::uint64_t aPrefix)
{
  Ranking ranking;
  for (auto* candidate : aSelection.pool.Candidates()) {
    if (!aSelection.Admits(*candidate)) {
      continue;
    }
    const double requests = aSelection.pool.Requests(*candidate, aSelection.now);
    ranking.requests += std::min(requests, kGreatestCountedLoad * candidate->capacity);
    ranking.capacity += candidate->capacity;
    ranking.Add({ candidate, Weight(aPrefix, candidate->hash), requests });
  }
  return ranking;
}

} // namespace

CandidateState* PrefixAffinity::Choose(const Selection& aSelection, std::uint64_t aPrefix)
{
  Ranking ranking = Rank(aSelection, aPrefix);
  const auto cached = [aPrefix](const Home& aHome) {
    return aHome.candidate != nullptr && aHome.candidate->HasPrefix(aPrefix);
  };
  const auto rest =
    std::stable_partition(ranking.homes.begin(), ranking.homes.end(), cached);
  const auto usable = std::max(
    rest, ranking.homes.begin() + static_cast<std::ptrdiff_t>(kHomesWithoutCache));
  const double mean = (ranking.requests + 1) / std::max(ranking.capacity, 1e-9);
  const auto bounded = [mean, &aSelection](const Home& aHome) {
    // Rounded up, as a candidate must be able to take one request however small the mean.
    return aHome.candidate != nullptr &&
           aHome.requests + 1 <= std::ceil(aSelection.settings.prefixBound * mean *
                                           aHome.candidate->capacity);
  };
  const auto found = std::find_if(ranking.homes.begin(), usable, bounded);
  return found == usable ? nullptr : found->candidate;
}

} // namespace toucanstand
