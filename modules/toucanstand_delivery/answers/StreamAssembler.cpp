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
  if (aAttempt <= this->attempt) {
    return;
  }
  this->attempt = aAttempt;
  this->attemptNext = 0;
  this->attemptFaulty = false;
}

TokenVerdict StreamAssembler::OnToken(std::uint32_t aAttempt, std::uint64_t aIndex)
{
  if (aAttempt != this->attempt || this->attemptFaulty) {
    ++this->dropped;
    return TokenVerdict::OldAttempt;
  }
  if (this->complete) {
    ++this->dropped;
    return TokenVerdict::AfterFinish;
  }
  if (aIndex < this->next) {
    // An engine that ignores the resume offset starts again at token 0.
    this->attemptNext = std::max(this->attemptNext, aIndex + 1);
    ++this->dropped;
    return TokenVerdict::Duplicate;
  }
  if (aIndex > this->next || aIndex >= this->tokenLimit) {
    this->attemptFaulty = true;
    return aIndex > this->next ? TokenVerdict::Gap : TokenVerdict::TooLong;
  }
  this->next = aIndex + 1;
  this->attemptNext = this->next;
  return TokenVerdict::Emit;
}

FinishVerdict StreamAssembler::OnFinish(std::uint32_t aAttempt)
{
  if (aAttempt != this->attempt || this->attemptFaulty || this->complete) {
    return FinishVerdict::OldAttempt;
  }
  // An attempt without tokens resumed exactly at the end: only the marker had been lost.
  const bool caughtUp = this->attemptNext == 0 || this->attemptNext == this->next;
  this->attemptFaulty = !caughtUp;
  this->complete = caughtUp;
  return caughtUp ? FinishVerdict::Complete : FinishVerdict::Inconsistent;
}

nlohmann::json StreamAssembler::Describe() const
{
  return { { "attempt", this->attempt },
           { "next", this->next },
           { "dropped", this->dropped },
           { "complete", this->complete } };
}

} // namespace toucanstand
