#include "routing/SubsetAssignment.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <numeric>

#include "hashing/Fingerprint.h"

namespace toucanstand {

namespace {

/// Nodes that a candidate may serve, as a multiple of an even split. Without room above
/// the even split, one lost candidate out of 300 moved 24% of all assignments.
constexpr double kUnevenness = 1.25;

/// Candidates with the number of nodes that each may still serve.
class Allotment
{
public:
  Allotment(const std::vector<std::string>& aCandidates, std::size_t aPlaces)
    : places(aCandidates.size(), aPlaces)
    , order(aCandidates.size())
    , weights(aCandidates.size())
  {
    this->hashes.reserve(aCandidates.size());
    for (const auto& candidate : aCandidates) {
      this->hashes.push_back(Hash64(candidate));
    }
  }

  /// Takes one place of each of the candidates that rank highest for a node. Candidates
  /// without a free place rank last, so that the subset always has its full size.
  std::vector<std::size_t> Take(const VmId& aNode, std::size_t aSize)
  {
    const std::uint64_t seed = Hash64(aNode.Value());
    for (std::size_t index = 0; index < this->hashes.size(); ++index) {
      this->weights[index] = Mix(this->hashes[index] ^ seed);
    }
    std::iota(this->order.begin(), this->order.end(), std::size_t{ 0 });
    std::ranges::nth_element(this->order,
                             this->order.begin() + static_cast<std::ptrdiff_t>(aSize - 1),
                             [this](std::size_t aLeft, std::size_t aRight) {
                               return this->Before(aLeft, aRight);
                             });
    std::vector<std::size_t> taken(
      this->order.begin(), this->order.begin() + static_cast<std::ptrdiff_t>(aSize));
    for (const std::size_t index : taken) {
      this->places[index] -= this->places[index] > 0 ? 1 : 0;
    }
    return taken;
  }

private:
  /// Finalizer of splitmix64: spreads the exclusive-or of two hashes over all bits.
  static std::uint64_t Mix(std::uint64_t aValue)
  {
    aValue = (aValue ^ (aValue >> 30U)) * 0xbf58476d1ce4e5b9U;
    aValue = (aValue ^ (aValue >> 27U)) * 0x94d049bb133111ebU;
    return aValue ^ (aValue >> 31U);
  }

  [[nodiscard]] bool Before(std::size_t aLeft, std::size_t aRight) const
  {
    const bool leftFree = this->places[aLeft] > 0;
    if (leftFree != (this->places[aRight] > 0)) {
      return leftFree;
    }
    return this->weights[aLeft] > this->weights[aRight];
  }

  std::vector<std::size_t> places;
  std::vector<std::size_t> order;
  std::vector<std::uint64_t> weights;
  std::vector<std::uint64_t> hashes;
};

} // namespace

SubsetAssignment::SubsetAssignment(std::size_t aSize)
  : size(aSize)
{
}

std::vector<std::string> SubsetAssignment::Assign(
  const VmId& aNode,
  const std::vector<VmId>& aNodes,
  const std::vector<std::string>& aCandidates) const
{
  std::vector<std::string> candidates = aCandidates;
  std::ranges::sort(candidates);
  if (this->size == 0 || this->size >= candidates.size()) {
    return candidates;
  }
  std::vector<VmId> nodes = aNodes;
  std::ranges::sort(nodes);
  if (!std::ranges::binary_search(nodes, aNode)) {
    nodes = { aNode };
  }
  const double even = static_cast<double>(nodes.size() * this->size) /
                      static_cast<double>(candidates.size());
  const auto places = static_cast<std::size_t>(std::ceil(even * kUnevenness));
  Allotment allotment(candidates, places);
  std::vector<std::size_t> taken;
  for (const auto& node : nodes) {
    taken = allotment.Take(node, this->size);
    if (node == aNode) {
      break;
    }
  }
  std::vector<std::string> subset;
  subset.reserve(taken.size());
  for (const std::size_t index : taken) {
    subset.push_back(candidates[index]);
  }
  std::ranges::sort(subset);
  return subset;
}

} // namespace toucanstand
