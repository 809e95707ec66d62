#pragma once

#include <functional>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

#include "http/HttpMessage.h"
#include "http/ServerProgress.h"
#include "http/Task.h"
#include "network/Endpoint.h"
#include "time/BootClock.h"

namespace toucanstand {

/// One request of a caller and the answer to it.
///
/// A handler either calls Respond() once, or BeginStream(), WriteChunk() and
/// FinishStream(). When a handler returns without finishing, the connection is closed,
/// so that the caller can't take a part for the whole.
class HttpExchange
{
public:
  HttpExchange() = default;
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;
  virtual ~HttpExchange() = default;

  [[nodiscard]] virtual const HttpRequest& Request() const = 0;
  [[nodiscard]] virtual Endpoint Caller() const = 0;

  /// Time from the first to the last byte of the request.
  [[nodiscard]] virtual Duration ReceiveTime() const = 0;

  /// True once the caller closed its side. A half-closed connection counts as closed.
  [[nodiscard]] virtual bool CallerGone() const = 0;

  /// Called once, on the loop, when the caller closes its side; at once if it has.
  virtual void OnCallerGone(std::function<void()> aListener) = 0;

  /// Called at most once, on the loop, when a planned stop needs the answer now: the
  /// process can't wait for a backend server any longer.
  virtual void OnFinalAnswerDue(std::function<void()> aListener) = 0;

  /// True once the listener of OnFinalAnswerDue() was or would have been called.
  [[nodiscard]] virtual bool IsFinalAnswerDue() const = 0;

  /// Sends a whole answer. @returns false when the caller was gone.
  virtual Task<bool> Respond(HttpResponse aResponse) = 0;

  /// Starts a chunked answer. @returns false when the caller was gone.
  virtual Task<bool> BeginStream(int aStatus, HttpHeaders aHeaders) = 0;
  virtual Task<bool> WriteChunk(std::string_view aBytes) = 0;

  /// Ends a chunked answer as complete.
  virtual Task<bool> FinishStream() = 0;

  /// Answers that the connection now is one to a server, and copies bytes between the
  /// caller and the server until either of them closes. The exchange ends with it.
  virtual Task<> RelayTo(boost::asio::ip::tcp::socket aServer) = 0;

  /// Closes the connection so that the caller sees that the answer is not complete.
  virtual void BreakOff() = 0;

  /// What the handler has recorded of the backend server's part.
  [[nodiscard]] ServerProgress& Progress() { return this->progress; }
  [[nodiscard]] const ServerProgress& Progress() const { return this->progress; }

protected:
  /// Forgets what was recorded of the request before.
  void ClearProgress() { this->progress = {}; }

private:
  ServerProgress progress;
};

} // namespace toucanstand
