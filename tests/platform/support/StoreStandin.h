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
  bool refuses = false;
  /// Writes that are done and not answered.
  int loseWriteAnswers = 0;
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
  void DropHistory();

  StoreFaults faults;
  std::size_t calls = 0;

private:
  Task<> Serve(HttpExchange& aExchange);
  Task<> Watch(HttpExchange& aExchange);
  [[nodiscard]] HttpResponse Answer(const HttpRequest& aRequest);
  [[nodiscard]] HttpResponse ReadKey(const std::string& aKey);
  [[nodiscard]] HttpResponse ReadRange(const HttpRequest& aRequest);
  [[nodiscard]] HttpResponse Transact(const HttpRequest& aRequest);
  [[nodiscard]] HttpResponse Lease(const HttpRequest& aRequest);
  void Wake();
  void ExpireLater();

  boost::asio::io_context& loop;
  KeyValueState state;
  HttpServer server;
  Endpoint endpoint;
  std::int64_t forgottenBefore = 0;
  /// Cancelled to wake waiting watches.
  std::list<boost::asio::steady_timer*> watchers;
  boost::asio::steady_timer expiry;
};

} // namespace toucanstand
