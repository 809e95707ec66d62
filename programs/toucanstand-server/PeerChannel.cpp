#include "PeerChannel.h"

#include <algorithm>
#include <numeric>
#include <ranges>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "PeerReportConversion.h"
#include "StoreSession.h"
#include "peers/PeerReportAggregator.h"

namespace toucanstand {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
/// Estimated network and scheduling delay of a datagram.
constexpr Duration kDatagramDelay = std::chrono::milliseconds(10);
/// Older reports no longer count towards the demand.
constexpr Duration kDemandLifetime = std::chrono::seconds(5);
/// Older reports no longer describe the current load.
constexpr Duration kLoadLifetime = GroupPlacement::kPeerReportLifetime;

/// Sender under which placement stores the aggregate received from a relay.
const VmId& AggregateSender()
{
  static const VmId kSender("sum of the others");
  return kSender;
}

std::vector<GroupLoad> ToGroupLoads(const PeerReport& aReport)
{
  std::vector<GroupLoad> loads;
  std::ranges::transform(
    aReport.loads, std::back_inserter(loads), [](const PeerReport::Load& aLoad) {
      return GroupLoad{ GroupId(aLoad.group),
                        aLoad.prefillRequests,
                        aLoad.prefillTokens,
                        aLoad.decodeRequests };
    });
  return loads;
}

double SumOfDemand(const std::map<std::string, double>& aDemand)
{
  return std::accumulate(
    aDemand.begin(), aDemand.end(), 0.0, [](double aSum, const auto& aModel) {
      return aSum + aModel.second;
    });
}

} // namespace

PeerChannel::PeerChannel(ServingState& aState,
                         std::uint64_t aRunNumber,
                         const std::string& aRunId)
  : state(aState)
  , socket(aState.loop)
  , reportTimer(aState.loop)
  , aggregateTimer(aState.loop)
  , runNumber(aRunNumber)
  , directory(aRunId, { aState.settings.peers, aState.settings.cpuShare })
{
}

bool PeerChannel::Listen(const Endpoint& aEndpoint)
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

Task<> PeerChannel::SendReports()
{
  while (true) {
    this->lastReport = this->MakeReport(BootClock::now());
    this->SendReport(this->lastReport);
    const Duration pause =
      this->lastReport.loads.empty() ? kIdleInterval : kReportInterval;
    this->reportTimer.expires_after(pause);
    co_await this->reportTimer.async_wait(kAwait);
  }
}

Task<> PeerChannel::SendAggregates()
{
  while (true) {
    const auto now = BootClock::now();
    this->RemoveExpired(now);
    const bool sendsAggregates = !this->ReportsDirectly() && this->directory.IsRelay();
    if (sendsAggregates) {
      this->SendAggregatesNow(now);
    }
    // The suspicions have just been sent, or this VM sends no aggregates.
    this->pendingSuspicions.clear();
    this->aggregateTimer.expires_after(sendsAggregates ? kAggregateInterval
                                                       : kIdleInterval);
    co_await this->aggregateTimer.async_wait(kAwait);
  }
}

Task<> PeerChannel::ReceiveDatagrams()
{
  while (true) {
    udp::endpoint sender;
    auto [error, bytes] = co_await this->socket.async_receive_from(
      asio::buffer(this->buffer), sender, kAwait);
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (!error) {
      this->HandleDatagram(std::span(this->buffer.data(), bytes),
                           { sender.address().to_string(), sender.port() });
    }
  }
}

void PeerChannel::Send(const std::vector<std::uint8_t>& aBytes, const Endpoint& aTo)
{
  boost::system::error_code error;
  const auto address = asio::ip::make_address(aTo.address, error);
  if (!error) {
    const udp::endpoint destination(address, aTo.port);
    this->socket.send_to(asio::buffer(aBytes), destination, 0, error);
  }
  // A datagram that can't be sent is handled like a lost one: no retry.
  if (error) {
    this->state.metrics.Count("peer_send_errors_total");
  }
}

