#include "http/HttpClient.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "http/ResponseHead.h"
#include "http/SocketOptions.h"

namespace toucanstand {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr Duration kUserTimeout = std::chrono::seconds(10);
constexpr std::size_t kMostIdlePerEndpoint = 64;
constexpr Duration kLongestIdle = std::chrono::seconds(30);
/// Bytes that were read and not yet parsed. The parser asks for more until the size line
/// of a chunk or the trailers end, which its own limits do not cover.
constexpr std::size_t kMostUnparsed = 2 * kMaxResponseHeadBytes;
/// Interim responses (1xx) before the final one; a server sends one or two.
constexpr std::size_t kMaxInterimResponses = 8;
/// Room for one read of a body; part of the coroutine frame of each open stream.
constexpr std::size_t kReadBytes = 4096;
/// Time for a response that the server sent before it refused the rest of a request.
constexpr Duration kEarlyResponse = std::chrono::milliseconds(100);
/// A VM accepts a connection within one round trip.
constexpr Duration kProxyConnectTimeout = std::chrono::milliseconds(150);
/// Time for a proxy to connect to the destination.
constexpr Duration kProxyAnswerTimeout = std::chrono::milliseconds(300);
/// Proxies that are asked for one connection.
constexpr std::size_t kMaxProxies = 4;
/// Proxies that must fail to connect before the destination counts as lost. One of them
/// may itself be cut off without knowing it yet.
constexpr std::size_t kFailuresOfDestination = 2;

struct Connection
{
  explicit Connection(asio::io_context& aLoop)
    : stream(aLoop)
  {
  }
  beast::tcp_stream stream;
  beast::flat_buffer buffer{ kMostUnparsed };
  TimePoint idleSince{};
};

using ConnectionPointer = std::unique_ptr<Connection>;

/// Arms a switch for the time of one wait.
class CancelScope
{
public:
  CancelScope(CancelSwitch& aCancel, beast::tcp_stream& aStream)
    : cancel(aCancel)
  {
    this->cancel.Arm([&aStream] { aStream.cancel(); });
  }
  ~CancelScope() { this->cancel.Disarm(); }
  CancelScope(const CancelScope&) = delete;
  CancelScope& operator=(const CancelScope&) = delete;

private:
  CancelSwitch& cancel;
};

/// Cancels what a stream waits for when the time is up and no more is granted. The timer
/// of the stream itself can't be moved while an operation is in progress.
class WaitLimit
{
public:
  WaitLimit(beast::tcp_stream& aStream, WaitExtension aExtend)
    : wait(std::make_shared<Wait>(aStream, std::move(aExtend)))
  {
    aStream.expires_never();
  }
  ~WaitLimit() { this->End(); }
  WaitLimit(const WaitLimit&) = delete;
  WaitLimit& operator=(const WaitLimit&) = delete;

  void Begin(Duration aTimeout)
  {
    this->wait->hasTimedOut = false;
    Arm(this->wait, aTimeout);
  }

  /// The same without an extension, from now on.
  void BeginFinal(Duration aTimeout)
  {
    this->wait->extend = nullptr;
    this->Begin(aTimeout);
  }

  void End()
  {
    ++this->wait->round;
    this->wait->timer.cancel();
  }

  [[nodiscard]] bool HasTimedOut() const { return this->wait->hasTimedOut; }

private:
  struct Wait
  {
    Wait(beast::tcp_stream& aStream, WaitExtension aExtend)
      : stream(aStream)
      , timer(aStream.get_executor())
      , extend(std::move(aExtend))
    {
    }
    beast::tcp_stream& stream;
    asio::steady_timer timer;
    WaitExtension extend;
    /// A handler that was queued when its round ended is called without an error.
    std::uint64_t round = 0;
    bool hasTimedOut = false;
  };

  static void Arm(const std::shared_ptr<Wait>& aWait, Duration aTimeout)
  {
    aWait->timer.expires_after(aTimeout);
    aWait->timer.async_wait([weak = std::weak_ptr<Wait>(aWait),
                             round = ++aWait->round](const beast::error_code& aError) {
      const auto overdue = weak.lock();
      if (!overdue || aError || overdue->round != round) {
        return;
      }
      const auto more = overdue->extend ? overdue->extend() : Duration::zero();
      if (more > Duration::zero()) {
        Arm(overdue, more);
        return;
      }
      overdue->hasTimedOut = true;
      overdue->stream.cancel();
    });
  }

