#include "answers/StreamAssembler.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace toucanstand {

StreamAssembler::StreamAssembler(std::uint64_t aTokenLimit)
  : tokenLimit(aTokenLimit)
{
}

void StreamAssembler::OnAttemptStarted(std::uint32_t aAttempt)
{
  if (aAttempt <= this->currentAttempt) {
    return;
  }
  this->currentAttempt = aAttempt;
  this->attemptNextIndex = 0;
  this->attemptFaulty = false;
}

TokenDecision StreamAssembler::OnToken(std::uint32_t aAttempt, std::uint64_t aIndex)
{
  if (aAttempt != this->currentAttempt || this->attemptFaulty) {
    ++this->droppedEvents;
    return TokenDecision::StaleAttempt;
  }
  if (this->complete) {
    ++this->droppedEvents;
    return TokenDecision::AfterFinish;
  }
  if (aIndex < this->nextIndex) {
    // An engine that ignores the resume offset starts over at token 0.
    this->attemptNextIndex = std::max(this->attemptNextIndex, aIndex + 1);
    ++this->droppedEvents;
    return TokenDecision::Duplicate;
  }
  if (aIndex > this->nextIndex || aIndex >= this->tokenLimit) {
    this->attemptFaulty = true;
    return aIndex > this->nextIndex ? TokenDecision::Gap : TokenDecision::TooLong;
  }
  this->nextIndex = aIndex + 1;
  this->attemptNextIndex = this->nextIndex;
  return TokenDecision::Emit;
}

FinishDecision StreamAssembler::OnFinish(std::uint32_t aAttempt)
{
  if (aAttempt != this->currentAttempt || this->attemptFaulty || this->complete) {
    return FinishDecision::StaleAttempt;
  }
  // An attempt without tokens was resumed at the end of the answer, because only the
  // finish marker had been lost.
  const bool caughtUp =
    this->attemptNextIndex == 0 || this->attemptNextIndex == this->nextIndex;
  this->attemptFaulty = !caughtUp;
  this->complete = caughtUp;
  return caughtUp ? FinishDecision::Complete : FinishDecision::Inconsistent;
}

nlohmann::json StreamAssembler::Describe() const
{
  return { { "attempt", this->currentAttempt },
           { "next", this->nextIndex },
           { "dropped", this->droppedEvents },
           { "complete", this->complete } };
}

} // namespace toucanstand