void PeerChannel::HandleDatagram(std::span<const std::uint8_t> aBytes,
                                 const Endpoint& aFrom)
{
  const auto now = BootClock::now();
  auto datagram = DecodeDatagram(aBytes);
  if (!datagram) {
    this->CountInvalidDatagram(datagram.LastReason());
    return;
  }
  if (datagram->kind == DatagramKind::LoadReport) {
    auto report = DecodePeerReport(datagram->fields);
    if (report) {
      this->HandleReport(std::move(*report), aFrom, now);
    } else {
      this->CountInvalidDatagram(report.LastReason());
    }
    return;
  }
  if (datagram->kind == DatagramKind::ChangeQuery) {
    const auto query = DecodeChangeQuery(datagram->fields);
    if (query) {
      this->HandleQuery(*query, aFrom, now);
    } else {
      this->CountInvalidDatagram(query.LastReason());
    }
    return;
  }
  auto answer = DecodeChangeAnswer(datagram->fields);
  if (answer) {
    this->onAnswer(std::move(*answer));
  } else {
    this->CountInvalidDatagram(answer.LastReason());
  }
}

void PeerChannel::CountInvalidDatagram(DatagramFailure aFailure)
{
  this->state.metrics.Count(std::string("peer_datagrams_refused_total{reason=\"") +
                            Name(aFailure) + "\"}");
}

void PeerChannel::HandleQuery(const ChangeQuery& aQuery,
                              const Endpoint& aFrom,
                              TimePoint aNow)
{
  this->subscribers[aFrom] = aNow;
  this->Send(EncodeChangeAnswer(this->onQuery(aQuery)), aFrom);
}

void PeerChannel::PushChanges(const ChangeAnswer& aChanges)
{
  this->RemoveExpired(BootClock::now());
  if (!this->directory.IsRelay() || this->subscribers.empty()) {
    return;
  }
  const auto bytes = EncodeChangeAnswer(aChanges);
  for (const auto& endpoint : this->subscribers | std::views::keys) {
    this->Send(bytes, endpoint);
  }
}

void PeerChannel::HandleReport(PeerReport aReport, const Endpoint& aFrom, TimePoint aNow)
{
  if (aReport.sender == this->state.settings.id) {
    return;
  }
  const bool isAggregate = aReport.aggregatedVms > 0;
  auto& previous =
    isAggregate ? this->latestAggregate : this->latestReports[aReport.sender];
  // Aggregates of two relays may alternate while this VM switches between them, so only
  // reports of the same sender and run are compared.
  const bool outdated = previous.report.sender == aReport.sender &&
                        previous.report.runNumber == aReport.runNumber &&
                        aReport.sequence <= previous.report.sequence;
  if (outdated) {
    return;
  }
  for (const auto fingerprint : aReport.quarantinedFingerprints) {
    this->state.quarantine.Merge(
      QuarantineEntry{ fingerprint, aNow + CrashQuarantine::kSuspicionLifetime }, aNow);
  }
  this->state.promptPartQuarantine.Merge(ToPromptPartEvidence(aReport), aNow);
  this->state.rateLimits.Merge(ToRateLimits(aReport), aNow);
  const auto loads = ToGroupLoads(aReport);
  for (auto& placement : this->state.placements | std::views::values) {
    placement.OnPeerLoads(isAggregate ? AggregateSender() : aReport.sender, loads, aNow);
    for (const auto& group : aReport.suspectedGroups) {
      placement.OnPeerSuspicion(GroupId(group), aNow);
    }
    for (const auto& [model, time] : aReport.learnedOverheads) {
      placement.OnPeerOverhead(model, FromSeconds(time.seconds));
    }
  }
  this->NotifySuspected(aReport.suspectedGroups);
  if (!isAggregate) {
    std::ranges::copy(aReport.suspectedGroups,
                      std::back_inserter(this->pendingSuspicions));
  }
  previous = { std::move(aReport), aNow, aFrom };
}

