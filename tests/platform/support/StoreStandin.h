#pragma once

#include <list>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "KeyValueState.h"
#include "http/HttpServer.h"

namespace toucanstand {

/// What the stand-in store does wrong.
struct StoreFaults
{
  /// Answers every call with 503 and does nothing.
  bool rejectCalls = false;
  /// Writes that are done and not answered.
  int dropWriteResponses = 0;
};

/// The platform's store as its pages describe it, over the state machine of the
/// project's own stand-in.
class StoreStandin
{
public:
  StoreStandin(boost::asio::io_context& aLoop, MetricsRegistry& aMetrics);

  [[nodiscard]] Endpoint Address() const { return this->endpoint; }

  /// Writes a key as the operator or a server does.
  void Put(const std::string& aKey, const std::string& aValue);
  void Delete(const std::string& aKey);

  /// Forgets the history, so that every watch has to read anew.
  void CompactHistory();

  StoreFaults faults;
  std::size_t callCount = 0;

private:
  Task<> HandleExchange(HttpExchange& aExchange);
  Task<> HandleWatch(HttpExchange& aExchange);
  [[nodiscard]] HttpResponse HandleRequest(const HttpRequest& aRequest);
  [[nodiscard]] HttpResponse HandleKeyRead(const std::string& aKey);
  [[nodiscard]] HttpResponse HandleRangeRead(const HttpRequest& aRequest);
  [[nodiscard]] HttpResponse HandleTransaction(const HttpRequest& aRequest);
  [[nodiscard]] HttpResponse HandleLeaseRequest(const HttpRequest& aRequest);
  void WakeWatchers();
  void ScheduleLeaseExpiry();

  boost::asio::io_context& loop;
  KeyValueState state;
  HttpServer server;
  Endpoint endpoint;
  std::int64_t compactedRevision = 0;
  /// Cancelled to wake waiting watches.
  std::list<boost::asio::steady_timer*> watchTimers;
  boost::asio::steady_timer expiryTimer;
};

} // namespace toucanstand
