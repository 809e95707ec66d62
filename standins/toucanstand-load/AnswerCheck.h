#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "LoadPlan.h"

namespace toucanstand {

/// One request as it is sent.
struct LoadRequest
{
  /// Index into LoadPlan::requests.
  std::size_t profile = 0;
  std::string account;
  std::string method;
  std::string path;
  std::string body;
  /// Empty for requests that may be repeated.
  std::string idempotencyKey;
  /// Prompt of a chat request.
  std::string prompt;
};

/// Draws request number aNumber of a plan. @param aNumber makes keys and prompts unique
[[nodiscard]] LoadRequest DrawRequest(const LoadPlan& aPlan,
                                      std::uint64_t aNumber,
                                      Random& aRandom);

/// What became of a request, as its caller sees it.
enum class AnswerVerdict
{
  /// Complete and the answer to this request.
  Answered,
  /// Rejected at once (429 or 503) and not run.
  Refused,
  /// Not run, for another reason.
  NotRun,
  /// An error, a broken connection or a timeout; the request may have run.
  Unknown,
  /// Presented as a complete answer to this request, and it is not.
  Wrong,
};

/// Status line and headers of a reply, as far as they matter here.
struct ReplyHead
{
  unsigned status = 0;
  /// Header Toucanstand-Outcome; empty when it is missing.
  std::string outcome;
  /// Header Not-Run is `true`.
  bool notRun = false;
  bool eventStream = false;
};

/// Checks the reply to one request while it arrives. Does no I/O.
class AnswerCheck
{
public:
  /// @param aRequest must outlive the check.
  AnswerCheck(const LoadRequest& aRequest,
              const RequestProfile& aProfile,
              bool aRequireOutcome);

  void Head(ReplyHead aHead);

  /// Takes the next part of the body. @returns the number of tokens that it completed.
  std::uint64_t Body(std::string_view aBytes);

  /// @param aComplete the reply ended as its framing says
  [[nodiscard]] AnswerVerdict Finish(bool aComplete);

  /// Why the verdict is not Answered.
  [[nodiscard]] const std::string& Reason() const { return this->reason; }

  /// The reply lacked the outcome header although it is required.
  [[nodiscard]] bool MissesOutcome() const;

private:
  void ReadLine(std::string_view aLine);
  void ReadToken(std::string_view aEvent);
  [[nodiscard]] AnswerVerdict Because(AnswerVerdict aVerdict, std::string aReason);
  [[nodiscard]] AnswerVerdict FinishError();
  [[nodiscard]] AnswerVerdict FinishStream();
  [[nodiscard]] AnswerVerdict FinishWhole();

  const LoadRequest& request;
  const RequestProfile& profile;
  bool requireOutcome;
  ReplyHead head;
  /// Of an event stream: the unfinished line; else the whole body.
  std::string buffer;
  std::uint64_t tokens = 0;
  bool done = false;
  bool errorEvent = false;
  bool wrongToken = false;
  std::string reason;
};

} // namespace toucanstand
