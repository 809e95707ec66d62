#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "ServingState.h"
#include "peers/PeerDirectory.h"
#include "peers/PeerReport.h"
#include "peers/PeerReportCollection.h"
#include "peers/ZoneAggregate.h"
#include "store/ChangeFeed.h"
#include "store/ChangeRelay.h"

namespace toucanstand {

/// Sends and receives datagrams between entry VMs: reports of load, suspected groups and
/// demand, and queries for store changes. Lost datagrams are not resent; the next one
/// replaces them.
///
/// Up to kMaxDirectPeers peers report to each other directly. With more, each VM reports
/// to the relays; a relay sends an aggregate of all other VMs' reports to every VM that
/// queries it for changes (its subscribers). Where relays are chosen by zone, a VM
/// reports to the relay of its zone, and relays send one another the aggregates of their
/// zones.
class PeerChannel
{
public:
  /// A request runs on a group for about 1 s; peers must learn of it early in that time.
  static constexpr Duration kReportInterval = std::chrono::milliseconds(100);
  /// Report interval while no request is in progress.
  static constexpr Duration kIdleInterval = std::chrono::milliseconds(1000);
  /// Interval between two aggregates to the subscribers of a relay. It is half the report
  /// interval, because a load that reaches a VM through a relay waits for a report and
  /// then for an aggregate.
  static constexpr Duration kAggregateInterval = std::chrono::milliseconds(50);
  static constexpr std::size_t kMaxDirectPeers = PeerDirectory::kMaxDirectPeers;
  /// Without an aggregate for six intervals, the relay of the own zone counts as silent,
  /// and this VM reports to all relays.
  static constexpr Duration kRelaySilence = std::chrono::milliseconds(300);
  /// Peers hear of a suspected group once this VM has connected to another server, or
  /// after this time if it has not found itself cut off.
  static constexpr Duration kSuspicionDelay = std::chrono::milliseconds(500);
  /// A VM receives aggregates for this long after its last query for changes; VMs query
  /// about every 0.5 s.
  static constexpr Duration kSubscriptionLifetime = std::chrono::milliseconds(1500);

  /// @param aRunNumber random number that distinguishes restarts of this process
  /// @param aRunId unique id of this run of the process
  PeerChannel(ServingState& aState, std::uint64_t aRunNumber, const std::string& aRunId);

  /// @returns false when the endpoint can't be used.
  bool Listen(const Endpoint& aEndpoint);

  /// Each of these loops runs until the process ends.
  Task<> SendReports();
  Task<> SendAggregates();
  Task<> ReceiveDatagrams();

  /// Sends store changes to all subscribers, if this VM is a relay.
  void PushChanges(const ChangeAnswer& aChanges);

  /// Sends a query for changes.
  void SendQuery(const std::vector<std::uint8_t>& aBytes, const Endpoint& aTo);

  /// Updates the peer directory from a changed presence key; ignores other keys.
  void OnSystemKeyChanged(const StoreChange& aChange);

  /// Called for each group that a peer or this process suspects of having failed.
  std::function<void(const GroupId&)> onGroupSuspected;
  /// Answers a peer's query for store changes.
  std::function<ChangeAnswer(const ChangeQuery&)> onQuery;
  /// Called with a relay's answer to a query or with changes that it pushed.
  std::function<void(ChangeAnswer)> onAnswer;

  /// Returns the demand of the callers of all other entry VMs, by model, in engine
  /// seconds per second.
  [[nodiscard]] std::map<std::string, double> PeerDemand(TimePoint aNow);
  /// Like PeerDemand(), but includes the demand of this VM's callers.
  [[nodiscard]] std::map<std::string, double> TotalDemand(TimePoint aNow);

  /// This VM and its peers, with their traffic where it is known.
  struct FleetTraffic
  {
    ServerRateLimits::Vm self;
    std::vector<ServerRateLimits::Vm> others;
  };
  [[nodiscard]] FleetTraffic TrafficByVm(TimePoint aNow);

