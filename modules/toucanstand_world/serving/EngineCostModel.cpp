#include "serving/EngineCostModel.h"

#include <algorithm>

namespace toucanstand {

const ModelTerms* EngineCostModel::FindModel(const std::string& aName) const
{
  const auto found = std::ranges::find(this->models, aName, &ModelTerms::name);
  return found == this->models.end() ? nullptr : &*found;
}

Duration EngineCostModel::StepTime(double aWriters) const
{
  const double contextThousands =
    (this->usualPromptTokens + this->usualAnswerTokens / 2) / 1000.0;
  const double perWriter = ToSeconds(this->stepTimePerWriter) +
                           ToSeconds(this->stepTimePerThousandContext) * contextThousands;
  return this->stepTime + FromSeconds(aWriters * perWriter);
}

Duration EngineCostModel::WorkOf(double aPromptTokens, double aAnswerTokens) const
{
  const double slotCount = static_cast<double>(std::max<std::size_t>(this->slots, 1));
  const double writing = aAnswerTokens * ToSeconds(this->StepTime(slotCount)) / slotCount;
  return FromSeconds(writing + aPromptTokens / this->promptTokensPerSecond);
}

} // namespace toucanstand
