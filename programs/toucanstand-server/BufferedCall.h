#pragma once

#include <memory>
#include <optional>

#include "BufferedAttempt.h"
#include "Call.h"
#include "CallAttempts.h"
#include "CallProgress.h"
#include "CallSender.h"
#include "ServingState.h"

namespace toucanstand {

/// A call of a plain service (not a model). The response is buffered and forwarded only
/// once it is complete.
///
/// Beside a server that is silent for longer than usual, another one is asked; the silent
/// one is left only when the other has answered.
class BufferedCall
{
public:
  /// Minimum wait for a response head before an idempotent call is retried elsewhere.
  static constexpr Duration kMinHeadTimeout = std::chrono::milliseconds(800);
  /// Interval at which a call that stays with a silent server looks for another one.
  static constexpr Duration kSilenceCheckInterval = std::chrono::milliseconds(200);

  /// Both must outlive the call.
  BufferedCall(ServingState& aState, Call& aCall);

  Task<CallResult> Run();

private:
  Task<CallResult> Serve();
  /// Begins the next attempt, or goes on with the one beside the last. @returns why there
  /// is none
  [[nodiscard]] std::optional<RouteRefusal> BeginAttempt(TimePoint aNow);
  [[nodiscard]] std::shared_ptr<BufferedAttempt> MakeAttempt(Candidate aCandidate);
  Task<std::optional<FailedAttempt>> RunAttempt();
  Task<CallResult> GiveUp(std::string aReason, Duration aRetryAfter);
  [[nodiscard]] CallSender::Target MakeTarget(const BufferedAttempt& aAttempt);
  /// Time after which a server counts as silent.
  [[nodiscard]] Duration HeadTimeout() const;
  /// Asked when the server of an attempt has been silent for long. @returns how much
  /// longer it is waited for; zero to leave it
  [[nodiscard]] Duration ExtendWait(const BufferedAttempt& aWaiting, TimePoint aNow);
  /// Begins an attempt at another server, beside the one that is silent. @returns false
  /// if none can be made
  [[nodiscard]] bool BeginStandby(TimePoint aNow);
  void OnStandbyEnd(BufferedAttempt& aStandby, AttemptFailure aFailure);
  [[nodiscard]] RouteQuery MakeRouteQuery(TimePoint aNow) const;
  /// Retry-After of a call that no server runs now.
  [[nodiscard]] Duration RetryAfter() const;
  void LogRefusal(RouteRefusal aReason);

  ServingState& state;
  Call& call;
  CallProgress progress;
  std::vector<std::string> triedCandidates;
  CallAttempts<BufferedAttempt> attempts;
};

} // namespace toucanstand
