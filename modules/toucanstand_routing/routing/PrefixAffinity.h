#pragma once

#include "routing/SelectionContext.h"

namespace toucanstand {

/// Sends requests with the same prompt prefix to the same candidate, as long as its load
/// is bounded: rendezvous hashing with bounded loads.
///
/// All nodes rank candidates equally, so that they agree without exchanging messages.
/// Among the highest-ranked ones, one that reports the prefix as cached goes first.
class PrefixAffinity
{
public:
  /// @return null when the load of every candidate that ranks high is above the bound.
  [[nodiscard]] static CandidateState* Choose(const SelectionContext& aSelection,
                                              std::uint64_t aPrefix);
};

} // namespace toucanstand
