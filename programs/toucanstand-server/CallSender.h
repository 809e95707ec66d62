#pragma once

#include <memory>

#include "Call.h"
#include "ServingState.h"
#include "http/CancelSwitch.h"

namespace toucanstand {

/// Forwards a call to backend servers, one exchange at a time.
class CallSender
{
public:
  /// Engines and services accept a connection within one round trip, also in another
  /// region. The kernel retransmits a lost SYN only after 1 s, so any timeout between
  /// the round trip and 1 s has the same effect.
  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(200);
  /// Maximum size of a response that is buffered: one of a plain service, or an error
  /// response of an engine.
  static constexpr std::size_t kMaxResponseBytes = 16U << 20U;

  /// Both must outlive the sender.
  CallSender(ServingState& aState, Call& aCall);

  /// Destination and limits of one attempt.
  struct Target
  {
    ServerId server;
    Endpoint endpoint;
    /// Id of the last event that the caller has received, to resume a stream.
    std::optional<std::string> lastEventId;
    /// From 0 to 9; the engine admits requests with smaller numbers first.
    int urgency = 5;
    /// Wait for the head of the response after which `extend` is asked.
    Duration headTimeout{ 0 };
    /// See HttpDeadlines; also asked about the response's further progress.
    WaitExtension extend = nullptr;
  };

  /// Sends the request and reads the head of the response, limited by the deadline of
  /// the call.
  Task<Result<std::unique_ptr<HttpClientStream>, HttpFailure>> Open(Target aTarget);

  /// Reads the rest of the response, up to kMaxResponseBytes.
  Task<Result<HttpResponse, HttpFailure>> ReadWhole(HttpClientStream& aStream);

  /// Cancels the exchange in progress, for example when the caller disconnects.
  void Cancel() { this->cancelSwitch.Trip(); }
  [[nodiscard]] CancelSwitch& Cancellation() { return this->cancelSwitch; }

  /// Converts a failed exchange into the failure of an attempt.
  [[nodiscard]] AttemptFailure ClassifyFailure(HttpFailure aFailure) const;

private:
  ServingState& state;
  Call& call;
  CancelSwitch cancelSwitch;
};

} // namespace toucanstand
