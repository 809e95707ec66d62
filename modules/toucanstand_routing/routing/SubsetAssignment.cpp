#include "routing/SubsetAssignment.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <numeric>

#include "hashing/Fingerprint.h"

namespace toucanstand {

namespace {

/// Maximum number of nodes per candidate, as a multiple of an even distribution. With
/// exactly the even number, losing one of 300 candidates moved 24% of all assignments.
constexpr double kMaxImbalance = 1.25;

/// Assigns candidates to nodes, tracking how many more nodes each candidate can be
/// assigned to.
class BalancedAllocator
{
public:
  BalancedAllocator(const std::vector<std::string>& aCandidates,
                    std::size_t aNodesPerCandidate)
    : remainingNodes(aCandidates.size(), aNodesPerCandidate)
    , order(aCandidates.size())
    , weights(aCandidates.size())
  {
    this->hashes.reserve(aCandidates.size());
    for (const auto& candidate : aCandidates) {
      this->hashes.push_back(Hash64(candidate));
    }
  }

  /// Assigns the candidates that rank highest for a node to it. Candidates that have
  /// reached their maximum of nodes rank last, so that the subset always has its full
  /// size.
  std::vector<std::size_t> AssignTo(const VmId& aNode, std::size_t aSize)
  {
    const std::uint64_t seed = Hash64(aNode.Value());
    for (std::size_t index = 0; index < this->hashes.size(); ++index) {
      this->weights[index] = Mix(this->hashes[index] ^ seed);
    }
    std::iota(this->order.begin(), this->order.end(), std::size_t{ 0 });
    std::ranges::nth_element(this->order,
                             this->order.begin() + static_cast<std::ptrdiff_t>(aSize - 1),
                             [this](std::size_t aLeft, std::size_t aRight) {
                               return this->RanksBefore(aLeft, aRight);
                             });
    std::vector<std::size_t> assigned(
      this->order.begin(), this->order.begin() + static_cast<std::ptrdiff_t>(aSize));
    for (const std::size_t index : assigned) {
      this->remainingNodes[index] -= this->remainingNodes[index] > 0 ? 1 : 0;
    }
    return assigned;
  }

private:
  /// Finalizer of splitmix64; mixes all bits of the exclusive-or of two hashes.
  static std::uint64_t Mix(std::uint64_t aValue)
  {
    aValue = (aValue ^ (aValue >> 30U)) * 0xbf58476d1ce4e5b9U;
    aValue = (aValue ^ (aValue >> 27U)) * 0x94d049bb133111ebU;
    return aValue ^ (aValue >> 31U);
  }

  [[nodiscard]] bool RanksBefore(std::size_t aLeft, std::size_t aRight) const
  {
    const bool leftFree = this->remainingNodes[aLeft] > 0;
    if (leftFree != (this->remainingNodes[aRight] > 0)) {
      return leftFree;
    }
    return this->weights[aLeft] > this->weights[aRight];
  }

  std::vector<std::size_t> remainingNodes;
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
  const auto nodesPerCandidate =
    static_cast<std::size_t>(std::ceil(even * kMaxImbalance));
  BalancedAllocator allocator(candidates, nodesPerCandidate);
  std::vector<std::size_t> assigned;
  for (const auto& node : nodes) {
    assigned = allocator.AssignTo(node, this->size);
    if (node == aNode) {
      break;
    }
  }
  std::vector<std::string> subset;
  subset.reserve(assigned.size());
  for (const std::size_t index : assigned) {
    subset.push_back(candidates[index]);
  }
  std::ranges::sort(subset);
  return subset;
}

} // namespace toucanstand
