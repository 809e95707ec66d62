#include "placement/GroupPrediction.h"

#include <algorithm>
#include <cmath>

namespace toucanstand {

namespace {

/// Share of the current pass that a new request waits for: requests arrive in the middle
/// of a pass on average.
constexpr double kMeanRemainingPassShare = 0.5;

} // namespace

Duration PredictFirstEvent(const EngineCostModel& aCost,
                           const GroupBacklog& aBacklog,
                           double aPromptTokens,
                           double aPaceFactor)
{
  const auto slots = static_cast<double>(aCost.slots);
  const double decodingRequests = std::min(aBacklog.decodeRequests, slots);
  const Duration step = aCost.StepTime(decodingRequests);
  const Duration pass = step * static_cast<int>(aCost.stepsPerPass);

  // Prompts are prefilled in order of arrival, at most one chunk per step.
  const double tokens = aBacklog.prefillTokens + aPromptTokens;
  const double steps = std::ceil(tokens / static_cast<double>(aCost.promptChunk));
  Duration time =
    FromSeconds(tokens / aCost.promptTokensPerSecond + steps * ToSeconds(step));
  time += pass;
  if (decodingRequests > 0) {
    time += FromSeconds(kMeanRemainingPassShare * ToSeconds(pass));
  }
  // When all slots are taken, a queued request starts only when a running one ends.
  const double excess = aBacklog.decodeRequests + aBacklog.prefillRequests + 1 - slots;
  if (excess > 0) {
    const Duration requestDuration =
      aCost.WorkOf(aCost.usualPromptTokens, aCost.usualAnswerTokens);
    time += FromSeconds(excess * ToSeconds(requestDuration));
  }
  return FromSeconds(ToSeconds(time) * aPaceFactor);
}

} // namespace toucanstand
