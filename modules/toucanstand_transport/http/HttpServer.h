#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "errors/Result.h"
#include "http/ConnectionState.h"
#include "http/CutRequest.h"
#include "http/HttpExchange.h"
#include "lifecycle/StopSchedule.h"
#include "memory/MemoryBudget.h"
#include "metrics/MetricsRegistry.h"
#include "network/Endpoint.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Bounds on what callers may send and how long they may take.
struct HttpServerLimits
{
  std::size_t headerBytes = 16U << 10U;
  std::size_t bodyBytes = 1U << 20U;
  std::size_t connections = 8192;
  /// From the first byte of a request to the end of its head.
  Duration headerTimeout = std::chrono::seconds(10);
  /// From the end of the head to the end of the body.
  Duration requestTimeout = std::chrono::seconds(10);
  /// Without any byte of a request.
  Duration idleTimeout = std::chrono::seconds(75);
  Duration writeTimeout = std::chrono::seconds(20);
};

/// Connections on which the end of the process would lose something.
struct UnfinishedConnections
{
  /// A request that is arriving, or whose answer is not written to its end.
  std::size_t withoutAnswer = 0;
  /// An answer that was written and that the caller has not received.
  std::size_t notReceived = 0;
};

/// Why an endpoint can't be listened on.
enum class ListenFailure
{
  BadAddress,
  AddressInUse,
  NotPermitted,
};

/// HTTP/1.1 server on one loop (Boost.Beast).
class HttpServer
{
public:
  using Handler = std::function<Task<>(HttpExchange&)>;
  using RejectionFactory = std::function<HttpResponse()>;

  /// @param aMetrics must outlive the server.
  HttpServer(boost::asio::io_context& aLoop,
             HttpServerLimits aLimits,
             Handler aHandler,
             MetricsRegistry& aMetrics);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Starts to accept. Port 0 picks a free one. @returns the endpoint listened on.
  Result<Endpoint, ListenFailure> Listen(const Endpoint& aEndpoint);

  /// Sets the limits for every further request.
  void SetLimits(const HttpServerLimits& aLimits);

  /// Brings the connections to what the phase of a planned stop demands; to be called at
  /// each new phase and repeatedly during the stop. docs/design.md has the table.
  void AdvanceStop(StopPhase aPhase, TimePoint aNow);

  /// Sets the answer to requests that a planned stop rejects while they are arriving.
  void SetStopRejection(RejectionFactory aFactory);

  /// Bounds the memory of requests. To be called before Listen().
  /// @param aRejection answer to a request that gives way to others
  void SetRequestMemory(const MemoryBudget& aMemory, RejectionFactory aRejection);

  /// Sets who is told of each request that is cut off.
  void SetCutListener(CutListener aListener);

  /// True while a planned stop must wait: the listener or a connection is open.
  [[nodiscard]] bool IsBusy() const;

  /// Connections on which a part of a request or of an answer would be lost now.
  [[nodiscard]] UnfinishedConnections CountUnfinished() const;

  /// Tells the listener of each answer that was written and is not received, as the
  /// process ends.
  void ReportUnreceivedAnswers();

  /// Closes everything now.
  void Abort();

  [[nodiscard]] std::size_t OpenConnections() const;
  /// Requests that are complete and whose answers are not.
  [[nodiscard]] std::size_t ActiveExchanges() const;
  [[nodiscard]] const ConnectionCounts& Connections() const;

private:
  class Implementation;
  std::shared_ptr<Implementation> implementation;
};

} // namespace toucanstand
