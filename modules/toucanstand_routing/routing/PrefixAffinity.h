#pragma once

#include "routing/SelectionContext.h"

namespace toucanstand {

/// Sends requests with the same prompt prefix to the same candidate while its load is
/// below a bound: rendezvous hashing with bounded loads.
///
/// All nodes compute the same ranking and therefore agree without exchanging messages.
/// Among the highest-ranked candidates, those that report the prefix as cached are
/// preferred.
class PrefixAffinity
{
public:
  /// @return null when every highly ranked candidate is loaded above the bound.
  [[nodiscard]] static CandidateState* Choose(const SelectionContext& aSelection,
                                              std::uint64_t aPrefix);
};

} // namespace toucanstand
