#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "errors/Result.h"
#include "http/CancelSwitch.h"
#include "http/ConnectionPaths.h"
#include "http/HttpMessage.h"
#include "http/Task.h"
#include "metrics/MetricsRegistry.h"
#include "network/Endpoint.h"
#include "time/BootClock.h"

namespace toucanstand {

/// What went wrong with an exchange, by how far it got.
enum class HttpFailure
{
  /// No connection; no byte of the request left.
  ConnectRefused,
  /// No connection in time; no byte of the request left.
  ConnectTimedOut,
  /// The connection broke while the request was sent; a part may have arrived.
  SendBroken,
  /// The request was sent and no response head came in time.
  HeadTimedOut,
  BrokenBeforeHead,
  /// The body ended before its framing said so, or the framing has no end mark.
  BrokenInBody,
  /// No byte of the body came in time.
  BodyTimedOut,
  TooLarge,
  Malformed,
  Cancelled,
};

/// Name of a failure for metrics and logs.
[[nodiscard]] const char* Name(HttpFailure aFailure);

/// True when no byte of the request can have reached the server.
[[nodiscard]] bool NothingWasSent(HttpFailure aFailure);

/// Called when a wait for a server has lasted as long as it may. @returns how much longer
/// it may last; zero ends it.
using WaitExtension = std::function<Duration()>;

/// How long each stage of an exchange may take.
struct HttpDeadlines
{
  Duration connect = std::chrono::milliseconds(500);
  Duration head = std::chrono::seconds(10);
  /// Between two reads of the body that bring bytes.
  Duration progress = std::chrono::seconds(5);
  /// From the end of the head to the end of the body, for Fetch().
  Duration body = std::chrono::seconds(10);
  /// Decides on the end of `head` and of `progress`; both are final if empty.
  WaitExtension extend = nullptr;
};

/// Whether an idle connection of an earlier exchange may carry the request.
enum class ConnectionUse
{
  MayReuse,
  /// A reused connection that turns out closed leaves open whether the request arrived.
  Fresh,
  /// Like Fresh, and closed after the exchange, so that nothing that the server sends
  /// late can meet a later request.
  Single,
};

/// A response whose head has arrived and whose body is read piece by piece.
///
/// A stream that is destroyed before its body is complete closes its connection.
class HttpClientStream
{
public:
  HttpClientStream() = default;
  HttpClientStream(const HttpClientStream&) = delete;
  HttpClientStream& operator=(const HttpClientStream&) = delete;
  virtual ~HttpClientStream() = default;

  [[nodiscard]] virtual int Status() const = 0;
  [[nodiscard]] virtual const HttpHeaders& Headers() const = 0;

  /// Replaces how long each further Read() may take.
  virtual void SetProgressTimeout(Duration aTimeout) = 0;

  /// Bytes that have arrived from the server and were not read.
  [[nodiscard]] virtual std::size_t UnreadBytes() const = 0;

  /// Next bytes of the body; empty once the body is complete by its own framing.
  virtual Task<Result<std::string, HttpFailure>> Read(CancelSwitch& aCancel) = 0;
};

/// What to make of a body without a length, which the end of the connection delimits.
enum class UnframedBody
{
  /// It can't be told from a part: BrokenInBody.
  Refuse,
  /// Complete when the server ends the connection in order; a reset breaks it, and so
  /// does a request that could not be written whole.
  EndsWithConnection,
};

/// Target of the request that asks an HTTP server for a tunnel; the endpoint follows.
constexpr std::string_view kTunnelTargetPrefix = "/tunnel/";
/// Response field that says why the server could not connect: the name of an HttpFailure.
constexpr std::string_view kTunnelFailureField = "Tunnel-Failure";

/// HTTP/1.1 client with a pool of idle connections per endpoint (Boost.Beast).
class HttpClient
{
public:
  /// @param aMetrics must outlive the client.
  HttpClient(boost::asio::io_context& aLoop,
             MetricsRegistry& aMetrics,
             UnframedBody aUnframed = UnframedBody::Refuse);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends a request and waits for the head of the response. The request's own Host field
  /// is kept; the endpoint is named where it has none.
  Task<Result<std::unique_ptr<HttpClientStream>, HttpFailure>> Open(
    Endpoint aEndpoint,
    HttpRequest aRequest,
    HttpDeadlines aDeadlines,
    ConnectionUse aUse,
    CancelSwitch& aCancel);

  /// Sends a request and reads the whole response, at most aMostBytes of body.
  Task<Result<HttpResponse, HttpFailure>> Fetch(
    Endpoint aEndpoint,
    HttpRequest aRequest,
    HttpDeadlines aDeadlines,
    std::size_t aMostBytes = 4U << 20U,
    ConnectionUse aUse = ConnectionUse::MayReuse);

  /// Lets every further connection be made as the paths decide.
  /// @param aPaths must outlive the client
  void SetPaths(ConnectionPaths* aPaths);

  /// Connects directly and closes the connection again; tells the paths the result.
  Task<> TryDirectConnection(Endpoint aEndpoint, Duration aTimeout);

  /// Closes the idle connections to an endpoint, for example after one went silent.
  void DropIdle(const Endpoint& aEndpoint);

private:
  class Implementation;
  std::shared_ptr<Implementation> implementation;
};

} // namespace toucanstand
