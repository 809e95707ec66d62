#include "http/HttpSession.h"

#include <algorithm>
#include <array>
#include <tuple>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http.hpp>
#include <spdlog/spdlog.h>

#include "http/ByteRelay.h"
#include "http/SocketOptions.h"

namespace toucanstand {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr Duration kUserTimeout = std::chrono::seconds(15);
constexpr std::size_t kFirstRead = 4096;
/// Time without input for a caller that has received the whole answer and does not close
/// the connection.
constexpr Duration kCloseTimeout = std::chrono::milliseconds(500);
/// Input that is discarded after an answer, beyond the largest body.
constexpr std::size_t kMinDiscardedBytes = 1U << 20U;
constexpr unsigned kHttp11 = 11;

template<typename Body>
void FillHead(http::response<Body>& aResponse,
              unsigned aVersion,
              int aStatus,
              const HttpHeaders& aHeaders,
              bool aClose)
{
  aResponse.version(aVersion);
  aResponse.result(static_cast<unsigned>(aStatus));
  for (const auto& [name, value] : aHeaders.Fields()) {
    aResponse.insert(name, value);
  }
  aResponse.keep_alive(!aClose);
}

/// Room for input that nobody looks at; shared by all connections of a loop. Large, since
/// each read of a client that sends without end costs processor time.
asio::mutable_buffer DiscardBuffer()
{
  constexpr std::size_t kSize = 64U << 10U;
  thread_local std::array<char, kSize> bytes;
  return asio::buffer(bytes);
}

} // namespace

HttpSession::HttpSession(asio::ip::tcp::socket aSocket, std::shared_ptr<Context> aContext)
  : stream(std::move(aSocket))
  , context(std::move(aContext))
{
  SetLivenessOptions(this->stream.socket(), kUserTimeout);
  this->context->connections.Add(*this->state);
}

HttpSession::~HttpSession()
{
  this->EnterState(std::nullopt);
}

Task<> HttpSession::Run()
{
  while (co_await this->ReadRequest()) {
    co_await this->RunHandler();
    if (!this->answerFinished || this->callerGone) {
      this->ReportUnanswered();
      break;
    }
    if (!this->keepAlive) {
      co_await this->AwaitClose(kCloseTimeout);
      break;
    }
    this->quietSince = BootClock::now();
  }
  this->CountLostOutput();
  beast::error_code ignored;
  this->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  this->stream.close();
  this->EnterState(std::nullopt);
}

void HttpSession::AdvanceStop(StopPhase aPhase, TimePoint aNow)
{
  if (!this->state) {
    return;
  }
  if (this->IsLastAnswerOnItsWay()) {
    // The caller can't send its next request before it has the end of the last answer.
    this->quietSince = aNow;
  }
  if (aPhase >= StopPhase::Closing && this->state == ConnectionState::SendingAnswer) {
    this->PassAnswerToKernel();
  }
  switch (ActionDuringStop(aPhase, *this->state, this->QuietTime(aNow))) {
    case StopAction::None:
      return;
    case StopAction::CloseIfQuiet:
      this->CloseIfQuiet();
      return;
    case StopAction::RejectRequest:
      this->RejectArrivingRequest();
      return;
    case StopAction::AskForFinalAnswer:
      this->AskForFinalAnswer();
      return;
    case StopAction::BreakOff:
      if (this->LacksAnswer()) {
        this->ReportCut("stop");
      }
      this->AskForFinalAnswer();
      this->Abort();
      return;
  }
}

void HttpSession::PassAnswerToKernel()
{
  if (!std::exchange(this->hasLargeSendBuffer, true)) {
    EnlargeSendBuffer(this->stream.socket());
  }
}

void HttpSession::Abort()
{
  this->isAborted = true;
  this->BreakOff();
  this->stream.close();
}

bool HttpSession::LacksAnswer() const
{
  return this->state == ConnectionState::ReceivingRequest ||
         this->state == ConnectionState::AwaitingAnswer ||
         (this->state == ConnectionState::SendingAnswer && !this->answerFinished);
}

bool HttpSession::IsAnswerUnreceived()
{
  const bool isAnswered = this->state && !this->LacksAnswer();
  // The handler counts a request that got its final answer.
  return isAnswered && !this->finalAnswerDue &&
         UnacknowledgedBytes(this->stream.socket()) > 0;
}