void PeerChannel::NotifySuspected(const std::vector<std::string>& aGroups)
{
  if (this->onGroupSuspected) {
    std::ranges::for_each(aGroups, [this](const std::string& aGroup) {
      this->onGroupSuspected(GroupId(aGroup));
    });
  }
}

PeerReport PeerChannel::MakeReport(TimePoint aNow)
{
  PeerReport report;
  report.sender = this->state.settings.id;
  report.runNumber = this->runNumber;
  report.sequence = ++this->sequence;
  report.demand = this->state.workMeter.Rates(aNow);
  report.quarantinedFingerprints = this->state.quarantine.LocallyQuarantined(aNow);
  const auto evidence = this->state.promptPartQuarantine.News(aNow, NewsScope::Own);
  SetCrashEvidence(report, evidence);
  report.quarantinedParts = evidence.quarantined;
  SetRateLimits(report, this->state.rateLimits.News(aNow, NewsScope::Own));
  for (auto& placement : this->state.placements | std::views::values) {
    for (const auto& load : placement.OwnLoads(aNow)) {
      report.loads.push_back({ load.group.Value(),
                               load.prefillRequests,
                               load.prefillTokens,
                               load.decodeRequests });
    }
    for (const auto& group : placement.TakeSuspicions(aNow)) {
      this->ownSuspicions.push_back({ group.Value(), aNow });
      this->NotifySuspected({ group.Value() });
    }
    for (const auto& [model, learned] : placement.LearnedOverheads()) {
      report.learnedOverheads[model] = { ToSeconds(learned.time),
                                         static_cast<double>(learned.samples) };
    }
  }
  report.suspectedGroups = this->TakeSharedSuspicions(aNow);
  // The leader knows which groups are about to be closed before their registrations show
  // it; peers must stop using them now.
  std::ranges::transform(this->state.endingGroups,
                         std::back_inserter(report.suspectedGroups),
                         [](const GroupId& aGroup) { return aGroup.Value(); });
  std::ranges::copy(report.suspectedGroups, std::back_inserter(this->pendingSuspicions));
  return report;
}

std::vector<std::string> PeerChannel::TakeSharedSuspicions(TimePoint aNow)
{
  const auto& paths = this->state.paths;
  if (paths.IsCutOff()) {
    this->ownSuspicions.clear();
  }
  const auto pending =
    std::ranges::partition(this->ownSuspicions, [&](const OwnSuspicion& aSuspicion) {
      return !paths.HasConnectedSince(aSuspicion.at) &&
             aNow - aSuspicion.at < kSuspicionDelay;
    });
  std::vector<std::string> groups;
  std::ranges::transform(pending, std::back_inserter(groups), &OwnSuspicion::group);
  this->ownSuspicions.erase(pending.begin(), pending.end());
  return groups;
}

void PeerChannel::SendReport(const PeerReport& aReport)
{
  const auto bytes = EncodePeerReport(aReport);
  if (!this->ReportsDirectly()) {
    for (const auto& relay : this->directory.Relays()) {
      this->Send(bytes, relay);
    }
    return;
  }
  for (const auto& peer : this->directory.Peers() | std::views::values) {
    this->Send(bytes, peer.endpoint);
  }
}

void PeerChannel::RemoveExpired(TimePoint aNow)
{
  std::erase_if(this->subscribers, [aNow](const auto& aSubscriber) {
    return aNow - aSubscriber.second > kSubscriptionLifetime;
  });
  std::erase_if(this->latestReports, [aNow](const auto& aReport) {
    return aNow - aReport.second.receivedAt > kDemandLifetime;
  });
}

