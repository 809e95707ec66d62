#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "attempts/AttemptFailure.h"
#include "attempts/RetryBudget.h"
#include "contracts/Contract.h"
#include "identifiers/Identifiers.h"
#include "outcomes/CallOutcome.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Action after a failed attempt.
enum class RetryAction
{
  /// Send the whole request again.
  Retry,
  /// Send it with `Resume-Offset`: the caller already has the tokens before the offset.
  Resume,
  /// Answer the caller now, without another attempt.
  GiveUp,
};

/// Why no further attempt is made.
enum class GiveUpReason
{
  None,
  /// It may have been executed, and its contract forbids a second execution.
  MayHaveRun,
  DeadlinePassed,
  BudgetExhausted,
  TooManyAttempts,
  /// Part of an answer that can't be resumed has been sent to the caller.
  AnswerStarted,
  CallerLeft,
  /// A planned stop of this process leaves no time for another attempt.
  Stopping,
};

/// Name for metrics and error bodies.
[[nodiscard]] const char* Name(GiveUpReason aReason);

/// What to do after a failed attempt.
struct RetryDecision
{
  RetryAction kind = RetryAction::GiveUp;
  /// Valid only for GiveUp.
  CallOutcome outcome = CallOutcome::Unknown;
  /// None unless the request is given up.
  GiveUpReason reason = GiveUpReason::None;
  /// Index of the first token to request; 0 unless kind is Resume.
  std::uint64_t resumeOffset = 0;
};

/// Tracks the attempts of one request, decides on retries and derives the outcome of the
/// request from all of them.
class AttemptTracker
{
public:
  /// Limits how much of the retry budget one request can spend.
  static constexpr std::size_t kMaximumAttempts = 4;

  /// @param aBudget must outlive the tracker.
  /// @param aMaxServers maximum number of servers that may run the request. As long as
  /// none has, servers that rejected it count too: its caller can try again by itself.
  AttemptTracker(Repeatability aRepeatability,
                 AccountId aAccount,
                 PoolId aPool,
                 TimePoint aDeadline,
                 RetryBudget& aBudget,
                 std::size_t aMaxServers = kMaximumAttempts);

  /// Call before the connection is opened. Returns the attempt number, starting at 1.
  std::uint32_t OnAttemptStarted(const std::string& aCandidateId);

  /// Tokens [0, aOffset) have been forwarded to the caller or are buffered for it.
  void OnTokensReceived(std::uint64_t aOffset) { this->offset = aOffset; }

  /// Bytes of an answer without token offsets have been forwarded to the caller.
  void OnBodyForwarded() { this->bodyForwarded = true; }

  /// The answer was complete according to its framing and has been forwarded.
  void OnAnswered() { this->answered = true; }

  /// Ends the attempt in progress and decides whether the request is retried. The caller
  /// must send a retry to a candidate that is not in TriedCandidates().
  ///
  /// @param aCandidateId id of the replica group or server to which the attempt was sent
  [[nodiscard]] RetryDecision OnFailure(AttemptFailure aFailure,
                                        const std::string& aCandidateId,
                                        TimePoint aNow);

  /// Decides whether the request could be retried if the attempt in progress failed now,
  /// and takes what that costs from the budget: OnFailure() charges for it no more, and
  /// does not refuse it as one too many.
  /// @returns why it could not; None if it could
  [[nodiscard]] GiveUpReason ReserveRetry(AttemptFailure aFailure, TimePoint aNow);

  /// Records an attempt that a reservation paid for and that ended while the attempt in
  /// progress goes on.
  void OnParallelAttemptEnded(AttemptFailure aFailure, const std::string& aCandidateId);

  /// Outcome if the caller were answered now. NotRun only when every attempt ended with
  /// proof that it was not executed, or when there was no attempt.
  [[nodiscard]] CallOutcome Outcome() const;

  /// Candidates of all attempts so far, in order.
  [[nodiscard]] const std::vector<std::string>& TriedCandidates() const
  {
    return this->tried;
  }
  [[nodiscard]] std::size_t AttemptCount() const { return this->tried.size(); }
  [[nodiscard]] TimePoint Deadline() const { return this->deadline; }
  [[nodiscard]] nlohmann::json Describe() const;

private:
  /// Attempts of a request, by how they ended.
  struct Counts
  {
    std::size_t connected = 0;
    std::size_t provenNotRun = 0;
    std::size_t mayHaveRun = 0;

    [[nodiscard]] Counts With(AttemptFailure aFailure) const;
  };

  /// @param aCounts with the failed attempt
  [[nodiscard]] GiveUpReason ReasonToGiveUp(AttemptFailure aFailure,
                                            const Counts& aCounts,
                                            TimePoint aNow) const;
  void Count(AttemptFailure aFailure);
  [[nodiscard]] bool TakeFromBudget(AttemptFailure aFailure);
  [[nodiscard]] RetryDecision GiveUp(GiveUpReason aReason) const;

  Repeatability repeatability;
  AccountId account;
  PoolId pool;
  TimePoint deadline;
  RetryBudget& budget;
  std::size_t maxServers;
  std::vector<std::string> tried;
  Counts counts;
  /// Why the request is retried: the cause of the last failure that was no rejection.
  RetryCause cause = RetryCause::MayBeOverload;
  std::uint64_t offset = 0;
  bool inProgress = false;
  bool isRetryReserved = false;
  bool bodyForwarded = false;
  bool answered = false;
};

} // namespace toucanstand