void HttpSession::ReportUnanswered()
{
  const bool isCallersChoice = this->callerGone && !this->writeTimedOut;
  if (this->answerFinished || this->isAborted || isCallersChoice) {
    return;
  }
  const auto& reason = this->Progress().endReason;
  this->ReportCut(this->writeTimedOut ? "write_timeout"
                                      : (reason.empty() ? "handler_failed" : reason));
}

void HttpSession::ReportCut(std::string aEndedBy)
{
  if (this->isCutReported || !this->state || !this->context->onCut) {
    return;
  }
  this->isCutReported = true;
  this->context->onCut(CutRequest{ this->request,
                                   this->Progress(),
                                   *this->state,
                                   this->firstByteAt,
                                   this->readAt,
                                   UnacknowledgedBytes(this->stream.socket()),
                                   std::move(aEndedBy) });
}

bool HttpSession::IsLastAnswerOnItsWay()
{
  return this->state == ConnectionState::AwaitingRequest &&
         UnacknowledgedBytes(this->stream.socket()) > 0;
}

Duration HttpSession::QuietTime(TimePoint aNow) const
{
  return aNow - this->quietSince;
}

void HttpSession::CloseIfQuiet()
{
  boost::system::error_code error;
  const bool requestArriving =
    this->buffer.size() > 0 || this->stream.socket().available(error) > 0;
  if (!requestArriving) {
    this->stream.cancel();
  }
}

void HttpSession::RejectArrivingRequest()
{
  // Repeated until it takes effect: a read that has just finished is not cancelled.
  this->rejectedForStop = true;
  this->stream.cancel();
}

void HttpSession::AskForFinalAnswer()
{
  this->finalAnswerDue = true;
  if (const auto listener = std::exchange(this->finalAnswerListener, nullptr)) {
    listener();
  }
}

Endpoint HttpSession::Caller() const
{
  beast::error_code error;
  const auto remote = this->stream.socket().remote_endpoint(error);
  return error ? Endpoint{} : Endpoint{ remote.address().to_string(), remote.port() };
}

Duration HttpSession::ReceiveTime() const
{
  return this->readAt ? *this->readAt - this->firstByteAt : Duration::zero();
}

void HttpSession::OnCallerGone(std::function<void()> aListener)
{
  if (this->callerGone) {
    aListener();
    return;
  }
  this->goneListener = std::move(aListener);
}

void HttpSession::OnFinalAnswerDue(std::function<void()> aListener)
{
  if (this->finalAnswerDue) {
    aListener();
    return;
  }
  this->finalAnswerListener = std::move(aListener);
}

Task<bool> HttpSession::ReadRequest()
{
  this->httpVersion = kHttp11;
  this->headOnly = false;
  if (!co_await this->AwaitFirstByte()) {
    co_return false;
  }
  // A connection may be idle for long: the limits are those in force when the request
  // comes. The buffer also holds the size line of a chunk and the trailers, which the
  // parser does not limit.
  this->buffer.max_size(kFirstRead + 2 * this->context->limits.headerBytes);
  this->reader.emplace(this->stream,
                       this->buffer,
                       this->context->limits,
                       this->context->requestMemory,
                       this->Caller().address);
  this->stream.expires_after(this->context->limits.headerTimeout);
  const auto headError = co_await this->reader->ReadHead();
  if (headError) {
    co_await this->RejectUnread(headError);
    co_return false;
  }
  if (this->reader->HasUnknownFraming()) {
    co_await this->RejectMalformed(
      400, "malformed_request", "the last transfer coding must be chunked");
    co_return false;
  }
  if (!this->reader->IsComplete()) {
    // Names the request in the log if its body does not come to its end.
    this->request = this->reader->Head();
  }
  if (this->context->stopPhase >= StopPhase::Closing) {
    co_await this->RejectForStop();
    co_return false;
  }
  if (this->reader->ExpectsContinue()) {
    http::response<http::empty_body> proceed{ http::status::continue_, 11 };
    auto [proceedError, proceedBytes] =
      co_await http::async_write(this->stream, proceed, kAwait);
    if (proceedError) {
      co_await this->RejectUnread(proceedError);
      co_return false;
    }
  }
  this->stream.expires_after(this->context->limits.requestTimeout);
  const auto bodyError = co_await this->reader->ReadBody();
  if (bodyError) {
    co_await this->RejectUnread(bodyError);
    co_return false;
  }
  this->readAt = BootClock::now();
  this->httpVersion = this->reader->Version();
  this->keepAlive = this->reader->KeepsAlive();
  this->request = this->reader->Take();
  this->headOnly = this->request.method == "HEAD";
  if (const char* fault = FindFault(this->request, this->httpVersion)) {
    co_await this->RejectMalformed(400, "malformed_request", fault);
    co_return false;
  }
  co_return true;
}

