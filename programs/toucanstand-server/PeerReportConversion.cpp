#include "PeerReportConversion.h"

#include <algorithm>
#include <iterator>

namespace toucanstand {

namespace {

/// Upper bound of an age in a report; anything older has expired.
constexpr double kMaxReportedAgeSeconds = 3600;

Duration ToAge(double aSeconds)
{
  return FromSeconds(std::min(aSeconds, kMaxReportedAgeSeconds));
}

} // namespace

PromptPartEvidence ToPromptPartEvidence(const PeerReport& aReport)
{
  PromptPartEvidence evidence;
  for (const auto& crash : aReport.crashes) {
    evidence.crashes.push_back(
      { ServerId(crash.server), ToAge(crash.ageSeconds), crash.parts });
  }
  for (const auto& survival : aReport.survivals) {
    evidence.survivals.push_back({ survival.part, ToAge(survival.ageSeconds) });
  }
  evidence.quarantined = aReport.quarantinedParts;
  return evidence;
}

void SetCrashEvidence(PeerReport& aReport, const PromptPartEvidence& aEvidence)
{
  aReport.crashes.clear();
  for (const auto& crash : aEvidence.crashes) {
    aReport.crashes.push_back(
      { crash.server.Value(), ToSeconds(crash.age), crash.parts });
  }
  aReport.survivals.clear();
  for (const auto& survival : aEvidence.survivals) {
    aReport.survivals.push_back({ survival.part, ToSeconds(survival.age) });
  }
}

std::vector<ReportedRateLimit> ToRateLimits(const PeerReport& aReport)
{
  std::vector<ReportedRateLimit> limits;
  std::ranges::transform(
    aReport.rateLimits, std::back_inserter(limits), [](const auto& aLimit) {
      return ReportedRateLimit{ ServerId(aLimit.server),
                                aLimit.perSecond,
                                ToAge(aLimit.ageSeconds) };
    });
  return limits;
}

void SetRateLimits(PeerReport& aReport, const std::vector<ReportedRateLimit>& aLimits)
{
  aReport.rateLimits.clear();
  for (const auto& limit : aLimits) {
    aReport.rateLimits.push_back(
      { limit.server.Value(), limit.perSecond, ToSeconds(limit.age) });
  }
}

} // namespace toucanstand
