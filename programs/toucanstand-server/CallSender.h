#pragma once

#include <memory>

#include "Call.h"
#include "ServingState.h"
#include "http/CancelSwitch.h"

namespace toucanstand {

/// One exchange with a backend server on behalf of a call.
class CallSender
{
public:
  /// Engines and services accept within a round trip, also in another region; a lost
  /// packet is sent again after a second by the kernel.
  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(200);
  /// An answer of a plain service or a failure of an engine.
  static constexpr std::size_t kMaxResponseBytes = 16U << 20U;

  /// Both must outlive the sender.
  CallSender(ServingState& aState, Call& aCall);

  /// Where one attempt goes and how long it may take.
  struct Target
  {
    ServerId server;
    Endpoint endpoint;
    /// The caller has the events up to this one.
    std::optional<std::string> lastEventId;
    int urgency = 5;
    /// Until the head of the response.
    Duration headTimeout{ 0 };
  };

  /// Sends the request and reads the head of the response. The deadline of the call
  /// bounds all of it.
  Task<Result<std::unique_ptr<HttpClientStream>, HttpFailure>> Open(Target aTarget);

  /// Reads the rest of a response of bounded size.
  Task<Result<HttpResponse, HttpFailure>> ReadWhole(HttpClientStream& aStream);

  /// Ends the exchange in progress, for example because the caller left.
  void Cancel() { this->cancelSwitch.Trip(); }
  [[nodiscard]] CancelSwitch& Cancellation() { return this->cancelSwitch; }

  /// What a failed exchange means for the call.
  [[nodiscard]] AttemptFailure ClassifyFailure(HttpFailure aFailure) const;

private:
  ServingState& state;
  Call& call;
  CancelSwitch cancelSwitch;
};

} // namespace toucanstand
