#pragma once

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <nlohmann/json_fwd.hpp>

#include "http/HttpClient.h"

namespace toucanstand {

/// HTTP client for tests that waits for each answer.
class HttpCaller
{
public:
  /// @param aSilence time without a byte after which an exchange fails; short, because
  /// tests wait for the silence of connections
  explicit HttpCaller(Duration aSilence = std::chrono::seconds(1));

  /// @returns the answer, or how the exchange failed
  Result<HttpResponse, HttpFailure> Call(const Endpoint& aEndpoint,
                                         const std::string& aMethod,
                                         const std::string& aTarget,
                                         const std::string& aBody = "",
                                         const HttpHeaders& aHeaders = {});

  /// Body of a call as JSON. @throws std::runtime_error unless the status is 200
  nlohmann::json Json(const Endpoint& aEndpoint,
                      const std::string& aMethod,
                      const std::string& aTarget,
                      const std::string& aBody = "");

  /// Repeats a call until a condition on its JSON body holds.
  /// @throws std::runtime_error when it does not hold within 10 s
  void WaitFor(const Endpoint& aEndpoint,
               const std::string& aTarget,
               const std::function<bool(const nlohmann::json&)>& aCondition);

  /// Opens a request, reads the first bytes of its body and keeps it open.
  std::unique_ptr<HttpClientStream> OpenStream(const Endpoint& aEndpoint,
                                               const std::string& aTarget,
                                               const std::string& aBody,
                                               const HttpHeaders& aHeaders,
                                               std::string& aFirstBytes);

  /// Reads on; empty at the end. A silence ends the stream with
  /// HttpFailure::BodyTimedOut.
  Result<std::string, HttpFailure> Read(HttpClientStream& aStream);

private:
  void Run(Task<> aTask);

  boost::asio::io_context loop;
  MetricsRegistry metrics;
  HttpClient client;
  Duration silence;
  CancelSwitch never;
};

} // namespace toucanstand
