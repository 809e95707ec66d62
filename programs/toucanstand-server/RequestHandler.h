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
  Task<CallEnd> Serve(Call& aCall);
  Task<> AnswerRejection(HttpExchange& aExchange,
                         const RequestId& aCall,
                         const Rejection& aRejection);
  void Note(const Call& aCall, const CallEnd& aEnd);

  ServingState& state;
};

} // namespace toucanstand