  std::shared_ptr<Wait> wait;
};

HttpFailure ReadFailure(const beast::error_code& aError,
                        const CancelSwitch& aCancel,
                        const WaitLimit& aLimit,
                        HttpFailure aTimedOut,
                        HttpFailure aBroken)
{
  if (aCancel.IsTripped()) {
    return HttpFailure::Cancelled;
  }
  if (aLimit.HasTimedOut()) {
    return aTimedOut;
  }
  const bool ended =
    aError == http::error::end_of_stream || aError == http::error::partial_message;
  if (!ended &&
      aError.category() == http::make_error_code(http::error::bad_value).category()) {
    return HttpFailure::Malformed;
  }
  return aBroken;
}

} // namespace

const char* Name(HttpFailure aFailure)
{
  constexpr std::array kNames = { "connect_refused",    "connect_timed_out",
                                  "send_broken",        "head_timed_out",
                                  "broken_before_head", "broken_in_body",
                                  "body_timed_out",     "too_large",
                                  "malformed",          "cancelled" };
  return kNames.at(static_cast<std::size_t>(aFailure));
}

bool NothingWasSent(HttpFailure aFailure)
{
  return aFailure == HttpFailure::ConnectRefused ||
         aFailure == HttpFailure::ConnectTimedOut;
}

class HttpClient::Implementation
{
public:
  Implementation(asio::io_context& aLoop,
                 MetricsRegistry& aMetrics,
                 UnframedBody aUnframed)
    : loop(aLoop)
    , metrics(aMetrics)
    , unframed(aUnframed)
  {
  }

  /// An idle connection that still looks open; nothing when there is none.
  ConnectionPointer TakeIdle(const Endpoint& aEndpoint)
  {
    auto& connections = this->idle[aEndpoint];
    while (!connections.empty()) {
      auto connection = std::move(connections.back());
      connections.pop_back();
      const bool fresh = BootClock::now() - connection->idleSince < kLongestIdle;
      auto& socket = connection->stream.socket();
      // Unread bytes are a surplus answer to an earlier request.
      if (fresh && !PeerHasClosed(socket) && !HasUnreadBytes(socket)) {
        return connection;
      }
    }
    return nullptr;
  }

  void GiveBack(const Endpoint& aEndpoint, ConnectionPointer aConnection)
  {
    auto& connections = this->idle[aEndpoint];
    if (connections.size() < kMostIdlePerEndpoint && aConnection->buffer.size() == 0) {
      aConnection->stream.expires_never();
      aConnection->idleSince = BootClock::now();
      connections.push_back(std::move(aConnection));
    }
  }

  /// Connects directly or through a proxy.
  Task<Result<ConnectionPointer, HttpFailure>> Reach(Endpoint aDestination,
                                                     Duration aTimeout,
                                                     CancelSwitch& aCancel);
  Task<Result<ConnectionPointer, HttpFailure>> ReachDirectly(Endpoint aDestination,
                                                             Duration aTimeout,
                                                             CancelSwitch& aCancel);

  asio::io_context& loop; // NOLINT(misc-non-private-member-variables-in-classes)
  MetricsRegistry& metrics;
  UnframedBody unframed;
  std::map<Endpoint, std::vector<ConnectionPointer>> idle;
  /// Null to connect directly.
  ConnectionPaths* paths = nullptr;
};

namespace {

class OpenStream final : public HttpClientStream
{
public:
  using GiveBack = std::function<void(ConnectionPointer)>;

  OpenStream(ConnectionPointer aConnection,
             std::unique_ptr<ResponseParser> aParser,
             const HttpDeadlines& aDeadlines,
             UnframedBody aUnframed,
             GiveBack aGiveBack)
    : connection(std::move(aConnection))
    , limit(this->connection->stream, aDeadlines.extend)
    , parser(std::move(aParser))
    , progress(aDeadlines.progress)
    , unframed(aUnframed)
    , giveBack(std::move(aGiveBack))
  {
    for (const auto& field : this->parser->get()) {
      this->headers.Add(std::string(field.name_string()), std::string(field.value()));
    }
  }

  [[nodiscard]] int Status() const override
  {
    return static_cast<int>(this->parser->get().result_int());
  }

