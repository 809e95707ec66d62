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
#include "peers/ReportRoute.h"

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
  , received(aState.settings.id)
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
    this->foreignSuspicions.clear();
    // The successor of a zone's only relay begins soon; its VMs get no other aggregates.
    const Duration idle =
      this->directory.AreRelaysByZone() ? kReportInterval : kIdleInterval;
    this->aggregateTimer.expires_after(sendsAggregates ? kAggregateInterval : idle);
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

void PeerChannel::SendQuery(const std::vector<std::uint8_t>& aBytes, const Endpoint& aTo)
{
  this->Send(aBytes, aTo, Kind::Changes);
}

void PeerChannel::Send(const std::vector<std::uint8_t>& aBytes,
                       const Endpoint& aTo,
                       Kind aKind)
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
    return;
  }
  // In the order of the enumerators of Kind.
  constexpr std::array kKinds = { "report", "aggregate", "zone_aggregate", "changes" };
  const auto zone = this->directory.ZoneOf(aTo);
  const auto* const place = zone.IsEmpty()                      ? "unknown"
                            : zone == this->directory.OwnZone() ? "own"
                                                                : "other";
  this->state.metrics.Count(std::string("peer_bytes_sent_total{kind=\"") +
                              kKinds.at(static_cast<std::size_t>(aKind)) + "\",zone=\"" +
                              place + "\"}",
                            aBytes.size());
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
  if (datagram->kind == DatagramKind::ZoneAggregate) {
    auto aggregate = DecodeZoneAggregate(datagram->fields);
    if (aggregate) {
      this->HandleZoneAggregate(std::move(*aggregate), now);
    } else {
      this->CountInvalidDatagram(aggregate.LastReason());
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
  this->Send(EncodeChangeAnswer(this->onQuery(aQuery)), aFrom, Kind::Changes);
}

void PeerChannel::PushChanges(const ChangeAnswer& aChanges)
{
  this->RemoveExpired(BootClock::now());
  if (!this->directory.IsRelay() || this->subscribers.empty()) {
    return;
  }
  const auto bytes = EncodeChangeAnswer(aChanges);
  for (const auto& endpoint : this->subscribers | std::views::keys) {
    this->Send(bytes, endpoint, Kind::Changes);
  }
}

void PeerChannel::HandleReport(PeerReport aReport, const Endpoint& aFrom, TimePoint aNow)
{
  if (aReport.sender == this->state.settings.id) {
    return;
  }
  const bool isAggregate = aReport.aggregatedVms > 0;
  // Aggregates of two relays may alternate while this VM switches between them, so only
  // reports of the same sender and run are compared.
  const auto& previous = this->latestAggregate.report;
  const bool isOutdated = isAggregate && previous.sender == aReport.sender &&
                          previous.runNumber == aReport.runNumber &&
                          aReport.sequence <= previous.sequence;
  ReceivedReport arrived{
    std::move(aReport), aNow, aFrom, this->directory.ZoneOf(aFrom)
  };
  if (isOutdated || (!isAggregate && !this->received.Add(arrived))) {
    return;
  }
  const auto& report = arrived.report;
  this->ApplyNews(report, aNow);
  if (isAggregate) {
    // The relay of a zone adds up what other VMs report; it may have asked another relay
    // shortly before it became one.
    const bool isSummedUpHere =
      this->directory.AreRelaysByZone() && this->directory.IsRelay();
    if (!isSummedUpHere) {
      this->ApplyLoads(AggregateSender(), report, aNow);
    }
    if (this->directory.RelayOfOwnZone() == aFrom) {
      this->ownRelayHeardAt = aNow;
    }
    this->latestAggregate = std::move(arrived);
    return;
  }
  std::ranges::copy(report.suspectedGroups, std::back_inserter(this->pendingSuspicions));
  const bool isInZoneAggregate =
    this->received.IsInAggregateSince(report.sender, aNow - kLoadLifetime);
  if (!isInZoneAggregate) {
    this->ApplyLoads(report.sender, report, aNow);
  }
}

void PeerChannel::HandleZoneAggregate(ZoneAggregate aAggregate, TimePoint aNow)
{
  // A VM that is no relay gets these loads from one, as a part of its aggregate.
  const bool isUsed = this->directory.AreRelaysByZone() && this->directory.IsRelay() &&
                      aAggregate.zone != this->directory.OwnZone();
  if (!isUsed) {
    this->ApplyNews(aAggregate.sum, aNow);
    return;
  }
  const auto sum = aAggregate.sum;
  const auto replaced = this->received.Add(std::move(aAggregate), aNow);
  if (!replaced) {
    return;
  }
  this->ApplyNews(sum, aNow);
  std::ranges::copy(sum.suspectedGroups, std::back_inserter(this->foreignSuspicions));
  for (const auto& sender : *replaced) {
    this->ApplyLoads(sender, {}, aNow);
  }
  this->ApplyLoads(PeerReportCollection::AggregateOf(sum.sender), sum, aNow);
}

void PeerChannel::ApplyNews(const PeerReport& aReport, TimePoint aNow)
{
  for (const auto fingerprint : aReport.quarantinedFingerprints) {
    this->state.quarantine.Merge(
      QuarantineEntry{ fingerprint, aNow + CrashQuarantine::kSuspicionLifetime }, aNow);
  }
  this->state.promptPartQuarantine.Merge(ToPromptPartEvidence(aReport), aNow);
  this->state.rateLimits.Merge(ToRateLimits(aReport), aNow);
  for (auto& placement : this->state.placements | std::views::values) {
    for (const auto& group : aReport.suspectedGroups) {
      placement.OnPeerSuspicion(GroupId(group), aNow);
    }
    for (const auto& [model, time] : aReport.learnedOverheads) {
      placement.OnPeerOverhead(model, FromSeconds(time.seconds));
    }
  }
  this->NotifySuspected(aReport.suspectedGroups);
}

void PeerChannel::ApplyLoads(const VmId& aSender,
                             const PeerReport& aReport,
                             TimePoint aNow)
{
  const auto loads = ToGroupLoads(aReport);
  for (auto& placement : this->state.placements | std::views::values) {
    placement.OnPeerLoads(aSender, loads, aNow);
  }
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
  for (const auto& receiver : this->ReportReceivers(BootClock::now())) {
    this->Send(bytes, receiver, Kind::Report);
  }
}

std::vector<Endpoint> PeerChannel::ReportReceivers(TimePoint aNow)
{
  if (this->ReportsDirectly()) {
    std::vector<Endpoint> peers;
    std::ranges::transform(this->directory.Peers() | std::views::values,
                           std::back_inserter(peers),
                           &Presence::endpoint);
    return peers;
  }
  if (this->directory.AreRelaysByZone()) {
    if (this->directory.IsRelay()) {
      // Its own load is part of the aggregates that it sends.
      return {};
    }
    const auto relay = this->directory.RelayOfOwnZone();
    if (relay && aNow - this->ownRelayHeardAt <= kRelaySilence) {
      return { *relay };
    }
  }
  return this->directory.Relays();
}

void PeerChannel::RemoveExpired(TimePoint aNow)
{
  std::erase_if(this->subscribers, [aNow](const auto& aSubscriber) {
    return aNow - aSubscriber.second > kSubscriptionLifetime;
  });
  this->received.RemoveOlderThan(aNow - kDemandLifetime);
}

void PeerChannel::SendAggregatesNow(TimePoint aNow)
{
  PeerReportAggregator total;
  total.Add(this->lastReport);
  ++this->aggregateSequence;
  if (this->directory.AreRelaysByZone()) {
    this->SendZoneAggregate(aNow);
  }
  const auto evidence = this->state.promptPartQuarantine.News(aNow, NewsScope::All);
  const auto rateLimits = this->state.rateLimits.News(aNow, NewsScope::All);
  for (const auto* report : this->received.CountingSince(aNow - kLoadLifetime)) {
    total.Add(*report);
  }
  // Also of VMs that count as a part of a zone's aggregate.
  std::map<Endpoint, const PeerReport*> reports;
  for (const auto& peer : this->received.Reports() | std::views::values) {
    if (aNow - peer.receivedAt <= kLoadLifetime) {
      reports[peer.endpoint] = &peer.report;
    }
  }
  auto suspicions = this->pendingSuspicions;
  std::ranges::copy(this->foreignSuspicions, std::back_inserter(suspicions));
  for (const auto& endpoint : this->subscribers | std::views::keys) {
    const auto subscriberReport = reports.find(endpoint);
    PeerReport aggregate = subscriberReport == reports.end()
                             ? total.Total()
                             : total.TotalWithout(*subscriberReport->second);
    aggregate.sender = this->state.settings.id;
    aggregate.runNumber = this->runNumber;
    aggregate.sequence = this->aggregateSequence;
    aggregate.suspectedGroups = suspicions;
    SetCrashEvidence(aggregate, evidence);
    SetRateLimits(aggregate, rateLimits);
    this->Send(EncodePeerReport(aggregate), endpoint, Kind::Aggregate);
  }
}

void PeerChannel::SendZoneAggregate(TimePoint aNow)
{
  auto aggregate = this->received.SumOfZone(
    this->directory.OwnZone(), this->lastReport, aNow - kLoadLifetime, aNow);
  aggregate.sum.sender = this->state.settings.id;
  aggregate.sum.runNumber = this->runNumber;
  aggregate.sum.sequence = this->aggregateSequence;
  aggregate.sum.suspectedGroups = this->pendingSuspicions;
  const auto bytes = EncodeZoneAggregate(aggregate);
  for (const auto& relay : this->directory.Relays()) {
    this->Send(bytes, relay, Kind::ZoneAggregate);
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

Duration PeerChannel::MeanReportAge()
{
  ReportRoute route{ kReportInterval, kAggregateInterval, kDatagramDelay };
  route.isByZone = !this->ReportsDirectly() && this->directory.AreRelaysByZone();
  route.isThroughRelay =
    !this->ReportsDirectly() && !(route.isByZone && this->directory.IsRelay());
  if (route.isByZone) {
    route.zoneDelay = this->state.configuration->LargestZoneDelay();
    route.shareOfOtherZones = this->directory.ShareOfOtherZones();
  }
  return route.MeanAge();
}

std::map<std::string, double> PeerChannel::PeerDemand(TimePoint aNow)
{
  if (!this->ReportsDirectly() && !this->directory.IsRelay()) {
    const bool fresh = aNow - this->latestAggregate.receivedAt <= kDemandLifetime;
    return fresh ? this->latestAggregate.report.demand : std::map<std::string, double>();
  }
  return this->received.DemandSince(aNow - kDemandLifetime);
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
    for (const auto& peer : this->received.Reports() | std::views::values) {
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
