#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "identifiers/Identifiers.h"

namespace toucanstand {

/// Which candidates of a large pool a node uses.
///
/// Rendezvous hashing gives every node the same answer from the same lists and changes
/// few subsets when a list changes. With the list of nodes, no candidate is given to more
/// nodes than 1.25 times an even split.
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
