#include "http/HttpServer.h"

#include <algorithm>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "http/HttpSession.h"

namespace toucanstand {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
/// Pause after the process ran out of descriptors, so that accepting does not spin.
constexpr Duration kAcceptPause = std::chrono::milliseconds(50);

ListenFailure ToListenFailure(const boost::system::error_code& aError)
{
  if (aError == asio::error::address_in_use) {
    return ListenFailure::AddressInUse;
  }
  return aError == asio::error::access_denied ? ListenFailure::NotPermitted
                                              : ListenFailure::BadAddress;
}

HttpResponse DefaultStopRejection()
{
  auto response = ErrorResponse(503, "stopping", "not run; this VM stops");
  response.headers.Add("Toucanstand-Outcome", "not-run");
  return response;
}

} // namespace

class HttpServer::Implementation
  : public std::enable_shared_from_this<HttpServer::Implementation>
{
public:
  Implementation(asio::io_context& aLoop,
                 HttpServerLimits aLimits,
                 Handler aHandler,
                 MetricsRegistry& aMetrics)
    : loop(aLoop)
    , acceptor(aLoop)
    , context(
        std::make_shared<HttpSession::Context>(HttpSession::Context{ aLimits,
                                                                     std::move(aHandler),
                                                                     aMetrics,
                                                                     {},
                                                                     DefaultStopRejection,
                                                                     nullptr }))
  {
  }

  Result<Endpoint, ListenFailure> Listen(const Endpoint& aEndpoint)
  {
    boost::system::error_code error;
    const auto address = asio::ip::make_address(aEndpoint.address, error);
    if (error) {
      return ListenFailure::BadAddress;
    }
    const tcp::endpoint local(address, aEndpoint.port);
    this->acceptor.open(local.protocol(), error);
    this->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    this->acceptor.bind(local, error);
    if (!error) {
      this->acceptor.listen(tcp::acceptor::max_listen_connections, error);
    }
    if (error) {
      return ToListenFailure(error);
    }
    asio::co_spawn(this->loop, Accept(this->shared_from_this()), asio::detached);
    return Endpoint{ aEndpoint.address, this->acceptor.local_endpoint().port() };
  }

  void AdvanceStop(StopPhase aPhase, TimePoint aNow)
  {
    this->context->stopPhase = aPhase;
    std::ranges::for_each(this->LiveSessions(), [aPhase, aNow](const auto& aSession) {
      aSession->AdvanceStop(aPhase, aNow);
    });
    // Callers that connect later reach another VM at once, while this one may have no
    // time for them.
    if (aPhase == StopPhase::Draining || aPhase >= StopPhase::FinalAnswers) {
      this->CloseListener();
    }
  }

  /// Accepts what the kernel has queued and then no more.
  void CloseListener()
  {
    if (this->acceptor.is_open()) {
      this->AcceptQueued();
      boost::system::error_code ignored;
      this->acceptor.close(ignored);
    }
  }

  void Abort()
  {
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
    std::ranges::for_each(this->LiveSessions(),
                          [](const auto& aSession) { aSession->Abort(); });
  }

  [[nodiscard]] std::vector<std::shared_ptr<HttpSession>> LiveSessions() const
  {
    std::vector<std::shared_ptr<HttpSession>> live;
    for (const auto& weak : this->sessions) {
      if (auto session = weak.lock()) {
        live.push_back(std::move(session));
      }
    }
    return live;
  }

  asio::io_context& loop; // NOLINT(misc-non-private-member-variables-in-classes)
  tcp::acceptor acceptor;
  std::shared_ptr<HttpSession::Context> context;
  std::vector<std::weak_ptr<HttpSession>> sessions;
  std::size_t openConnections = 0;

private:
  static Task<> Accept(std::shared_ptr<Implementation> aSelf)
  {
    while (aSelf->acceptor.is_open()) {
      auto [error, socket] = co_await aSelf->acceptor.async_accept(kAwait);
      if (!error) {
        aSelf->Start(std::move(socket));
        continue;
      }
      if (!aSelf->acceptor.is_open()) {
        co_return;
      }
      aSelf->context->metrics.Count("http_accept_errors_total");
      asio::steady_timer pause(aSelf->loop, kAcceptPause);
      co_await pause.async_wait(kAwait);
    }
  }

  /// Takes the connections that the kernel completed before the listener closes; they
  /// would be reset otherwise.
  void AcceptQueued()
  {
    boost::system::error_code error;
    this->acceptor.non_blocking(true, error);
    while (!error) {
      tcp::socket socket(this->loop);
      this->acceptor.accept(socket, error);
      if (!error) {
        this->Start(std::move(socket));
      }
    }
  }

  void Start(tcp::socket aSocket)
  {
    if (this->openConnections >= this->context->limits.connections) {
      this->context->metrics.Count("http_connections_refused_total");
      return;
    }
    ++this->openConnections;
    auto session = std::make_shared<HttpSession>(std::move(aSocket), this->context);
    std::erase_if(this->sessions, [](const auto& aWeak) { return aWeak.expired(); });
    this->sessions.push_back(session);
    asio::co_spawn(this->loop, Serve(this->shared_from_this(), session), asio::detached);
  }

  static Task<> Serve(std::shared_ptr<Implementation> aSelf,
                      std::shared_ptr<HttpSession> aSession)
  {
    co_await aSession->Run();
    --aSelf->openConnections;
  }
};