void PeerChannel::SendAggregatesNow(TimePoint aNow)
{
  PeerReportAggregator total;
  total.Add(this->lastReport);
  ++this->aggregateSequence;
  const auto evidence = this->state.promptPartQuarantine.News(aNow, NewsScope::All);
  const auto rateLimits = this->state.rateLimits.News(aNow, NewsScope::All);
  std::map<Endpoint, const PeerReport*> reports;
  for (const auto& peer : this->latestReports | std::views::values) {
    if (aNow - peer.receivedAt <= kLoadLifetime) {
      total.Add(peer.report);
      reports[peer.endpoint] = &peer.report;
    }
  }
  for (const auto& endpoint : this->subscribers | std::views::keys) {
    const auto subscriberReport = reports.find(endpoint);
    PeerReport aggregate = subscriberReport == reports.end()
                             ? total.Total()
                             : total.TotalWithout(*subscriberReport->second);
    aggregate.sender = this->state.settings.id;
    aggregate.runNumber = this->runNumber;
    aggregate.sequence = this->aggregateSequence;
    aggregate.suspectedGroups = this->pendingSuspicions;
    SetCrashEvidence(aggregate, evidence);
    SetRateLimits(aggregate, rateLimits);
    this->Send(EncodePeerReport(aggregate), endpoint);
  }
}

void PeerChannel::OnSystemKeyChanged(const StoreChange& aChange)
{
  if (!aChange.key.starts_with(StoreSession::kPresencePrefix)) {
    return;
  }
  const auto runId = aChange.key.substr(StoreSession::kPresencePrefix.size());
  if (!aChange.value) {
    this->directory.Remove(runId, BootClock::now());
    return;
  }
  const auto presence = Presence::Parse(*aChange.value);
  if (!presence) {
    this->state.metrics.Count("peer_registrations_unreadable_total");
    return;
  }
  this->directory.Put(runId, *presence, aChange.revision);
}

Duration PeerChannel::MeanReportAge() const
{
  const Duration directReportAge = kReportInterval / 2 + kDatagramDelay;
  return this->ReportsDirectly()
           ? directReportAge
           : directReportAge + kAggregateInterval / 2 + kDatagramDelay;
}

std::map<std::string, double> PeerChannel::PeerDemand(TimePoint aNow)
{
  if (!this->ReportsDirectly() && !this->directory.IsRelay()) {
    const bool fresh = aNow - this->latestAggregate.receivedAt <= kDemandLifetime;
    return fresh ? this->latestAggregate.report.demand : std::map<std::string, double>();
  }
  std::map<std::string, double> total;
  for (const auto& peer : this->latestReports | std::views::values) {
    if (aNow - peer.receivedAt <= kDemandLifetime) {
      for (const auto& [model, seconds] : peer.report.demand) {
        total[model] += seconds;
      }
    }
  }
  return total;
}

std::map<std::string, double> PeerChannel::TotalDemand(TimePoint aNow)
{
  auto total = this->PeerDemand(aNow);
  for (const auto& [model, seconds] : this->state.workMeter.Rates(aNow)) {
    total[model] += seconds;
  }
  return total;
}

PeerChannel::FleetTraffic PeerChannel::TrafficByVm(TimePoint aNow)
{
  FleetTraffic fleet{ { this->state.settings.peers.Text(), 1 }, {} };
  std::map<Endpoint, double> traffic;
  // Aggregates do not show the traffic of a single VM; all VMs count alike then.
  const bool isKnown = this->ReportsDirectly();
  if (isKnown) {
    fleet.self.weight = SumOfDemand(this->state.workMeter.Rates(aNow));
    for (const auto& peer : this->latestReports | std::views::values) {
      traffic[peer.endpoint] = SumOfDemand(peer.report.demand);
    }
  }
  for (const auto& peer : this->directory.Peers() | std::views::values) {
    const double weight = isKnown ? traffic[peer.endpoint] : 1;
    fleet.others.push_back({ peer.endpoint.Text(), weight });
  }
  return fleet;
}

ColdServers::FleetView PeerChannel::MakeFleetView() const
{
  ColdServers::FleetView view;
  view.self = this->state.settings.peers.Text();
  std::ranges::transform(this->directory.Peers() | std::views::values,
                         std::back_inserter(view.others),
                         [](const Presence& aPeer) { return aPeer.endpoint.Text(); });
  view.isRegistered = this->directory.IsRegistered();
  view.completeAt = this->state.storeUpToDateAt;
  return view;
}

} // namespace toucanstand
