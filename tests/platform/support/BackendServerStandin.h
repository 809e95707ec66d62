#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>

#include "http/HttpServer.h"
#include "support/ConnectionFront.h"

namespace toucanstand {

/// A request that a stand-in server started to run.
struct RecordedRun
{
  std::string server;
  std::string attemptId;
  HttpRequest request;
  std::chrono::steady_clock::time_point startedAt = std::chrono::steady_clock::now();
};

/// What an engine does with a stream that another one began.
enum class ResumedStreams
{
  Continue,
  /// Rejects it with 503 and the header that says that it did not run.
  RejectAsFull,
  /// Rejects it with 421, as one that serves another group does.
  RejectAsWrongServer,
  /// Sends a head and closes the connection.
  BreakOff,
  /// Sends a comment after the head and closes the connection.
  BreakOffAfterComment,
};

/// Faults of a stand-in server. Each count is the number of requests that are still to
/// fail this way.
struct BackendServerFaults
{
  /// Streams whose connection closes in the middle of the event that follows
  /// abortAfterEvents complete ones.
  int abortStreams = 0;
  int abortAfterEvents = 3;
  /// Streams that send one event and then single bytes that never complete another one.
  int stallStreams = 0;
  /// Streams that send one event and then comments without a pause.
  int floodStreams = 0;
  /// Requests rejected with 421 without being run.
  int rejectAsWrongServer = 0;
  /// Requests rejected with 503 and the header that says that they did not run.
  int rejectAsOverloaded = 0;
  ResumedStreams resumedStreams = ResumedStreams::Continue;
  /// Time that the server takes for such a rejection, and for one with a Retry-After.
  std::chrono::milliseconds rejectionDelay{ 0 };
  /// Requests to a plain service that run, but whose connection closes without a
  /// response.
  int dropResponses = 0;
  /// The server crashes when it runs a request.
  bool crashOnRequest = false;
  /// An engine crashes when it begins to answer a request whose list of prompt parts
  /// contains this text; none if empty.
  std::string crashingPromptPart;
  /// An engine crashes when a stream has sent this many events; 0 for never.
  int crashAfterEvents = 0;
  /// Time that the server takes for a report of its state, as on a busy machine.
  std::chrono::milliseconds reportDelay{ 0 };
  /// Status of the answer to a question for a report.
  int reportStatus = 200;
  /// Requests per second that the server says it takes; nothing if empty.
  std::string statedLimit;
  /// Value with which each response, also to orders and for reports, says that the server
  /// leaves; the registration stays. None if empty.
  std::string statedLeaving;
  /// Requests are rejected with 503 and this Retry-After, without being run; none if
  /// empty. The next of the list is used as long as there is one.
  std::string retryAfter;
  std::deque<std::string> retryAfters;
  /// Responses without the server's signature header.
  int unsignedResponses = 0;
  /// Responses with the attempt id of another request.
  int mismatchedResponses = 0;
};

/// In-process implementation of the platform's backend server protocol: an engine that
/// accepts group orders when it has a fabric domain, else an instance of a plain service.
class BackendServerStandin
{
public:
  using RegistrationChangedHandler = std::function<void(const std::string& aEntry)>;
  using RunStartedHandler = std::function<void(const RecordedRun&)>;
  /// Returns whether all members of the group are alive.
  using GroupCompletenessCheck = std::function<bool(const std::string& aGroup)>;

  /// Usual time between two events of a stream, and their usual number.
  static constexpr auto kEventInterval = std::chrono::milliseconds(20);
  static constexpr int kEventCount = 12;

  /// Text of a stream in which each event occurs once and in order.
  [[nodiscard]] static std::string CompleteStream(int aEvents = kEventCount,
                                                  std::size_t aPadding = 0);

  BackendServerStandin(boost::asio::io_context& aLoop,
                       MetricsRegistry& aMetrics,
                       std::string aId,
                       std::string aService,
                       std::string aDomain);

  void Listen();
  /// Address at which the server listens.
  [[nodiscard]] const Endpoint& Address() const { return this->endpoint; }
  /// Registers another address than the one at which the server listens.
  void Advertise(const Endpoint& aEndpoint);
  /// Refuses all connections, as behind a partition, until Listen() is called again.
  /// Keeps its state.
  void RefuseConnections();
  /// Closes the listener and all connections without changing the registration.
  void Crash();
  /// Registers a front that passes connections on to this server. Call it before any VM
  /// has read the registration.
  void PutBehindFront();

  /// The server's registration as JSON text, as it is written to the store.
  [[nodiscard]] std::string RegistrationText() const;
  [[nodiscard]] const std::string& Id() const { return this->id; }
  [[nodiscard]] std::string Group() const { return this->group; }
  [[nodiscard]] int OpenStreams() const { return this->openStreams; }
  [[nodiscard]] bool IsOpenHead() const { return this->groupState == "open"; }
  [[nodiscard]] bool IsAlive() const { return this->alive; }

