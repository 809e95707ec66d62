#include "support/AnswerLog.h"

namespace toucanstand {

void AnswerLog::Add(const std::string& aAttemptId, ReceivedAnswer aAnswer)
{
  const std::lock_guard lock(this->mutex);
  this->answers.emplace_back(aAttemptId, std::move(aAnswer));
}

} // namespace toucanstand