  [[nodiscard]] const HttpHeaders& Headers() const override { return this->headers; }
  void SetProgressTimeout(Duration aTimeout) override { this->progress = aTimeout; }

  [[nodiscard]] std::size_t UnreadBytes() const override
  {
    boost::system::error_code error;
    return this->connection ? this->connection->buffer.size() +
                                this->connection->stream.socket().available(error)
                            : 0;
  }

  Task<Result<std::string, HttpFailure>> Read(CancelSwitch& aCancel) override
  {
    if (this->parser->need_eof() && this->unframed == UnframedBody::Refuse) {
      co_return HttpFailure::BrokenInBody;
    }
    while (!this->parser->is_done()) {
      if (aCancel.IsTripped()) {
        co_return HttpFailure::Cancelled;
      }
      std::array<char, kReadBytes> bytes; // NOLINT: written before it is read
      auto& body = this->parser->get().body();
      body.data = bytes.data();
      body.size = bytes.size();
      const CancelScope scope(aCancel, this->connection->stream);
      this->limit.Begin(this->progress);
      auto [error, count] = co_await http::async_read_some(
        this->connection->stream, this->connection->buffer, *this->parser, kAwait);
      this->limit.End();
      if (error == http::error::need_buffer) {
        error = {};
      }
      if (error || aCancel.IsTripped()) {
        co_return ReadFailure(error,
                              aCancel,
                              this->limit,
                              HttpFailure::BodyTimedOut,
                              HttpFailure::BrokenInBody);
      }
      const std::size_t received = bytes.size() - body.size;
      if (received > 0) {
        co_return std::string(bytes.data(), received);
      }
    }
    if (this->connection && this->parser->keep_alive()) {
      this->giveBack(std::move(this->connection));
    }
    co_return std::string();
  }

private:
  ConnectionPointer connection;
  WaitLimit limit;
  std::unique_ptr<ResponseParser> parser;
  HttpHeaders headers;
  Duration progress;
  UnframedBody unframed;
  GiveBack giveBack;
};

Task<Result<ConnectionPointer, HttpFailure>> Connect(asio::io_context& aLoop,
                                                     const Endpoint& aEndpoint,
                                                     Duration aTimeout,
                                                     CancelSwitch& aCancel)
{
  auto connection = std::make_unique<Connection>(aLoop);
  boost::system::error_code addressError;
  const auto address = asio::ip::make_address(aEndpoint.address, addressError);
  if (addressError) {
    co_return HttpFailure::ConnectRefused;
  }
  const tcp::endpoint remote(address, aEndpoint.port);
  const CancelScope scope(aCancel, connection->stream);
  connection->stream.expires_after(aTimeout);
  auto [error] = co_await connection->stream.async_connect(remote, kAwait);
  if (aCancel.IsTripped()) {
    co_return HttpFailure::Cancelled;
  }
  if (error) {
    co_return error == beast::error::timeout ? HttpFailure::ConnectTimedOut
                                             : HttpFailure::ConnectRefused;
  }
  SetLivenessOptions(connection->stream.socket(), kUserTimeout);
  co_return connection;
}

struct ProxiedConnection
{
  ProxyResult result = ProxyResult::Unavailable;
  ConnectionPointer connection;
};

ProxyResult ToProxyResult(const http::response_header<>& aResponse)
{
  if (SwitchesProtocol(aResponse)) {
    return ProxyResult::Connected;
  }
  const auto failure = aResponse[kTunnelFailureField];
  if (failure == Name(HttpFailure::ConnectRefused)) {
    return ProxyResult::DestinationRefused;
  }
  return failure == Name(HttpFailure::ConnectTimedOut) ? ProxyResult::DestinationTimedOut
                                                       : ProxyResult::Unavailable;
}

Task<ProxiedConnection> ConnectThrough(asio::io_context& aLoop,
                                       const Endpoint& aProxy,
                                       const Endpoint& aDestination,
                                       CancelSwitch& aCancel)
{
  auto connected = co_await Connect(aLoop, aProxy, kProxyConnectTimeout, aCancel);
  if (!connected) {
    co_return ProxiedConnection{};
  }
  ProxiedConnection proxied{ ProxyResult::Unavailable, std::move(*connected) };
  auto& stream = proxied.connection->stream;
  http::request<http::empty_body> request{
    http::verb::get, std::string(kTunnelTargetPrefix) + aDestination.Text(), 11
  };
  request.set(http::field::host, aProxy.Text());
  request.set(http::field::connection, "Upgrade");
  request.set(http::field::upgrade, "tunnel");
  const auto parser = MakeResponseParser(false);
  const CancelScope scope(aCancel, stream);
  stream.expires_after(kProxyAnswerTimeout);
  auto [sendError, sent] = co_await http::async_write(stream, request, kAwait);
  if (sendError) {
    co_return ProxiedConnection{};
  }
  const auto readError =
    co_await ReadResponseHead(stream, proxied.connection->buffer, *parser);
  if (!readError && !aCancel.IsTripped()) {
    proxied.result = ToProxyResult(parser->get());
  }
  co_return proxied;
}

http::request<http::string_body> ToMessage(const Endpoint& aEndpoint,
                                           HttpRequest aRequest)
{
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(aRequest.method);
  message.target(aRequest.target);
  for (const auto& [name, value] : aRequest.headers.Fields()) {
    message.insert(name, value);
  }
  if (message.count(http::field::host) == 0) {
    message.set(http::field::host, aEndpoint.Text());
  }
  message.body() = std::move(aRequest.body);
  message.prepare_payload();
  return message;
}

} // namespace