Task<bool> HttpSession::AwaitFirstByte()
{
  this->EnterState(ConnectionState::AwaitingRequest);
  this->stream.expires_after(this->context->limits.idleTimeout);
  this->DiscardLineEnds();
  while (this->buffer.size() == 0) {
    auto [error, bytes] =
      co_await this->stream.async_read_some(this->buffer.prepare(kFirstRead), kAwait);
    // The bytes may have come after CloseIfQuiet() had found none.
    if (error == asio::error::operation_aborted && !this->isAborted &&
        HasUnreadBytes(this->stream.socket())) {
      continue;
    }
    if (error) {
      co_return false;
    }
    this->buffer.commit(bytes);
    this->DiscardLineEnds();
  }
  this->OnFirstByte();
  co_return true;
}

void HttpSession::DiscardLineEnds()
{
  // Some callers end a body with a line end that its length does not count. RFC 9112,
  // section 2.2: it is no part of the next request.
  const auto data = this->buffer.cdata();
  const std::string_view bytes(static_cast<const char*>(data.data()), data.size());
  this->buffer.consume(std::min(bytes.find_first_not_of("\r\n"), bytes.size()));
}

Task<> HttpSession::RejectUnread(beast::error_code aError)
{
  if (this->rejectedForStop) {
    co_await this->RejectForStop();
    co_return;
  }
  if (this->reader && this->reader->Refusal()) {
    co_await this->RejectForMemory();
    co_return;
  }
  if (aError == http::error::end_of_stream || aError == asio::error::operation_aborted ||
      aError == beast::error::timeout ||
      aError.category() == asio::error::get_system_category()) {
    co_return;
  }
  int status = 400;
  const char* type = "malformed_request";
  if (aError == http::error::body_limit) {
    status = 413;
    type = "body_too_large";
  } else if (aError == http::error::header_limit ||
             aError == http::error::buffer_overflow) {
    status = 431;
    type = "headers_too_large";
  }
  co_await this->RejectMalformed(status, type, aError.message());
}

Task<> HttpSession::RejectMalformed(int aStatus,
                                    const char* aType,
                                    const std::string& aMessage)
{
  auto response = ErrorResponse(aStatus, aType, aMessage);
  response.headers.Add("Toucanstand-Outcome", "not-run");
  co_await this->Reject(std::move(response), aType, kCloseTimeout);
}

Task<> HttpSession::RejectForMemory()
{
  const std::string part = this->reader->MainPart();
  const bool isTooLarge =
    this->reader->Refusal() == RequestReader::MemoryRefusal::TooLarge;
  this->context->metrics.Count("requests_beyond_memory_total{holder=\"" + part + "\"}");
  this->ReleaseRequest();
  this->buffer.clear();
  this->buffer.shrink_to_fit();
  if (isTooLarge) {
    co_await this->RejectMalformed(
      413, "body_too_large", "the request exceeds the memory for requests");
    co_return;
  }
  auto response = this->context->makeMemoryRejection();
  co_await this->Reject(std::move(response), "no_request_memory", kCloseTimeout);
}

void HttpSession::ReleaseRequest()
{
  this->request.body = std::string();
  this->reader.reset();
  if (this->buffer.capacity() > kFirstRead) {
    this->buffer.shrink_to_fit();
  }
}

Task<> HttpSession::RejectForStop()
{
  auto response = this->context->makeStopRejection();
  // The caller may still send, and would lose the answer if the connection were closed.
  co_await this->Reject(
    std::move(response), "stopping", this->context->limits.requestTimeout);
}

