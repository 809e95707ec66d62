#include "PeerLink.h"

#include <algorithm>
#include <ranges>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Session.h"
#include "peers/ReportSum.h"

namespace toucanstand {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
/// For the way of a datagram and the wait for its turn.
constexpr Duration kWay = std::chrono::milliseconds(10);
/// A peer whose last report is older has no part in the demand.
constexpr Duration kWorkLife = std::chrono::seconds(5);
/// A report that is older says nothing about the load now.
constexpr Duration kLoadLife = GroupPlacement::kPeerReportLife;

/// The name under which placement keeps the sum of a relay.
const VmId& AllOthers()
{
  static const VmId kAll("sum of the others");
  return kAll;
}

std::vector<GroupLoad> LoadsOf(const PeerReport& aReport)
{
  std::vector<GroupLoad> loads;
  std::ranges::transform(
    aReport.loads, std::back_inserter(loads), [](const PeerReport::Load& aLoad) {
      return GroupLoad{
        GroupId(aLoad.destination), aLoad.reading, aLoad.readingTokens, aLoad.writing
      };
    });
  return loads;
}

} // namespace

PeerLink::PeerLink(ServingState& aState,
                   std::uint64_t aRunNumber,
                   const std::string& aRun)
  : state(aState)
  , socket(aState.loop)
  , reportTimer(aState.loop)
  , sumTimer(aState.loop)
  , runNumber(aRunNumber)
  , directory(aRun, { aState.settings.peers, aState.settings.cpuShare })
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
  if (!error) {
    this->socket.non_blocking(true, error);
  }
  return !error;
}

Task<> PeerLink::Report()
{
  while (true) {
    this->lastReport = this->MakeReport(BootClock::now());
    this->SendReport(this->lastReport);
    const Duration pause = this->lastReport.loads.empty() ? kIdleInterval : kInterval;
    this->reportTimer.expires_after(pause);
    co_await this->reportTimer.async_wait(kAwait);
  }
}

Task<> PeerLink::SendSums()
{
  while (true) {
    const auto now = BootClock::now();
    this->ForgetOld(now);
    const bool relays = !this->ReportsDirectly() && this->directory.IsRelay();
    if (relays) {
      this->SendSumsNow(now);
    }
    // They were sent, or nobody waits for them here.
    this->suspicionsToPassOn.clear();
    this->sumTimer.expires_after(relays ? kSumInterval : kIdleInterval);
    co_await this->sumTimer.async_wait(kAwait);
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
    if (!error) {
      this->TakeDatagram(std::span(this->buffer.data(), bytes),
                         { sender.address().to_string(), sender.port() });
    }
  }
}

void PeerLink::Send(const std::vector<std::uint8_t>& aBytes, const Endpoint& aTo)
{
  boost::system::error_code error;
  const auto address = asio::ip::make_address(aTo.address, error);
  if (!error) {
    const udp::endpoint destination(address, aTo.port);
    this->socket.send_to(asio::buffer(aBytes), destination, 0, error);
  }
  // A datagram that can't be sent is lost like any other.
  if (error) {
    this->state.metrics.Count("peer_send_errors_total");
  }
}

void PeerLink::TakeDatagram(std::span<const std::uint8_t> aBytes, const Endpoint& aFrom)
{
  const auto now = BootClock::now();
  auto datagram = DecodeDatagram(aBytes);
  if (!datagram) {
    this->Refuse(datagram.LastReason());
    return;
  }
  if (datagram->kind == DatagramKind::LoadReport) {
    auto report = DecodePeerReport(datagram->fields);
    if (report) {
      this->TakeReport(std::move(*report), aFrom, now);
    } else {
      this->Refuse(report.LastReason());
    }
    return;
  }
  if (datagram->kind == DatagramKind::ChangeQuery) {
    const auto query = DecodeChangeQuery(datagram->fields);
    if (query) {
      this->TakeQuery(*query, aFrom, now);
    } else {
      this->Refuse(query.LastReason());
    }
    return;
  }
  auto answer = DecodeChangeAnswer(datagram->fields);
  if (answer) {
    this->onAnswer(std::move(*answer));
  } else {
    this->Refuse(answer.LastReason());
  }
}

void PeerLink::Refuse(DatagramFailure aFailure)
{
  this->state.metrics.Count(std::string("peer_datagrams_refused_total{reason=\"") +
                            Name(aFailure) + "\"}");
}

void PeerLink::TakeQuery(const ChangeQuery& aQuery, const Endpoint& aFrom, TimePoint aNow)
{
  this->subscribers[aFrom] = aNow;
  this->Send(EncodeChangeAnswer(this->onQuery(aQuery)), aFrom);
}

void PeerLink::TellNews(const ChangeAnswer& aNews)
{
  this->ForgetOld(BootClock::now());
  if (!this->directory.IsRelay() || this->subscribers.empty()) {
    return;
  }
  const auto bytes = EncodeChangeAnswer(aNews);
  for (const auto& endpoint : this->subscribers | std::views::keys) {
    this->Send(bytes, endpoint);
  }
}

