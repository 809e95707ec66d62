#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "http/HttpServer.h"

namespace toucanstand {

/// A request that a stand-in server began to run.
struct StandinRun
{
  std::string server;
  std::string attempt;
  HttpRequest request;
};

/// What a stand-in server does wrong. Each number counts down to zero.
struct EngineFaults
{
  /// Runs that break off after that many events, in the middle of the next one.
  int breakRuns = 0;
  int breakAfterEvents = 3;
  /// Runs that send an event and then a byte now and then that never make another.
  int trickleRuns = 0;
  /// Requests answered 421 without being run.
  int rejectAsOther = 0;
  /// Requests answered 503 as not run.
  int rejectAsFull = 0;
  /// Requests of a plain service whose connection closes after the run.
  int loseAnswers = 0;
  /// A run ends the server.
  bool diesOnRun = false;
  /// Answers without the signature of the server.
  int unsignedAnswers = 0;
  /// Responses that name another request.
  int foreignAnswers = 0;
};

/// A backend server as the platform's pages describe it: an engine with the orders of
/// replica groups, or an instance of a plain service.
class EngineStandin
{
public:
  using Changed = std::function<void(const std::string& aEntry)>;
  using Began = std::function<void(const StandinRun&)>;
  /// True while the group of a head has all its members.
  using GroupIsWhole = std::function<bool(const std::string& aGroup)>;

  /// Pause between two events of a stream.
  static constexpr auto kEventPause = std::chrono::milliseconds(20);
  static constexpr int kEvents = 12;

  /// All events of a stream, each once and in order.
  [[nodiscard]] static std::string WholeStream();

  EngineStandin(boost::asio::io_context& aLoop,
                MetricsRegistry& aMetrics,
                std::string aId,
                std::string aService,
                std::string aDomain);

  void Listen();
  /// Ends the engine without a word: closes the listener and every connection.
  void Die();

  /// The registration as it lies in the store.
  [[nodiscard]] std::string Entry() const;
  [[nodiscard]] const std::string& Id() const { return this->id; }
  [[nodiscard]] std::string Group() const { return this->group; }
  [[nodiscard]] bool IsAlive() const { return this->alive; }

  void SetDraining();

  Changed onChanged;
  Began onBegan;
  GroupIsWhole groupIsWhole;
  EngineFaults faults;
  /// Orders that it took, in order: `join m-1`.
  std::vector<std::string> orders;

private:
  Task<> Serve(HttpExchange& aExchange);
  Task<> TakeOrder(HttpExchange& aExchange);
  Task<> RunStream(HttpExchange& aExchange);
  Task<> RunCall(HttpExchange& aExchange);
  Task<> Pause(std::chrono::milliseconds aTime);
  Task<> Proceed(std::string aState, std::string aGroup);
  [[nodiscard]] int Apply(const nlohmann::json& aOrder);
  [[nodiscard]] HttpHeaders AnswerHeaders(const HttpRequest& aRequest);
  void Change(const std::string& aState);

  boost::asio::io_context& loop;
  MetricsRegistry& metrics;
  std::string id;
  std::string service;
  std::string domain;
  std::string registered = "ready";
  std::unique_ptr<HttpServer> server;
  Endpoint endpoint;
  bool alive = true;
  std::string group;
  std::int64_t epoch = 0;
  std::int64_t highestEpoch = 0;
  std::int64_t highestFence = 0;
  int rank = 0;
  std::string state;
  std::string model;
  std::set<std::string> staged;
};

} // namespace toucanstand
