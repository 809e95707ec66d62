#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "identifiers/Identifiers.h"

namespace toucanstand {

/// Assigns each node the subset of a large pool's candidates that it uses.
///
/// Rendezvous hashing gives every node the same result for the same lists and changes few
/// subsets when a list changes. If the list of nodes is known, each candidate is assigned
/// to at most 1.25 times as many nodes as an even distribution gives.
class SubsetAssignment
{
public:
  /// @param aSize candidates per node; 0 assigns all of them.
  explicit SubsetAssignment(std::size_t aSize);

  /// Ids assigned to aNode, in ascending order. @param aNodes all live nodes in any
  /// order; when aNode is not among them the subset is not balanced against other nodes.
  [[nodiscard]] std::vector<std::string> Assign(
    const VmId& aNode,
    const std::vector<VmId>& aNodes,
    const std::vector<std::string>& aCandidates) const;

private:
  std::size_t size;
};

} // namespace toucanstand