  /// The registered VMs, for the shares of what cold servers tolerate.
  [[nodiscard]] ColdServers::FleetView MakeFleetView() const;

  /// Mean age of the known load of the other VMs.
  [[nodiscard]] Duration MeanReportAge();

  [[nodiscard]] PeerDirectory& Directory() { return this->directory; }
  [[nodiscard]] std::size_t PeerCount() const { return this->directory.Peers().size(); }

  /// Number of suspected groups not yet sent in an aggregate; for the state dump.
  [[nodiscard]] std::size_t PendingSuspicionCount() const
  {
    return this->pendingSuspicions.size() + this->foreignSuspicions.size();
  }

private:
  /// What a datagram carries, for the count of bytes.
  enum class Kind
  {
    Report,
    Aggregate,
    ZoneAggregate,
    Changes,
  };

  using ReceivedReport = PeerReportCollection::Received;

  /// Sends a datagram without blocking; it is dropped if that fails.
  ///
  /// @param aKind names the datagram in the count of bytes
  void Send(const std::vector<std::uint8_t>& aBytes, const Endpoint& aTo, Kind aKind);
  void HandleDatagram(std::span<const std::uint8_t> aBytes, const Endpoint& aFrom);
  void HandleReport(PeerReport aReport, const Endpoint& aFrom, TimePoint aNow);
  void HandleZoneAggregate(ZoneAggregate aAggregate, TimePoint aNow);
  /// Applies what a report says about single groups, servers and requests.
  void ApplyNews(const PeerReport& aReport, TimePoint aNow);
  void ApplyLoads(const VmId& aSender, const PeerReport& aReport, TimePoint aNow);
  void HandleQuery(const ChangeQuery& aQuery, const Endpoint& aFrom, TimePoint aNow);
  void RemoveExpired(TimePoint aNow);
  void CountInvalidDatagram(DatagramFailure aFailure);
  void NotifySuspected(const std::vector<std::string>& aGroups);

  [[nodiscard]] PeerReport MakeReport(TimePoint aNow);
  /// Returns the suspicions that peers should hear of: not those that a failure of this
  /// VM's own network would explain.
  [[nodiscard]] std::vector<std::string> TakeSharedSuspicions(TimePoint aNow);
  void SendReport(const PeerReport& aReport);
  /// The relays, or the one of the own zone alone while it sends aggregates.
  [[nodiscard]] std::vector<Endpoint> ReportReceivers(TimePoint aNow);
  void SendAggregatesNow(TimePoint aNow);
  void SendZoneAggregate(TimePoint aNow);
  [[nodiscard]] bool ReportsDirectly() const
  {
    return this->PeerCount() <= kMaxDirectPeers;
  }

  ServingState& state;
  boost::asio::ip::udp::socket socket;
  boost::asio::steady_timer reportTimer;
  boost::asio::steady_timer aggregateTimer;
  std::uint64_t runNumber;
  std::uint64_t sequence = 0;
  std::uint64_t aggregateSequence = 0;
  PeerReport lastReport;
  PeerDirectory directory;
  PeerReportCollection received;
  /// Last aggregate received from a relay.
  ReceivedReport latestAggregate;
  /// Time of the last aggregate of the relay of the own zone.
  TimePoint ownRelayHeardAt{};
  /// Time of the last query for changes, by VM.
  std::map<Endpoint, TimePoint> subscribers;
  /// A group that failed requests of this VM point to.
  struct OwnSuspicion
  {
    std::string group;
    TimePoint at{};
  };

  std::vector<OwnSuspicion> ownSuspicions;
  /// Groups reported as suspected since the last aggregates were sent.
  std::vector<std::string> pendingSuspicions;
  /// The same from other zones, which their relays have told the other relays.
  std::vector<std::string> foreignSuspicions;
  std::array<std::uint8_t, 65536> buffer{};
};

} // namespace toucanstand
