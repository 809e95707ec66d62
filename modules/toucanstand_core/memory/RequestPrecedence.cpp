#include "memory/RequestPrecedence.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <tuple>

namespace toucanstand {

namespace {

/// Part of the budget that is kept for ordinary requests.
constexpr std::size_t kReserveDivisor = 4;

} // namespace

std::optional<std::size_t> RequestPrecedence::Choose(
  std::span<const MemoryHolder> aOthers,
  const MemoryHolder& aAsking)
{
  std::map<std::string_view, std::size_t> bytesOfOwner;
  bytesOfOwner[aAsking.owner] = aAsking.bytes;
  for (const auto& holder : aOthers) {
    bytesOfOwner[holder.owner] += holder.bytes;
  }
  const auto rank = [&](const MemoryHolder& aHolder) {
    const bool isStopped = aAsking.progressedAt - aHolder.progressedAt >= kStopped;
    return std::tuple(isStopped,
                      aHolder.bytes > kOrdinaryBytes,
                      bytesOfOwner.at(aHolder.owner),
                      aHolder.number);
  };
  const auto first = std::ranges::max_element(aOthers, {}, rank);
  if (first == aOthers.end() || rank(*first) < rank(aAsking)) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(std::distance(aOthers.begin(), first));
}

MemoryBudget::Rules RequestPrecedence::RulesFor(std::size_t aLimit)
{
  MemoryBudget::Rules rules;
  rules.limit = aLimit;
  rules.freeBytes = 0;
  rules.smallBytes = kOrdinaryBytes;
  rules.reserve = aLimit / kReserveDivisor;
  rules.precedence = Choose;
  return rules;
}

} // namespace toucanstand
