#include "PeerLink.h"

#include <algorithm>
#include <ranges>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Session.h"

namespace toucanstand {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
/// A peer whose last report is older has no part in the demand.
constexpr Duration kWorkLife = std::chrono::seconds(5);

} // namespace

PeerLink::PeerLink(ServingState& aState, std::uint64_t aRun)
  : state(aState)
  , socket(aState.loop)
  , timer(aState.loop)
  , run(aRun)
{
}

bool PeerLink::Listen(const Endpoint& aEndpoint)
{
  boost::system::error_code error;
  const auto address = asio::ip::make_address(aEndpoint.address, error);
  if (error) {
    return false;
  }
  const udp::endpoint local(address, aEndpoint.port);
  this->socket.open(local.protocol(), error);
  if (!error) {
    this->socket.bind(local, error);
  }
  return !error;
}

Task<> PeerLink::Send()
{
  while (true) {
    const auto now = BootClock::now();
    const auto report = this->MakeReport(now);
    const auto bytes = EncodePeerReport(report);
    // Copied: a peer's registration may end while the loop waits.
    const auto registered = this->peers | std::views::values;
    const std::vector<udp::endpoint> endpoints(registered.begin(), registered.end());
    for (const auto& endpoint : endpoints) {
      // A datagram that can't be sent is lost like any other.
      auto [error, sent] =
        co_await this->socket.async_send_to(asio::buffer(bytes), endpoint, kAwait);
      if (error) {
        this->state.metrics.Count("peer_send_errors_total");
      }
    }
    const Duration pause = report.loads.empty() ? kIdleInterval : kInterval;
    this->timer.expires_after(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(pause));
    co_await this->timer.async_wait(kAwait);
  }
}

Task<> PeerLink::Receive()
{
  while (true) {
    udp::endpoint sender;
    auto [error, bytes] = co_await this->socket.async_receive_from(
      asio::buffer(this->buffer), sender, kAwait);
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      continue;
    }
    const auto report = DecodePeerReport(std::span(this->buffer.data(), bytes));
    if (!report) {
      this->state.metrics.Count("peer_reports_unreadable_total");
      continue;
    }
    this->Take(*report, BootClock::now());
  }
}

PeerReport PeerLink::MakeReport(TimePoint aNow)
{
  PeerReport report;
  report.sender = this->state.settings.id;
  report.run = this->run;
  report.sequence = ++this->sequence;
  report.work = this->state.work.Rates(aNow);
  report.quarantined = this->state.quarantine.QuarantinedHere(aNow);
  for (auto& placement : this->state.placements | std::views::values) {
    for (const auto& load : placement.OwnLoads(aNow)) {
      report.loads.push_back(
        { load.group.Value(), load.reading, load.readingTokens, load.writing });
    }
    for (const auto& group : placement.TakeSuspicions(aNow)) {
      report.suspected.push_back(group.Value());
      if (this->onSuspicion) {
        this->onSuspicion(group);
      }
    }
  }
  return report;
}

void PeerLink::Take(const PeerReport& aReport, TimePoint aNow)
{
  if (aReport.sender == this->state.settings.id) {
    return;
  }
  auto& peer = this->news[aReport.sender];
  if (peer.run == aReport.run && aReport.sequence <= peer.sequence) {
    return;
  }
  peer = { aReport.run, aReport.sequence, aNow, aReport.work };
  for (const auto fingerprint : aReport.quarantined) {
    this->state.quarantine.Merge(
      QuarantineEntry{ fingerprint, aNow + CrashQuarantine::kLifetime }, aNow);
  }
  std::vector<GroupLoad> loads;
  std::ranges::transform(
    aReport.loads, std::back_inserter(loads), [](const PeerReport::Load& aLoad) {
      return GroupLoad{
        GroupId(aLoad.destination), aLoad.reading, aLoad.readingTokens, aLoad.writing
      };
    });
  for (auto& placement : this->state.placements | std::views::values) {
    placement.OnPeerLoads(aReport.sender, loads, aNow);
    for (const auto& group : aReport.suspected) {
      placement.OnPeerSuspicion(GroupId(group), aNow);
    }
  }
  for (const auto& group : aReport.suspected) {
    if (this->onSuspicion) {
      this->onSuspicion(GroupId(group));
    }
  }
}

void PeerLink::OnOwnKey(const StoreChange& aChange)
{
  if (!aChange.key.starts_with(Session::kPresencePrefix)) {
    return;
  }
  if (!aChange.value) {
    this->peers.erase(aChange.key);
    return;
  }
  const auto endpoint = Endpoint::Parse(*aChange.value);
  if (!endpoint) {
    this->state.metrics.Count("peer_registrations_unreadable_total");
    return;
  }
  if (*endpoint != this->state.settings.peers) {
    this->peers[aChange.key] =
      udp::endpoint(asio::ip::make_address(endpoint->address), endpoint->port);
  }
}

std::map<std::string, double> PeerLink::WorkOfAll(TimePoint aNow) const
{
  auto total = this->state.work.Rates(aNow);
  for (const auto& peer : this->news | std::views::values) {
    if (aNow - peer.receivedAt > kWorkLife) {
      continue;
    }
    for (const auto& [model, seconds] : peer.work) {
      total[model] += seconds;
    }
  }
  return total;
}

} // namespace toucanstand
