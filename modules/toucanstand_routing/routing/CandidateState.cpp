#include "routing/CandidateState.h"

#include <algorithm>
#include <utility>

#include "hashing/Fingerprint.h"

namespace toucanstand {

namespace {

/// Maximum number of cached prefixes kept from one report.
constexpr std::size_t kMaximumPrefixes = 4096;

/// Maximum number of doublings of the pause after consecutive rejections.
constexpr std::size_t kMaxPauseDoublings = 3;

} // namespace

const char* Name(HealthPhase aPhase)
{
  switch (aPhase) {
    case HealthPhase::Active:
      return "active";
    case HealthPhase::Ejected:
      return "ejected";
    case HealthPhase::Probation:
      return "probation";
  }
  return "unknown";
}

HealthPhase Health::Phase(TimePoint aNow) const
{
  if (!this->ejected) {
    return HealthPhase::Active;
  }
  return aNow < this->ejectedUntil ? HealthPhase::Ejected : HealthPhase::Probation;
}

CandidateState::CandidateState(Candidate aCandidate, bool aInOwnZone)
  : candidate(std::move(aCandidate))
  , inOwnZone(aInOwnZone)
  , hash(Hash64(candidate.id))
{
}

ReportStatus CandidateState::UpdateFromView(const Candidate& aCandidate,
                                            Duration aMaxReportAge,
                                            TimePoint aNow)
{
  const auto status = this->load.Accept(
    aCandidate.load, aCandidate.generation, this->ownRequests, aMaxReportAge, aNow);
  this->candidate = aCandidate;
  if (status == ReportStatus::Accepted) {
    this->prefixes = std::move(this->candidate.load.cachedPrefixes);
    this->prefixes.resize(std::min(this->prefixes.size(), kMaximumPrefixes));
    std::ranges::sort(this->prefixes);
  }
  this->candidate.load.cachedPrefixes.clear();
  if (this->refusal) {
    // A report received after the refusal shows that the server is reachable again. An
    // extended validity alone may be based on an observation made before the refusal.
    const bool observedSince = aCandidate.load.receivedAt > this->refusal->at ||
                               aCandidate.load.receivedAt == TimePoint{};
    const bool extended = aCandidate.usableUntil > this->refusal->usableUntil;
    if (aCandidate.generation != this->refusal->generation ||
        (extended && observedSince)) {
      this->refusal.reset();
    }
  }
  return status;
}

void CandidateState::OnConnectionRefused(TimePoint aNow)
{
  this->refusal =
    ConnectionRefusal{ aNow, this->candidate.usableUntil, this->candidate.generation };
}

void CandidateState::OnRejected(Duration aPause, TimePoint aNow)
{
  this->pausedUntil =
    aNow + aPause * (1U << std::min(this->rejectionsInARow, kMaxPauseDoublings));
  ++this->rejectionsInARow;
}

bool CandidateState::IsUsable(TimePoint aNow) const
{
  return this->listed && this->candidate.usableUntil > aNow && !this->refusal;
}

bool CandidateState::IsPreferred(TimePoint aNow) const
{
  if (!this->IsUsable(aNow) || aNow < this->pausedUntil) {
    return false;
  }
  const auto phase = this->health.Phase(aNow);
  return phase == HealthPhase::Active ||
         (phase == HealthPhase::Probation && this->ownRequests.Outstanding() == 0);
}

bool CandidateState::HasPrefix(std::uint64_t aPrefix) const
{
  return std::ranges::binary_search(this->prefixes, aPrefix);
}

} // namespace toucanstand
