#include "placement/GroupPrediction.h"

#include <algorithm>
#include <cmath>

namespace toucanstand {

namespace {

/// A request arrives in the middle of a pass on average.
constexpr double kMeanRestOfPass = 0.5;

} // namespace

Duration PredictFirstEvent(const EngineCostModel& aCost,
                           const GroupWork& aWork,
                           double aPromptTokens,
                           double aPace)
{
  const auto slots = static_cast<double>(aCost.slots);
  const double writers = std::min(aWork.writing, slots);
  const Duration step = aCost.StepTime(writers);
  const Duration pass = step * static_cast<int>(aCost.stepsPerPass);

  // Prompts are read in the order in which they arrived, at most a chunk a step.
  const double tokens = aWork.readingTokens + aPromptTokens;
  const double steps = std::ceil(tokens / static_cast<double>(aCost.promptChunk));
  Duration time =
    FromSeconds(tokens / aCost.promptTokensPerSecond + steps * ToSeconds(step));
  time += pass;
  if (writers > 0) {
    time += FromSeconds(kMeanRestOfPass * ToSeconds(pass));
  }
  // Beyond the slots, one request starts for each that ends.
  const double excess = aWork.writing + aWork.reading + 1 - slots;
  if (excess > 0) {
    const Duration turnover =
      aCost.WorkOf(aCost.usualPromptTokens, aCost.usualAnswerTokens);
    time += FromSeconds(excess * ToSeconds(turnover));
  }
  return FromSeconds(ToSeconds(time) * aPace);
}

} // namespace toucanstand
