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
  /// Maximum size of a response of a plain service that is buffered.
  static constexpr std::size_t kMaxResponseBytes = 16U << 20U;
  /// The same for an error response, and the time that its body may take. A server that
  /// exceeds them is in trouble.
  static constexpr std::size_t kMaxErrorBytes = 64U << 10U;
  static constexpr Duration kErrorBodyTimeout = std::chrono::seconds(1);

  /// Both must outlive the sender.
  CallSender(ServingState& aState, Call& aCall);

  /// Time without bytes of a body that is read as a whole, after which its server counts
  /// as silent.
  static constexpr Duration kBodyStallTimeout = std::chrono::milliseconds(800);

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
  /// the call. Sends nothing if the server's zone was evacuated since it was chosen.
  Task<Result<std::unique_ptr<HttpClientStream>, HttpFailure>> Open(Target aTarget);

  /// Reads the rest of a response within kMaxResponseBytes and the memory budget.
  Task<Result<HttpResponse, HttpFailure>> ReadWhole(HttpClientStream& aStream);

  /// Reads the rest of an error response. @returns the failure of the attempt, with the
  /// response if it is whole
  Task<FailedAttempt> ReadError(HttpClientStream& aStream);

  /// Takes bytes of the response that are kept from the memory budget.
  /// @returns false if there is no room for them
  [[nodiscard]] bool Hold(std::size_t aBytes);

  /// Cancels the exchange in progress, for example when the caller disconnects.
  void Cancel() { this->cancelSwitch.Trip(); }
  [[nodiscard]] CancelSwitch& Cancellation() { return this->cancelSwitch; }

  /// Converts a failed exchange into the failure of an attempt.
  [[nodiscard]] AttemptFailure ClassifyFailure(HttpFailure aFailure) const;

private:
  struct BodyLimits
  {
    std::size_t bytes = 0;
    TimePoint due;
    /// Time without bytes after which the extension of the target is asked.
    Duration stall{ 0 };
  };

  void OnEviction();
  void SetNoMemory();

  Task<Result<HttpResponse, HttpFailure>> ReadBody(HttpClientStream& aStream,
                                                   BodyLimits aLimits);

  ServingState& state;
  Call& call;
  CancelSwitch cancelSwitch;
  MemoryBudget::Holding held;
  /// No wait for the server is extended any more.
  bool areWaitsFinal = false;
  bool hasNoMemory = false;
  bool isServerEvacuated = false;
};

} // namespace toucanstand