Task<> HttpSession::Reject(HttpResponse aResponse, const char* aType, Duration aSilence)
{
  this->context->metrics.Count(std::string("http_rejected_total{type=\"") + aType +
                               "\"}");
  this->keepAlive = false;
  // A request that still held memory could have to give way, which would end the answer.
  this->ReleaseRequest();
  const bool isSent = co_await this->Respond(std::move(aResponse));
  if (isSent) {
    co_await this->AwaitClose(aSilence);
  }
}

Task<> HttpSession::AwaitClose(Duration aSilence)
{
  using namespace asio::experimental::awaitable_operators;
  // Closing with unread input makes the kernel reset the connection, and the caller
  // could lose the end of the answer.
  this->EnterState(ConnectionState::AwaitingClose);
  this->ReleaseRequest();
  auto& socket = this->stream.socket();
  beast::error_code ignored;
  socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  const auto silence = std::chrono::duration_cast<asio::steady_timer::duration>(aSilence);
  const auto giveUpAt = BootClock::now() + this->context->limits.writeTimeout;
  const auto maxDiscarded = kMinDiscardedBytes + this->context->limits.bodyBytes;
  std::size_t discarded = 0;
  while (discarded < maxDiscarded && BootClock::now() < giveUpAt) {
    // Not the timer of the stream, which closes the socket.
    asio::steady_timer timer(socket.get_executor(), silence);
    const auto next = co_await (socket.async_read_some(DiscardBuffer(), kAwait) ||
                                timer.async_wait(kAwait));
    const bool timedOut = next.index() == 1;
    if (timedOut && UnacknowledgedBytes(socket) == 0) {
      co_return;
    }
    if (!timedOut) {
      const auto [error, bytes] = std::get<0>(next);
      if (error) {
        co_return;
      }
      discarded += bytes;
    }
  }
}

Task<> HttpSession::RunHandler()
{
  this->callerGone = false;
  this->writeTimedOut = false;
  this->answerFinished = false;
  this->goneListener = nullptr;
  this->finalAnswerListener = nullptr;
  this->finalAnswerDue = false;
  this->EnterState(ConnectionState::AwaitingAnswer);
  this->WatchCaller();
  try {
    co_await this->context->handler(*this);
  } catch (const std::exception& error) {
    this->context->metrics.Count("http_handler_exceptions_total");
    spdlog::error("request handler failed: {}", error.what());
  }
  this->StopWatching();
  this->ReleaseRequest();
}

Task<bool> HttpSession::Respond(HttpResponse aResponse)
{
  this->answerFinished = false;
  this->EnterState(ConnectionState::SendingAnswer);
  http::response<http::string_body> message;
  FillHead(message,
           this->httpVersion,
           aResponse.status,
           aResponse.headers,
           this->DecideToClose());
  message.body() = std::move(aResponse.body);
  message.prepare_payload();
  this->stream.expires_after(this->context->limits.writeTimeout);
  http::response_serializer<http::string_body> serializer(message);
  // The head of an answer to HEAD states the length of the body that GET would bring.
  beast::error_code error;
  if (this->headOnly) {
    std::tie(error, std::ignore) =
      co_await http::async_write_header(this->stream, serializer, kAwait);
  } else {
    std::tie(error, std::ignore) =
      co_await http::async_write(this->stream, serializer, kAwait);
  }
  this->answerFinished = !error;
  if (error) {
    this->NoteWriteFailed(error);
  }
  co_return !error;
}

Task<bool> HttpSession::BeginStream(int aStatus, HttpHeaders aHeaders)
{
  if (this->httpVersion < 11) {
    this->keepAlive = false;
    co_await this->Respond(
      ErrorResponse(505, "http_version", "a streamed answer needs HTTP/1.1"));
    co_return false;
  }
  this->EnterState(ConnectionState::SendingAnswer);
  http::response<http::empty_body> message;
  FillHead(message, this->httpVersion, aStatus, aHeaders, this->DecideToClose());
  message.chunked(true);
  http::response_serializer<http::empty_body> serializer(message);
  this->stream.expires_after(this->context->limits.writeTimeout);
  auto [error, bytes] =
    co_await http::async_write_header(this->stream, serializer, kAwait);
  if (error) {
    this->NoteWriteFailed(error);
  }
  co_return !error;
}

