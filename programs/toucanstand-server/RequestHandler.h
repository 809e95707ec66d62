#pragma once

#include "Call.h"
#include "ServingState.h"
#include "http/HttpExchange.h"

namespace toucanstand {

/// Handles each caller request: checks route and account, forwards it to a pool, sends
/// the final response and logs the result.
class RequestHandler
{
public:
  explicit RequestHandler(ServingState& aState);

  Task<> Handle(HttpExchange& aExchange);

private:
  /// Minimum Retry-After while the process lacks current data from the store; outages of
  /// the store last seconds.
  static constexpr Duration kNotReadyRetryAfter = std::chrono::milliseconds(1200);

  /// Status and reason of a request that is not forwarded.
  struct Rejection
  {
    int status = 503;
    const char* reason = "";
    /// Minimum Retry-After of a 503.
    Duration retryAfter = kNotReadyRetryAfter;
  };
  [[nodiscard]] Result<Call, Rejection> Admit(HttpExchange& aExchange,
                                              CallFacts aFacts,
                                              TimePoint aNow);
  [[nodiscard]] PoolId PickPool(const ServingRoute& aRoute);
  Task<CallResult> Forward(Call& aCall);
  Task<> SendRejection(HttpExchange& aExchange,
                       const RequestId& aCall,
                       const Rejection& aRejection);
  void RecordResult(const Call& aCall, const CallResult& aResult);

  ServingState& state;
};

} // namespace toucanstand
