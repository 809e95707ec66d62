#pragma once

#include <vector>

#include "crashes/PromptPartQuarantine.h"
#include "limits/ServerRateLimits.h"
#include "peers/PeerReport.h"

namespace toucanstand {

/// The evidence on crashing prompt parts that a report carries.
[[nodiscard]] PromptPartEvidence ToPromptPartEvidence(const PeerReport& aReport);

/// Replaces the report's crashes and survivals.
void SetCrashEvidence(PeerReport& aReport, const PromptPartEvidence& aEvidence);

/// The rate limits of servers that a report carries.
[[nodiscard]] std::vector<ReportedRateLimit> ToRateLimits(const PeerReport& aReport);

/// Replaces the report's rate limits.
void SetRateLimits(PeerReport& aReport, const std::vector<ReportedRateLimit>& aLimits);

} // namespace toucanstand
