#pragma once

#include <optional>

#include "Call.h"
#include "CallProgress.h"
#include "CallSender.h"
#include "ServingState.h"

namespace toucanstand {

/// A call of a plain service (not a model). The response is buffered and forwarded only
/// once it is complete.
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
  Task<std::optional<FailedAttempt>> Attempt(const Candidate& aCandidate);
  Task<std::optional<FailedAttempt>> ReceiveResponse(const ServerRun& aAsked,
                                                     HttpClientStream& aStream);
  void RecordAttemptEnd(const Candidate& aCandidate,
                        const std::optional<FailedAttempt>& aFailedAttempt,
                        TimePoint aSentAt);
  /// Time after which a server counts as silent.
  [[nodiscard]] Duration HeadTimeout() const;
  /// Asked when the server has been silent for long: it is left only if another one can
  /// take the call. @returns how much longer it is waited for; zero to leave it
  [[nodiscard]] Duration ExtendWait(const Candidate& aSilent, TimePoint aNow);
  [[nodiscard]] RouteQuery MakeRouteQuery(TimePoint aNow) const;
  /// Retry-After of a call that no server runs now.
  [[nodiscard]] Duration RetryAfter() const;
  void LogRefusal(RouteRefusal aReason);

  ServingState& state;
  Call& call;
  CallSender sender;
  CallProgress progress;
  /// The server of the last attempt named a time for which it wants nothing.
  bool serverWaits = false;
  std::vector<std::string> triedCandidates;
  /// Server of the next attempt, if the current one was left for it.
  std::optional<Candidate> plannedMove;
  std::optional<HttpResponse> receivedResponse;
};

} // namespace toucanstand
