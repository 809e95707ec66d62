#include "routing/SelectionContext.h"

#include <algorithm>

namespace toucanstand {

bool SelectionContext::Admits(const CandidateState& aCandidate) const
{
  const bool fit =
    this->lastResort ? aCandidate.IsUsable(this->now) : aCandidate.IsPreferred(this->now);
  return fit && std::ranges::find(this->query.excluded, aCandidate.candidate.id) ==
                  this->query.excluded.end();
}

} // namespace toucanstand