Task<Result<ConnectionPointer, HttpFailure>> HttpClient::Implementation::ReachDirectly(
  Endpoint aDestination,
  Duration aTimeout,
  CancelSwitch& aCancel)
{
  auto connected = co_await Connect(this->loop, aDestination, aTimeout, aCancel);
  const bool isCancelled = !connected && connected.LastReason() == HttpFailure::Cancelled;
  if (this->paths != nullptr && !isCancelled) {
    this->paths->OnDirectConnect(aDestination, connected.HasValue(), BootClock::now());
  }
  co_return connected;
}

Task<Result<ConnectionPointer, HttpFailure>> HttpClient::Implementation::Reach(
  Endpoint aDestination,
  Duration aTimeout,
  CancelSwitch& aCancel)
{
  const auto startedAt = BootClock::now();
  HttpFailure failure = HttpFailure::ConnectTimedOut;
  if (this->paths == nullptr ||
      this->paths->MayConnectDirectly(aDestination, startedAt)) {
    auto connected = co_await this->ReachDirectly(aDestination, aTimeout, aCancel);
    if (connected || connected.LastReason() == HttpFailure::Cancelled) {
      co_return connected;
    }
    failure = connected.LastReason();
  }
  std::vector<Endpoint> tried;
  std::size_t failuresOfDestination = 0;
  while (this->paths != nullptr && tried.size() < kMaxProxies) {
    const auto proxy = this->paths->NextProxy(tried, startedAt, BootClock::now());
    if (!proxy) {
      break;
    }
    tried.push_back(*proxy);
    auto proxied = co_await ConnectThrough(this->loop, *proxy, aDestination, aCancel);
    if (aCancel.IsTripped()) {
      co_return HttpFailure::Cancelled;
    }
    this->paths->OnProxied(aDestination, *proxy, proxied.result, BootClock::now());
    if (proxied.result == ProxyResult::Connected) {
      this->metrics.Count("http_connections_proxied_total");
      co_return std::move(proxied.connection);
    }
    if (proxied.result == ProxyResult::Unavailable) {
      continue;
    }
    failure = proxied.result == ProxyResult::DestinationRefused
                ? HttpFailure::ConnectRefused
                : HttpFailure::ConnectTimedOut;
    if (++failuresOfDestination == kFailuresOfDestination) {
      break;
    }
  }
  co_return failure;
}

HttpClient::HttpClient(asio::io_context& aLoop,
                       MetricsRegistry& aMetrics,
                       UnframedBody aUnframed)
  : implementation(std::make_shared<Implementation>(aLoop, aMetrics, aUnframed))
{
}

HttpClient::~HttpClient() = default;