Task<bool> HttpSession::WriteChunk(std::string_view aBytes)
{
  if (aBytes.empty()) {
    co_return !this->callerGone;
  }
  this->stream.expires_after(this->context->limits.writeTimeout);
  auto [error, bytes] = co_await asio::async_write(
    this->stream,
    http::make_chunk(asio::const_buffer(aBytes.data(), aBytes.size())),
    kAwait);
  if (error) {
    this->NoteWriteFailed(error);
  }
  co_return !error;
}

Task<bool> HttpSession::FinishStream()
{
  this->stream.expires_after(this->context->limits.writeTimeout);
  auto [error, bytes] =
    co_await asio::async_write(this->stream, http::make_chunk_last(), kAwait);
  this->answerFinished = !error;
  if (error) {
    this->NoteWriteFailed(error);
  }
  co_return !error;
}

Task<> HttpSession::RelayTo(asio::ip::tcp::socket aServer)
{
  this->EnterState(ConnectionState::SendingAnswer);
  this->StopWatching();
  this->BreakOff();
  http::response<http::empty_body> message{ http::status::switching_protocols, 11 };
  message.set(http::field::connection, "Upgrade");
  message.set(http::field::upgrade, "tunnel");
  this->stream.expires_after(this->context->limits.writeTimeout);
  auto [error, bytes] = co_await http::async_write(this->stream, message, kAwait);
  this->stream.expires_never();
  if (!error) {
    co_await RelayBytes(this->stream.socket(), aServer);
  }
}

void HttpSession::BreakOff()
{
  this->answerFinished = false;
  this->keepAlive = false;
}

void HttpSession::WatchCaller()
{
  const auto serial = ++this->watchSerial;
  this->stream.socket().async_wait(
    asio::ip::tcp::socket::wait_read,
    [self = this->shared_from_this(), serial](const beast::error_code& aError) {
      // Readable without end of file means a pipelined request; watching on would spin.
      if (serial == self->watchSerial && !aError &&
          PeerHasClosed(self->stream.socket())) {
        self->NoteCallerGone();
      }
    });
}

void HttpSession::StopWatching()
{
  ++this->watchSerial;
  this->goneListener = nullptr;
  this->finalAnswerListener = nullptr;
  beast::error_code ignored;
  this->stream.socket().cancel(ignored);
}

void HttpSession::NoteWriteFailed(beast::error_code aError)
{
  // The kernel's own timeout may come first. Later writes fail for another reason.
  this->writeTimedOut = this->writeTimedOut || aError == beast::error::timeout ||
                        aError == asio::error::timed_out;
  this->NoteCallerGone();
}

void HttpSession::NoteCallerGone()
{
  if (this->callerGone || this->isAborted) {
    return;
  }
  this->callerGone = true;
  if (const auto listener = std::exchange(this->goneListener, nullptr)) {
    listener();
  }
}

void HttpSession::OnFirstByte()
{
  this->firstByteAt = BootClock::now();
  this->readAt.reset();
  this->request = HttpRequest{};
  this->isCutReported = false;
  this->ClearProgress();
  this->EnterState(ConnectionState::ReceivingRequest);
}

void HttpSession::EnterState(std::optional<ConnectionState> aState)
{
  if (this->state) {
    this->context->connections.Remove(*this->state);
  }
  this->state = aState;
  if (this->state) {
    this->context->connections.Add(*this->state);
  }
}

void HttpSession::CountLostOutput()
{
  // The kernel drops unacknowledged bytes when a connection is closed with unread input.
  beast::error_code error;
  auto& socket = this->stream.socket();
  const bool hasUnreadInput = socket.available(error) > 0;
  if (this->answerFinished && hasUnreadInput && UnacknowledgedBytes(socket) > 0) {
    this->context->metrics.Count("http_answers_truncated_total");
  }
}

bool HttpSession::DecideToClose()
{
  // The caller relies on what the head says, even if a stop begins while the body is
  // sent.
  this->keepAlive = this->keepAlive && this->context->stopPhase == StopPhase::Serving;
  return !this->keepAlive;
}

} // namespace toucanstand
