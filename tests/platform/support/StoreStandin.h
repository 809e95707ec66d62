#pragma once

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "KeyValueState.h"
#include "http/HttpServer.h"

namespace toucanstand {

/// Faults of the stand-in store.
struct StoreFaults
{
  /// Answers every call with 503 and does not execute it.
  bool rejectCalls = false;
  /// Number of writes that are still to be executed without a response.
  int dropWriteResponses = 0;
};

/// In-process implementation of the HTTP interface of the platform's store. Uses the
/// state machine of this project's etcd stand-in.
class StoreStandin
{
public:
  StoreStandin(boost::asio::io_context& aLoop, MetricsRegistry& aMetrics);

  [[nodiscard]] Endpoint Address() const { return this->endpoint; }

  /// Writes a key without a lease, as the operator or a backend server does.
  void Put(const std::string& aKey, const std::string& aValue);
  void Delete(const std::string& aKey);
  /// The values of the keys with the prefix.
  [[nodiscard]] std::map<std::string, std::string> Records(const std::string& aPrefix);
  /// Number of the last write.
  [[nodiscard]] std::int64_t Revision() const { return this->state.Revision(); }

  /// Takes the copy of all keys and leases that the next Restore() goes back to.
  void TakeCopy();
  /// Goes back to the copy, as a store that was restored from a backup: revisions and
  /// lease numbers are given out again, and later revisions are unknown to watches.
  void Restore();

  /// Drops the history of changes: watches that start at an earlier revision get 410 and
  /// have to read all keys again.
  void CompactHistory();

  StoreFaults faults;
  std::size_t callCount = 0;
  /// Value of the header that numbers the store's histories; no header if empty.
  std::string historyHeader = "1";

private:
  Task<> HandleExchange(HttpExchange& aExchange);
  Task<> HandleWatch(HttpExchange& aExchange);
  Task<> Respond(HttpExchange& aExchange, HttpResponse aResponse);
  [[nodiscard]] HttpResponse HandleRequest(const HttpRequest& aRequest);
  [[nodiscard]] HttpResponse HandleKeyRead(const std::string& aKey);
  [[nodiscard]] HttpResponse HandleRangeRead(const HttpRequest& aRequest);
  [[nodiscard]] HttpResponse HandleTransaction(const HttpRequest& aRequest);
  [[nodiscard]] HttpResponse HandleLeaseRequest(const HttpRequest& aRequest);
  void WakeWatchers();
  void ScheduleLeaseExpiry();

  boost::asio::io_context& loop;
  KeyValueState state;
  std::optional<KeyValueState> copy;
  HttpServer server;
  Endpoint endpoint;
  std::int64_t compactedRevision = 0;
  /// Timers of the waiting watches; cancelled to wake them after a change.
  std::list<boost::asio::steady_timer*> watchTimers;
  boost::asio::steady_timer expiryTimer;
};

} // namespace toucanstand