  /// Moves the server to a zone and, if it is an engine, to a fabric domain of its own.
  /// Call it before any VM has read the registration.
  void Place(const std::string& aZone);
  void SetDraining();
  /// Registers a time for which the server stays cold.
  void SetCold(std::chrono::milliseconds aRemaining);
  /// Registers as another run of this server, as after a restart.
  void RegisterAnotherRun();
  /// Registers a run that began later, without a group and without faults, at the same
  /// address.
  void BeginNewRun();

  RegistrationChangedHandler onRegistrationChanged;
  RunStartedHandler onRunStarted;
  /// A run breaks off or stalls, or its answer has a falsified head.
  std::function<void(const std::string& aAttemptId)> onRunFailed;
  /// An engine has written the last event of a stream.
  std::function<void(const std::string& aAttemptId)> onLastEvent;
  GroupCompletenessCheck isGroupComplete;
  BackendServerFaults faults;
  /// Streams that an engine runs at once; it rejects others as full. No limit if 0.
  int slots = 0;
  std::chrono::milliseconds eventInterval = kEventInterval;
  int eventCount = kEventCount;
  /// Number of events of the stream for a request; `eventCount` for all if empty.
  std::function<int(const std::string& aAttemptId)> eventCountOf;
  /// Time without any byte in the middle of each stream.
  std::chrono::milliseconds pauseInStream{ 0 };
  /// Time without any byte before each stream.
  std::chrono::milliseconds pauseBeforeStream{ 0 };
  /// No stream sends an event before this time.
  std::chrono::steady_clock::time_point silentUntil{};
  /// Time until a plain service answers.
  std::chrono::milliseconds answerDelay{ 0 };
  /// Status of the answers of a plain service, as it is when a call arrives.
  int answerStatus = 200;
  /// Null until PutBehindFront() is called.
  std::unique_ptr<ConnectionFront> front;
  /// Bytes that each event has beyond the usual ones.
  std::size_t eventPadding = 0;
  /// Kind and group of each order that was received, oldest first: `join m-1`.
  std::vector<std::string> receivedOrders;
  /// When each request, order or question for a report arrived.
  std::vector<std::chrono::steady_clock::time_point> arrivals;
  /// Orders to join another group that arrived while this server was an open head.
  int joinsWhileOpen = 0;
  /// Whether an order gets no answer and is kept in `unansweredOrders` instead of being
  /// carried out; none if empty.
  std::function<bool(const nlohmann::json& aOrder)> leavesUnanswered;
  std::vector<nlohmann::json> unansweredOrders;
  /// Carries out the first unanswered order of a kind, as late as it is by now.
  /// @returns the HTTP status of the reply, which nobody gets; 0 without such an order
  int CarryOutLate(const std::string& aKind);

private:
  Task<> HandleRequest(HttpExchange& aExchange);
  Task<> HandleOrder(HttpExchange& aExchange);
  Task<> LeaveUnanswered(HttpExchange& aExchange, nlohmann::json aOrder);
  Task<> StreamEvents(HttpExchange& aExchange);
  Task<> RejectWithRetryAfter(HttpExchange& aExchange);
  Task<> RespondToCall(HttpExchange& aExchange);
  Task<> Sleep(std::chrono::milliseconds aDuration);
  Task<> SleepUntil(std::chrono::steady_clock::time_point aTime);
  /// Does nothing when the server crashed or left the group during the delay.
  Task<> SetGroupStateAfterDelay(std::string aState, std::string aGroup);
  /// @returns the HTTP status of the reply
  [[nodiscard]] int ApplyOrder(const nlohmann::json& aOrder);
  [[nodiscard]] HttpHeaders ResponseHeaders(const HttpRequest& aRequest);
  /// Adds what the server says of itself in each response.
  void AddStatements(HttpHeaders& aHeaders) const;
  /// A closed head is ready when its last stream has ended.
  void OnStreamEnded();
  void NoteRunFailed(const HttpExchange& aExchange);
  void SetGroupState(const std::string& aState);

  boost::asio::io_context& loop;
  MetricsRegistry& metrics;
  std::string id;
  std::string service;
  std::string domain;
  std::string zone = "zone-a";
  std::string registrationState = "ready";
  int openStreams = 0;
  std::chrono::milliseconds coldRemaining{ 0 };
  std::size_t coldChanges = 0;
  std::unique_ptr<HttpServer> server;
  /// Keeps the port while the server does not listen.
  std::optional<boost::asio::ip::tcp::socket> reservedPort;
  Endpoint endpoint;
  std::optional<Endpoint> advertised;
  bool alive = true;
  std::int64_t startedAtUnixMs = 1700000000000;
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
