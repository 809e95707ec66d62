#pragma once

#include "Call.h"
#include "ServingState.h"
#include "http/HttpExchange.h"

namespace toucanstand {

/// Takes each request of a caller from its route and account to its final answer.
class RequestHandler
{
public:
  explicit RequestHandler(ServingState& aState);

  Task<> Handle(HttpExchange& aExchange);

private:
  /// Finds what the configuration says of the request; the reason when it is not served.
  struct Rejection
  {
    int status = 503;
    const char* reason = "";
  };
  [[nodiscard]] Result<Call, Rejection> Admit(HttpExchange& aExchange,
                                              CallFacts aFacts,
                                              TimePoint aNow);
  [[nodiscard]] PoolId PickPool(const ServingRoute& aRoute);
  Task<CallResult> Serve(Call& aCall);
  Task<> SendRejection(HttpExchange& aExchange,
                       const RequestId& aCall,
                       const Rejection& aRejection);
  void RecordResult(const Call& aCall, const CallResult& aResult);

  ServingState& state;
};

} // namespace toucanstand