Task<Result<std::unique_ptr<HttpClientStream>, HttpFailure>> HttpClient::Open(
  Endpoint aEndpoint,
  HttpRequest aRequest,
  HttpDeadlines aDeadlines,
  ConnectionUse aUse,
  CancelSwitch& aCancel)
{
  const auto shared = this->implementation;
  ConnectionPointer connection;
  if (aUse == ConnectionUse::MayReuse) {
    connection = shared->TakeIdle(aEndpoint);
  }
  if (!connection) {
    auto connected = co_await shared->Reach(aEndpoint, aDeadlines.connect, aCancel);
    if (!connected) {
      co_return connected.LastReason();
    }
    connection = std::move(*connected);
  }
  const auto message = ToMessage(aEndpoint, std::move(aRequest));
  const bool hasBody = message.method() != http::verb::head;
  std::unique_ptr<ResponseParser> parser;
  bool reusable = aUse != ConnectionUse::Single;
  auto unframed = shared->unframed;
  {
    const CancelScope scope(aCancel, connection->stream);
    WaitLimit limit(connection->stream, aDeadlines.extend);
    limit.Begin(aDeadlines.head);
    auto [sendError, sent] =
      co_await http::async_write(connection->stream, message, kAwait);
    if (aCancel.IsTripped()) {
      co_return HttpFailure::Cancelled;
    }
    if (sendError) {
      // A server may answer before it has read the whole body and close then.
      limit.BeginFinal(kEarlyResponse);
      reusable = false;
      // The write has taken the error of the connection, so a reset looks orderly to the
      // reads that follow.
      unframed = UnframedBody::Refuse;
    }
    std::size_t interimResponses = 0;
    while (!parser || IsInterim(*parser)) {
      if (parser && ++interimResponses > kMaxInterimResponses) {
        co_return HttpFailure::Malformed;
      }
      parser = MakeResponseParser(hasBody);
      const auto headError =
        co_await ReadResponseHead(connection->stream, connection->buffer, *parser);
      if (headError || aCancel.IsTripped()) {
        co_return ReadFailure(
          headError,
          aCancel,
          limit,
          sendError ? HttpFailure::SendBroken : HttpFailure::HeadTimedOut,
          sendError ? HttpFailure::SendBroken : HttpFailure::BrokenBeforeHead);
      }
    }
  }
  if (SwitchesProtocol(parser->get())) {
    // The request did not ask for it.
    co_return HttpFailure::Malformed;
  }
  std::weak_ptr<Implementation> weak = shared;
  auto giveBack = [weak, aEndpoint, reusable](ConnectionPointer aConnection) {
    if (const auto strong = reusable ? weak.lock() : nullptr) {
      strong->GiveBack(aEndpoint, std::move(aConnection));
    }
  };
  co_return std::unique_ptr<HttpClientStream>(std::make_unique<OpenStream>(
    std::move(connection), std::move(parser), aDeadlines, unframed, std::move(giveBack)));
}

Task<Result<HttpResponse, HttpFailure>> HttpClient::Fetch(Endpoint aEndpoint,
                                                          HttpRequest aRequest,
                                                          HttpDeadlines aDeadlines,
                                                          std::size_t aMostBytes,
                                                          ConnectionUse aUse)
{
  CancelSwitch never;
  auto opened =
    co_await this->Open(aEndpoint, std::move(aRequest), aDeadlines, aUse, never);
  if (!opened) {
    co_return opened.LastReason();
  }
  auto& stream = **opened;
  HttpResponse response;
  response.status = stream.Status();
  response.headers = stream.Headers();
  const auto bodyDue = BootClock::now() + aDeadlines.body;
  while (true) {
    const auto remaining = std::max(bodyDue - BootClock::now(), Duration::zero());
    stream.SetProgressTimeout(std::min(aDeadlines.progress, remaining));
    auto piece = co_await stream.Read(never);
    if (!piece) {
      co_return piece.LastReason();
    }
    if (piece->empty()) {
      co_return response;
    }
    response.body += *piece;
    if (response.body.size() > aMostBytes) {
      co_return HttpFailure::TooLarge;
    }
    // A read that finds bytes waiting succeeds although its time is up.
    if (BootClock::now() >= bodyDue) {
      co_return HttpFailure::BodyTimedOut;
    }
  }
}

void HttpClient::SetPaths(ConnectionPaths* aPaths)
{
  this->implementation->paths = aPaths;
}

Task<> HttpClient::TryDirectConnection(Endpoint aEndpoint, Duration aTimeout)
{
  const auto shared = this->implementation;
  CancelSwitch never;
  // The paths learn the result.
  (void)co_await shared->ReachDirectly(std::move(aEndpoint), aTimeout, never);
}

void HttpClient::DropIdle(const Endpoint& aEndpoint)
{
  this->implementation->idle.erase(aEndpoint);
}

} // namespace toucanstand
