#include "crashes/CrashProbeSeries.h"

#include <algorithm>
#include <array>

namespace toucanstand {

const char* Name(CrashConclusion aConclusion)
{
  // In the order of the enumeration.
  constexpr std::array kNames = { "open",      "refused",  "other_server",
                                  "other_run", "answered", "unknown" };
  return kNames.at(static_cast<std::size_t>(aConclusion));
}

bool IsCrash(CrashConclusion aConclusion)
{
  return aConclusion == CrashConclusion::Refused ||
         aConclusion == CrashConclusion::OtherServer ||
         aConclusion == CrashConclusion::OtherRun;
}

CrashProbeSeries::CrashProbeSeries(TimePoint aBrokenAt, std::int64_t aStartedAtUnixMs)
  : brokenAt(aBrokenAt)
  , nextProbeAt(aBrokenAt)
  , startedAtUnixMs(aStartedAtUnixMs)
{
}

CrashConclusion CrashProbeSeries::OnProbed(const Observation& aObservation,
                                           TimePoint aNow)
{
  ++this->probeCount;
  const bool isOtherRun = this->startedAtUnixMs != 0 &&
                          aObservation.startedAtUnixMs != 0 &&
                          aObservation.startedAtUnixMs != this->startedAtUnixMs;
  if (isOtherRun) {
    return CrashConclusion::OtherRun;
  }
  switch (aObservation.outcome) {
    case ProbeOutcome::Answered:
    case ProbeOutcome::OtherAnswer:
      return CrashConclusion::Answered;
    case ProbeOutcome::OtherServer:
      return CrashConclusion::OtherServer;
    case ProbeOutcome::Refused:
      if (aObservation.reachesOthers) {
        return CrashConclusion::Refused;
      }
      break;
    case ProbeOutcome::Broken:
      // A server that limits its connections ends some of them as well.
    case ProbeOutcome::Silent:
      break;
  }
  this->nextProbeAt = std::max(this->nextProbeAt + kProbeInterval, aNow);
  const bool isLast =
    this->probeCount >= kMaxProbes || this->nextProbeAt - this->brokenAt > kMaxTime;
  return isLast ? CrashConclusion::Unknown : CrashConclusion::Open;
}

} // namespace toucanstand
