#include <catch2/catch.hpp>

#include <algorithm>
#include <iterator>
#include <map>

#include "routing/SubsetAssignment.h"

using namespace toucanstand;

namespace {

template<typename Id>
std::vector<Id> MakeIds(const std::string& aPrefix, int aCount)
{
  std::vector<Id> ids;
  ids.reserve(static_cast<std::size_t>(aCount));
  for (int number = 0; number < aCount; ++number) {
    ids.push_back(Id(aPrefix + std::to_string(number)));
  }
  return ids;
}

std::size_t CountMissing(const std::vector<std::string>& aFrom,
                         const std::vector<std::string>& aIn)
{
  std::vector<std::string> missing;
  std::ranges::set_difference(aFrom, aIn, std::back_inserter(missing));
  return missing.size();
}

} // namespace

TEST_CASE("Subsets use every candidate about equally", "[routing]")
{
  // Guards against candidates that no node uses, and against overloaded ones.
  const auto nodes = MakeIds<VmId>("vm-", 60);
  const auto candidates = MakeIds<std::string>("group-", 400);
  const SubsetAssignment assignment(40);
  std::map<std::string, int> uses;
  for (const auto& node : nodes) {
    const auto subset = assignment.Assign(node, nodes, candidates);
    CHECK(subset.size() == 40);
    for (const auto& id : subset) {
      ++uses[id];
    }
  }
  CHECK(uses.size() == candidates.size());
  for (const auto& [id, count] : uses) {
    INFO(id);
    CHECK(count <= 8);
  }
}

TEST_CASE("Losing one candidate changes few assignments", "[routing]")
{
  // Guards against the failure of one group moving the connections of all nodes.
  const auto nodes = MakeIds<VmId>("vm-", 30);
  auto candidates = MakeIds<std::string>("group-", 300);
  const SubsetAssignment assignment(30);
  std::vector<std::vector<std::string>> before;
  before.reserve(nodes.size());
  for (const auto& node : nodes) {
    before.push_back(assignment.Assign(node, nodes, candidates));
  }
  candidates.erase(candidates.begin() + 100);
  std::size_t changed = 0;
  for (std::size_t index = 0; index < nodes.size(); ++index) {
    changed +=
      CountMissing(before[index], assignment.Assign(nodes[index], nodes, candidates));
  }
  // Three of 900 assignments are lost with the candidate; the bound allows for those that
  // move because other candidates reach or leave their maximum of nodes.
  CHECK(changed < 45);
}