void PeerLink::TakeReport(PeerReport aReport, const Endpoint& aFrom, TimePoint aNow)
{
  if (aReport.sender == this->state.settings.id) {
    return;
  }
  const bool isSum = aReport.others > 0;
  auto& known = isSum ? this->sum : this->news[aReport.sender];
  // Sums of two relays may alternate while a VM goes from one to the other.
  const bool outdated = known.report.sender == aReport.sender &&
                        known.report.run == aReport.run &&
                        aReport.sequence <= known.report.sequence;
  if (outdated) {
    return;
  }
  for (const auto fingerprint : aReport.quarantined) {
    this->state.quarantine.Merge(
      QuarantineEntry{ fingerprint, aNow + CrashQuarantine::kSuspicionLifetime }, aNow);
  }
  const auto loads = LoadsOf(aReport);
  for (auto& placement : this->state.placements | std::views::values) {
    placement.OnPeerLoads(isSum ? AllOthers() : aReport.sender, loads, aNow);
    for (const auto& group : aReport.suspected) {
      placement.OnPeerSuspicion(GroupId(group), aNow);
    }
    for (const auto& [model, time] : aReport.learned) {
      placement.OnPeerLearned(model, FromSeconds(time.seconds));
    }
  }
  this->Suspect(aReport.suspected);
  if (!isSum) {
    std::ranges::copy(aReport.suspected, std::back_inserter(this->suspicionsToPassOn));
  }
  known = { std::move(aReport), aNow, aFrom };
}

void PeerLink::Suspect(const std::vector<std::string>& aGroups)
{
  if (this->onSuspicion) {
    std::ranges::for_each(
      aGroups, [this](const std::string& aGroup) { this->onSuspicion(GroupId(aGroup)); });
  }
}

PeerReport PeerLink::MakeReport(TimePoint aNow)
{
  PeerReport report;
  report.sender = this->state.settings.id;
  report.run = this->runNumber;
  report.sequence = ++this->sequence;
  report.work = this->state.work.Rates(aNow);
  report.quarantined = this->state.quarantine.LocallyQuarantined(aNow);
  for (auto& placement : this->state.placements | std::views::values) {
    for (const auto& load : placement.OwnLoads(aNow)) {
      report.loads.push_back(
        { load.group.Value(), load.reading, load.readingTokens, load.writing });
    }
    for (const auto& group : placement.TakeSuspicions(aNow)) {
      report.suspected.push_back(group.Value());
    }
    for (const auto& [model, learned] : placement.LearnedTimes()) {
      report.learned[model] = { ToSeconds(learned.time),
                                static_cast<double>(learned.samples) };
    }
  }
  this->Suspect(report.suspected);
  // The leader knows which groups come to their end before their registrations show it.
  std::ranges::transform(this->state.endingGroups,
                         std::back_inserter(report.suspected),
                         [](const GroupId& aGroup) { return aGroup.Value(); });
  std::ranges::copy(report.suspected, std::back_inserter(this->suspicionsToPassOn));
  return report;
}

void PeerLink::SendReport(const PeerReport& aReport)
{
  const auto bytes = EncodePeerReport(aReport);
  if (!this->ReportsDirectly()) {
    for (const auto& relay : this->directory.Relays()) {
      this->Send(bytes, relay);
    }
    return;
  }
  for (const auto& peer : this->directory.Others() | std::views::values) {
    this->Send(bytes, peer.endpoint);
  }
}

void PeerLink::ForgetOld(TimePoint aNow)
{
  std::erase_if(this->subscribers, [aNow](const auto& aSubscriber) {
    return aNow - aSubscriber.second > kSubscription;
  });
  std::erase_if(this->news, [aNow](const auto& aNews) {
    return aNow - aNews.second.receivedAt > kWorkLife;
  });
}

void PeerLink::SendSumsNow(TimePoint aNow)
{
  ReportSum total;
  total.Add(this->lastReport);
  ++this->sumSequence;
  std::map<Endpoint, const PeerReport*> reports;
  for (const auto& peer : this->news | std::views::values) {
    if (aNow - peer.receivedAt <= kLoadLife) {
      total.Add(peer.report);
      reports[peer.endpoint] = &peer.report;
    }
  }
  for (const auto& endpoint : this->subscribers | std::views::keys) {
    const auto own = reports.find(endpoint);
    PeerReport sums = own == reports.end() ? total.Total() : total.Without(*own->second);
    sums.sender = this->state.settings.id;
    sums.run = this->runNumber;
    sums.sequence = this->sumSequence;
    sums.suspected = this->suspicionsToPassOn;
    this->Send(EncodePeerReport(sums), endpoint);
  }
}

void PeerLink::OnOwnKey(const StoreChange& aChange)
{
  if (!aChange.key.starts_with(Session::kPresencePrefix)) {
    return;
  }
  const auto run = aChange.key.substr(Session::kPresencePrefix.size());
  if (!aChange.value) {
    this->directory.Remove(run);
    return;
  }
  const auto presence = Presence::Parse(*aChange.value);
  if (!presence) {
    this->state.metrics.Count("peer_registrations_unreadable_total");
    return;
  }
  this->directory.Put(run, *presence, aChange.revision);
}

Duration PeerLink::MeanReportAge() const
{
  const Duration ownInterval = kInterval / 2 + kWay;
  return this->ReportsDirectly() ? ownInterval : ownInterval + kSumInterval / 2 + kWay;
}

std::map<std::string, double> PeerLink::WorkOfOthers(TimePoint aNow)
{
  if (!this->ReportsDirectly() && !this->directory.IsRelay()) {
    const bool fresh = aNow - this->sum.receivedAt <= kWorkLife;
    return fresh ? this->sum.report.work : std::map<std::string, double>();
  }
  std::map<std::string, double> total;
  for (const auto& peer : this->news | std::views::values) {
    if (aNow - peer.receivedAt <= kWorkLife) {
      for (const auto& [model, seconds] : peer.report.work) {
        total[model] += seconds;
      }
    }
  }
  return total;
}

std::map<std::string, double> PeerLink::WorkOfAll(TimePoint aNow)
{
  auto total = this->WorkOfOthers(aNow);
  for (const auto& [model, seconds] : this->state.work.Rates(aNow)) {
    total[model] += seconds;
  }
  return total;
}

} // namespace toucanstand
