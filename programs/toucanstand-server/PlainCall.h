#pragma once

#include <optional>

#include "Call.h"
#include "CallProgress.h"
#include "CallSender.h"
#include "ServingState.h"

namespace toucanstand {

/// A call of a plain service: its answer is passed on whole, after it has arrived whole.
class PlainCall
{
public:
  /// Least time after which an idempotent call that got no answer goes to another server.
  static constexpr Duration kSilenceLimit = std::chrono::milliseconds(800);

  /// Both must outlive the call.
  PlainCall(ServingState& aState, Call& aCall);

  Task<CallEnd> Run();

private:
  Task<std::optional<AttemptLoss>> Attempt(const Candidate& aCandidate);
  Task<std::optional<AttemptLoss>> Receive(HttpClientStream& aStream);
  void NoteEnd(const Candidate& aCandidate,
               const std::optional<AttemptLoss>& aLoss,
               TimePoint aSentAt);
  [[nodiscard]] Duration HeadTimeout() const;

  ServingState& state;
  Call& call;
  CallSender sender;
  CallProgress progress;
  std::vector<std::string> tried;
  std::optional<HttpResponse> received;
};

} // namespace toucanstand
