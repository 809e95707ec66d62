#pragma once

#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "support/CallerConnection.h"

namespace toucanstand {

/// Answers by attempt id, from callers in several threads.
class AnswerLog
{
public:
  void Add(const std::string& aAttemptId, ReceivedAnswer aAnswer);

  /// To be used when all callers have ended.
  [[nodiscard]] const std::vector<std::pair<std::string, ReceivedAnswer>>& Answers() const
  {
    return this->answers;
  }

private:
  std::mutex mutex;
  std::vector<std::pair<std::string, ReceivedAnswer>> answers;
};

} // namespace toucanstand
