#include "TunnelService.h"

#include <algorithm>
#include <ranges>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "http/SocketOptions.h"

namespace toucanstand {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

/// Like the connections of HttpClient.
constexpr Duration kUserTimeout = std::chrono::seconds(10);

} // namespace

TunnelService::TunnelService(ServingState& aState)
  : state(aState)
{
}

Task<> TunnelService::Serve(HttpExchange& aExchange)
{
  const std::string_view target(aExchange.Request().target);
  const auto server = Endpoint::Parse(target.substr(kTunnelTargetPrefix.size()));
  if (const auto rejection = this->Check(server)) {
    this->state.metrics.Count(std::string("tunnels_rejected_total{reason=\"") +
                              rejection->reason + "\"}");
    co_await aExchange.Respond(
      ErrorResponse(rejection->status, rejection->reason, "no tunnel"));
    co_return;
  }
  ++this->tunnelCount;
  this->state.metrics.Count("tunnels_total");
  tcp::socket socket(this->state.loop);
  const auto failure = co_await this->Connect(socket, *server);
  if (failure) {
    HttpResponse response = ErrorResponse(502, Name(*failure), "server not reached");
    response.headers.Add(std::string(kTunnelFailureField), Name(*failure));
    co_await aExchange.Respond(std::move(response));
  } else {
    co_await aExchange.RelayTo(std::move(socket));
  }
  --this->tunnelCount;
}

std::optional<TunnelService::Rejection> TunnelService::Check(
  const std::optional<Endpoint>& aServer)
{
  const auto* server = aServer ? this->FindServer(*aServer) : nullptr;
  if (server == nullptr) {
    return Rejection{ 404, "unknown_server" };
  }
  if (this->state.evacuations.IsEvacuated(server->zone)) {
    return Rejection{ 503, "evacuated" };
  }
  if (this->draining) {
    return Rejection{ 503, "stopping" };
  }
  if (this->state.paths.IsCutOff()) {
    return Rejection{ 503, "cut_off" };
  }
  return this->tunnelCount >= kMaxTunnels ? std::optional(Rejection{ 503, "limit" })
                                          : std::nullopt;
}

const ServerEntry* TunnelService::FindServer(const Endpoint& aEndpoint) const
{
  const auto servers = this->state.directory.Servers() | std::views::values;
  const auto found = std::ranges::find(servers, aEndpoint, &ServerEntry::endpoint);
  return found == servers.end() ? nullptr : &*found;
}

Task<std::optional<HttpFailure>> TunnelService::Connect(tcp::socket& aSocket,
                                                        Endpoint aServer)
{
  boost::system::error_code addressError;
  const auto address = asio::ip::make_address(aServer.address, addressError);
  if (addressError) {
    co_return HttpFailure::ConnectRefused;
  }
  beast::tcp_stream stream(this->state.loop);
  stream.expires_after(kConnectTimeout);
  const auto [error] = co_await stream.async_connect(tcp::endpoint(address, aServer.port),
                                                     asio::as_tuple(asio::use_awaitable));
  this->state.paths.OnDirectConnect(aServer, !error, BootClock::now());
  if (error) {
    co_return error == beast::error::timeout ? HttpFailure::ConnectTimedOut
                                             : HttpFailure::ConnectRefused;
  }
  aSocket = stream.release_socket();
  SetLivenessOptions(aSocket, kUserTimeout);
  co_return std::nullopt;
}

} // namespace toucanstand
