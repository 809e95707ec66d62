#pragma once

#include <string>

#include "CallEnd.h"
#include "CallRequest.h"
#include "http/HttpExchange.h"

namespace toucanstand {

/// The answer to a chat as its caller gets it: token by token, or in one piece.
class CallerAnswer
{
public:
  CallerAnswer(HttpExchange& aExchange, const CallRequest& aCall);

  /// Passes a token on, or keeps it for the whole answer. @returns false when the caller
  /// was gone.
  Task<bool> AddToken(std::string aToken, std::uint64_t aIndex);

  /// Ends the answer as complete. @returns false when the caller was gone.
  Task<bool> Finish();

  /// Tells the caller how the call failed; a stream that has begun gets an error event
  /// and is broken off without its end mark.
  Task<> Fail(CallEnd aEnd);

  /// True when a part of the answer has left.
  [[nodiscard]] bool HasStarted() const { return this->started; }

private:
  Task<bool> EnsureStarted();
  [[nodiscard]] HttpHeaders StreamHeaders() const;
  [[nodiscard]] std::string ChunkText(const std::string& aToken,
                                      std::uint64_t aIndex) const;
  [[nodiscard]] HttpResponse WholeAnswer() const;

  HttpExchange& exchange;
  const CallRequest& call;
  bool started = false;
  std::uint64_t tokens = 0;
  std::string text;
};

} // namespace toucanstand
