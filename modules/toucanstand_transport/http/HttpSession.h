#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>

#include "http/ConnectionState.h"
#include "http/HttpExchange.h"
#include "http/HttpServer.h"

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
    bool announceClose = false;
    bool draining = false;
  };

  HttpSession(boost::asio::ip::tcp::socket aSocket, std::shared_ptr<Context> aContext);
  ~HttpSession() override;

  /// Serves requests until either side closes.
  Task<> Run();

  /// Closes the connection unless a request is in progress or has begun to arrive.
  void CloseIfIdle();

  [[nodiscard]] const HttpRequest& Request() const override { return this->request; }
  [[nodiscard]] Endpoint Caller() const override;
  [[nodiscard]] Duration ReceiveTime() const override { return this->receiveTime; }
  [[nodiscard]] bool CallerGone() const override { return this->callerGone; }
  void OnCallerGone(std::function<void()> aListener) override;
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
  Task<> Reject(int aStatus, const char* aType, std::string aMessage);
  Task<> RejectMalformed(boost::beast::error_code aError);
  Task<> RunHandler();
  /// Waits until the caller has received the answer and closed the connection. Discards
  /// what it still sends.
  Task<> AwaitClose();
  void WatchCaller();
  void StopWatching();
  void NoteCallerGone();
  [[nodiscard]] bool ClosesAfterAnswer() const;
  void OnFirstByte();
  /// @param aState nothing once the connection is closed
  void EnterState(std::optional<ConnectionState> aState);
  void CountLostOutput();

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  std::shared_ptr<Context> context;
  HttpRequest request;
  std::function<void()> goneListener;
  std::optional<ConnectionState> state = ConnectionState::AwaitingRequest;
  TimePoint firstByteAt{};
  Duration receiveTime{ 0 };
  std::uint64_t watchSerial = 0;
  unsigned httpVersion = 11;
  /// The answer to a HEAD request has no body.
  bool headOnly = false;
  bool keepAlive = true;
  bool callerGone = false;
  bool answerFinished = false;
};

} // namespace toucanstand
