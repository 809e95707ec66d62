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
struct RecordedRun
{
  std::string server;
  std::string attemptId;
  HttpRequest request;
};

/// What a stand-in server does wrong. Each number counts down to zero.
struct BackendServerFaults
{
  /// Runs that break off after that many events, in the middle of the next one.
  int abortStreams = 0;
  int abortAfterEvents = 3;
  /// Runs that send an event and then a byte now and then that never make another.
  int stallStreams = 0;
  /// Requests answered 421 without being run.
  int rejectAsWrongServer = 0;
  /// Requests answered 503 as not run.
  int rejectAsOverloaded = 0;
  /// Requests of a plain service whose connection closes after the run.
  int dropResponses = 0;
  /// A run ends the server.
  bool crashOnRequest = false;
  /// Answers without the signature of the server.
  int unsignedResponses = 0;
  /// Responses that name another request.
  int mismatchedResponses = 0;
};

/// A backend server as the platform's pages describe it: an engine with the orders of
/// replica groups, or an instance of a plain service.
class BackendServerStandin
{
public:
  using RegistrationChangedHandler = std::function<void(const std::string& aEntry)>;
  using RunStartedHandler = std::function<void(const RecordedRun&)>;
  /// True while the group of a head has all its members.
  using GroupCompletenessCheck = std::function<bool(const std::string& aGroup)>;

  /// Pause between two events of a stream.
  static constexpr auto kEventInterval = std::chrono::milliseconds(20);
  static constexpr int kEventCount = 12;

  /// All events of a stream, each once and in order.
  [[nodiscard]] static std::string CompleteStream();

  BackendServerStandin(boost::asio::io_context& aLoop,
                       MetricsRegistry& aMetrics,
                       std::string aId,
                       std::string aService,
                       std::string aDomain);

  void Listen();
  /// Ends the engine without a word: closes the listener and every connection.
  void Crash();

  /// The registration as it lies in the store.
  [[nodiscard]] std::string RegistrationText() const;
  [[nodiscard]] const std::string& Id() const { return this->id; }
  [[nodiscard]] std::string Group() const { return this->group; }
  [[nodiscard]] bool IsAlive() const { return this->alive; }

  void SetDraining();

  RegistrationChangedHandler onRegistrationChanged;
  RunStartedHandler onRunStarted;
  GroupCompletenessCheck isGroupComplete;
  BackendServerFaults faults;
  /// Orders that it took, in order: `join m-1`.
  std::vector<std::string> receivedOrders;

private:
  Task<> HandleRequest(HttpExchange& aExchange);
  Task<> HandleOrder(HttpExchange& aExchange);
  Task<> StreamEvents(HttpExchange& aExchange);
  Task<> RespondToCall(HttpExchange& aExchange);
  Task<> Sleep(std::chrono::milliseconds aDuration);
  Task<> SetGroupStateAfterDelay(std::string aState, std::string aGroup);
  [[nodiscard]] int ApplyOrder(const nlohmann::json& aOrder);
  [[nodiscard]] HttpHeaders ResponseHeaders(const HttpRequest& aRequest);
  void SetGroupState(const std::string& aState);

  boost::asio::io_context& loop;
  MetricsRegistry& metrics;
  std::string id;
  std::string service;
  std::string domain;
  std::string registrationState = "ready";
  std::unique_ptr<HttpServer> server;
  Endpoint endpoint;
  bool alive = true;
  std::string group;
  std::int64_t epoch = 0;
  std::int64_t highestEpoch = 0;
  std::int64_t highestFence = 0;
  int rank = 0;
  std::string groupState;
  std::string model;
  std::set<std::string> stagedModels;
};

} // namespace toucanstand
