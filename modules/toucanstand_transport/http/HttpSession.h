#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>

#include "http/ConnectionState.h"
#include "http/ConnectionStopTable.h"
#include "http/HttpExchange.h"
#include "http/HttpServer.h"
#include "http/RequestReader.h"

namespace toucanstand {

/// One caller's connection to an HttpServer; serves its requests one after another.
class HttpSession final
  : public HttpExchange
  , public std::enable_shared_from_this<HttpSession>
{
public:
  /// What a session needs to know of its server.
  struct Context
  {
    HttpServerLimits limits;
    HttpServer::Handler handler;
    MetricsRegistry& metrics;
    ConnectionCounts connections;
    /// Answer to a request that a planned stop rejects before it is complete.
    HttpServer::RejectionFactory makeStopRejection;
    /// Told of each request that is cut off; may be empty.
    CutListener onCut;
    /// For the requests of all sessions; unbounded unless it is set.
    MemoryBudget requestMemory{ std::numeric_limits<std::size_t>::max() };
    /// Answer to a request whose memory is needed by others.
    HttpServer::RejectionFactory makeMemoryRejection = nullptr;
    StopPhase stopPhase = StopPhase::Serving;
  };

  HttpSession(boost::asio::ip::tcp::socket aSocket, std::shared_ptr<Context> aContext);
  ~HttpSession() override;

  /// Serves requests until either side closes.
  Task<> Run();

  /// Does what the phase of a planned stop demands of the connection.
  void AdvanceStop(StopPhase aPhase, TimePoint aNow);

  /// Closes the connection now.
  void Abort();

  /// True if a request is arriving or its answer is not written to its end.
  [[nodiscard]] bool LacksAnswer() const;
  /// True if an answer was written and the caller has not received it.
  [[nodiscard]] bool IsAnswerUnreceived();

  /// Tells the listener that the present request, or the last one, is cut off; once a
  /// request.
  void ReportCut(std::string aEndedBy);

  [[nodiscard]] const HttpRequest& Request() const override { return this->request; }
  [[nodiscard]] Endpoint Caller() const override;
  [[nodiscard]] Duration ReceiveTime() const override;
  [[nodiscard]] bool CallerGone() const override { return this->callerGone; }
  void OnCallerGone(std::function<void()> aListener) override;
  void OnFinalAnswerDue(std::function<void()> aListener) override;
  [[nodiscard]] bool IsFinalAnswerDue() const override { return this->finalAnswerDue; }
  Task<bool> Respond(HttpResponse aResponse) override;
  Task<bool> BeginStream(int aStatus, HttpHeaders aHeaders) override;
  Task<bool> WriteChunk(std::string_view aBytes) override;
  Task<bool> FinishStream() override;
  Task<> RelayTo(boost::asio::ip::tcp::socket aServer) override;
  void BreakOff() override;

private:
  Task<bool> ReadRequest();
  /// Waits for the first byte of a request. @returns false when the caller closed or the
  /// connection was idle for too long.
  Task<bool> AwaitFirstByte();
  /// Discards the line ends before a request.
  void DiscardLineEnds();
  /// @param aSilence see AwaitClose()
  Task<> Reject(HttpResponse aResponse, const char* aType, Duration aSilence);
  Task<> RejectMalformed(int aStatus, const char* aType, const std::string& aMessage);
  /// Answers a request that could not be read, where an answer can still reach the
  /// caller.
  Task<> RejectUnread(boost::beast::error_code aError);
  Task<> RejectForStop();
  Task<> RejectForMemory();
  /// Gives the memory of the present request back, except for its head.
  void ReleaseRequest();
  Task<> RunHandler();
  /// Waits until the caller has received the answer and closed the connection. Discards
  /// what it still sends.
  /// @param aSilence time without input after which the caller is given up
  Task<> AwaitClose(Duration aSilence);
  /// True while a connection that was kept has not brought the last answer to the caller.
  [[nodiscard]] bool IsLastAnswerOnItsWay();
  /// Takes from the server what a slow caller has not read yet. The kernel delivers it,
  /// also after the end of the process.
  void PassAnswerToKernel();
  void CloseIfQuiet();
  void RejectArrivingRequest();
  void AskForFinalAnswer();
  void WatchCaller();
  void StopWatching();
  void NoteCallerGone();
  /// A write to the caller failed.
  void NoteWriteFailed(boost::beast::error_code aError);
  /// Reports a request whose handler ended without a whole answer.
  void ReportUnanswered();
  /// Decides, for the head of an answer, whether the connection stays open after it.
  [[nodiscard]] bool DecideToClose();
  [[nodiscard]] Duration QuietTime(TimePoint aNow) const;
  void OnFirstByte();
  /// @param aState nothing once the connection is closed
  void EnterState(std::optional<ConnectionState> aState);
  void CountLostOutput();

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  std::shared_ptr<Context> context;
  /// Set while a request is read or processed; holds its memory.
  std::optional<RequestReader> reader;
  HttpRequest request;
  std::function<void()> goneListener;
  std::function<void()> finalAnswerListener;
  std::optional<ConnectionState> state = ConnectionState::AwaitingRequest;
  /// Time at which the connection was accepted or its last answer ended; in a planned
  /// stop, at which the caller had received that answer.
  TimePoint quietSince = BootClock::now();
  TimePoint firstByteAt{};
  /// When the whole request had been read.
  std::optional<TimePoint> readAt;
  std::uint64_t watchSerial = 0;
  unsigned httpVersion = 11;
  /// The answer to a HEAD request has no body.
  bool headOnly = false;
  bool keepAlive = true;
  /// The request that is arriving is rejected because of a planned stop.
  bool rejectedForStop = false;
  bool finalAnswerDue = false;
  bool isAborted = false;
  bool callerGone = false;
  /// The caller did not take the bytes of its answer in time.
  bool writeTimedOut = false;
  bool isCutReported = false;
  bool hasLargeSendBuffer = false;
  bool answerFinished = false;
};

} // namespace toucanstand
