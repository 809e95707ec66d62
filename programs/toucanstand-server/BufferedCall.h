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
  [[nodiscard]] Duration HeadTimeout() const;
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
  std::optional<HttpResponse> receivedResponse;
};

} // namespace toucanstand
