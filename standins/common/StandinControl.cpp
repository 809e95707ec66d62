#include "common/StandinControl.h"

#include <iostream>

#include <nlohmann/json.hpp>

#include "common/OptionReader.h"
#include "serialization/BoundedJson.h"

namespace toucanstand {

namespace {

/// Reads a fault; a response when it is malformed.
std::optional<HttpResponse> ReadFault(const StandinControl& aControl,
                                      const HttpRequest& aRequest,
                                      std::function<void()>& aAction)
{
  const auto body = DecodeJson(aRequest.body);
  if (!body) {
    return ErrorResponse(400, "malformed_fault", Name(body.LastReason()));
  }
  SettingsReader reader(*body);
  aAction = aControl.fault(reader);
  reader.Finish();
  if (!reader.Errors().empty()) {
    return ErrorResponse(400, "malformed_fault", Describe(reader.Errors().front()));
  }
  return std::nullopt;
}

} // namespace

Task<> StandinControl::Serve(HttpExchange& aExchange) const
{
  const auto& request = aExchange.Request();
  if (request.method == "GET" && request.target == "/log") {
    co_await aExchange.Respond(JsonResponse(200, EncodeJson(this->log())));
  } else if (request.method == "POST" && request.target == "/fault") {
    std::function<void()> action;
    if (auto error = ReadFault(*this, request, action)) {
      co_await aExchange.Respond(std::move(*error));
      co_return;
    }
    // Applied first, so that the fault is in force when the caller has the reply. A
    // fault that ends this connection still lets the reply out.
    action();
    co_await aExchange.Respond(JsonResponse(200, "{}"));
  } else {
    co_await aExchange.Respond(ErrorResponse(404, "not_found", "no such path or method"));
  }
}

bool AnnounceControl(HttpServer& aServer,
                     const CommandLine& aCommandLine,
                     const Endpoint& aEndpoint)
{
  if (!aCommandLine.Has("control")) {
    return true;
  }
  const auto local = aServer.Listen(aEndpoint);
  if (!local) {
    std::cerr << "cannot listen on the control address " << aEndpoint.Text() << '\n';
    return false;
  }
  AnnounceEndpoint("control", *local);
  return true;
}

} // namespace toucanstand