HttpServer::HttpServer(asio::io_context& aLoop,
                       HttpServerLimits aLimits,
                       Handler aHandler,
                       MetricsRegistry& aMetrics)
  : implementation(
      std::make_shared<Implementation>(aLoop, aLimits, std::move(aHandler), aMetrics))
{
}

HttpServer::~HttpServer() = default;

Result<Endpoint, ListenFailure> HttpServer::Listen(const Endpoint& aEndpoint)
{
  return this->implementation->Listen(aEndpoint);
}

void HttpServer::SetLimits(const HttpServerLimits& aLimits)
{
  this->implementation->context->limits = aLimits;
}

void HttpServer::AdvanceStop(StopPhase aPhase, TimePoint aNow)
{
  this->implementation->AdvanceStop(aPhase, aNow);
}

void HttpServer::SetStopRejection(RejectionFactory aFactory)
{
  this->implementation->context->makeStopRejection = std::move(aFactory);
}

void HttpServer::SetRequestMemory(const MemoryBudget& aMemory,
                                  RejectionFactory aRejection)
{
  this->implementation->context->requestMemory = aMemory;
  this->implementation->context->makeMemoryRejection = std::move(aRejection);
}

bool HttpServer::IsBusy() const
{
  return this->implementation->acceptor.is_open() || this->OpenConnections() > 0;
}

void HttpServer::SetCutListener(CutListener aListener)
{
  this->implementation->context->onCut = std::move(aListener);
}

UnfinishedConnections HttpServer::CountUnfinished() const
{
  UnfinishedConnections count;
  for (const auto& session : this->implementation->LiveSessions()) {
    count.withoutAnswer += session->LacksAnswer() ? 1 : 0;
    count.notReceived += session->IsAnswerUnreceived() ? 1 : 0;
  }
  return count;
}

void HttpServer::ReportUnreceivedAnswers()
{
  for (const auto& session : this->implementation->LiveSessions()) {
    if (session->IsAnswerUnreceived()) {
      session->ReportCut("stop");
    }
  }
}

void HttpServer::Abort()
{
  this->implementation->Abort();
}

std::size_t HttpServer::OpenConnections() const
{
  return this->implementation->openConnections;
}

std::size_t HttpServer::ActiveExchanges() const
{
  const auto& connections = this->Connections();
  return connections.Of(ConnectionState::AwaitingAnswer) +
         connections.Of(ConnectionState::SendingAnswer);
}

const ConnectionCounts& HttpServer::Connections() const
{
  return this->implementation->context->connections;
}

} // namespace toucanstand
