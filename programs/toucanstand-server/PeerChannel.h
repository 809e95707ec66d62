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
#include "store/ChangeFeed.h"
#include "store/ChangeRelay.h"

namespace toucanstand {

/// Datagrams to and from the other entry VMs: reports of load, suspicions and demand,
/// and queries for changes of the store. A lost datagram is replaced by the next one.
///
/// A few VMs report to one another directly. Of many, each reports to the relays, which
/// tell every VM that asks them for changes what all others have in progress.
class PeerChannel
{
public:
  /// A request stays on a group for about a second; peers must see it early in that time.
  static constexpr Duration kReportInterval = std::chrono::milliseconds(100);
  /// Without any request in progress.
  static constexpr Duration kIdleInterval = std::chrono::milliseconds(1000);
  /// Between two sums of reports to those that ask a relay: half of the reports'
  /// interval, because sums come on top of it.
  static constexpr Duration kAggregateInterval = std::chrono::milliseconds(50);
  /// Above this, direct reports would be more datagrams than reports through relays.
  static constexpr std::size_t kMaxDirectPeers = 16;
  /// VMs that asked for changes within this time get sums of reports; they ask about
  /// every half second.
  static constexpr Duration kSubscriptionLifetime = std::chrono::milliseconds(1500);

  /// @param aRunId names this run of this process among all
  PeerChannel(ServingState& aState, std::uint64_t aRunNumber, const std::string& aRunId);

  /// @returns false when the endpoint can't be used.
  bool Listen(const Endpoint& aEndpoint);

  /// Run until the process ends.
  Task<> SendReports();
  Task<> SendAggregates();
  Task<> ReceiveDatagrams();

  /// Tells those that ask this relay what changed.
  void PushChanges(const ChangeAnswer& aChanges);

  /// Sends a datagram now or not at all.
  void Send(const std::vector<std::uint8_t>& aBytes, const Endpoint& aTo);

  /// A key of the system changed.
  void OnSystemKeyChanged(const StoreChange& aChange);

  /// Called for each group that a peer or this process found silent.
  std::function<void(const GroupId&)> onGroupSuspected;
  /// Answers a peer that asks for changes.
  std::function<ChangeAnswer(const ChangeQuery&)> onQuery;
  /// Called with a relay's answer or news.
  std::function<void(ChangeAnswer)> onAnswer;

  /// Work that the callers of the other entry VMs ask for, and of all, by model.
  [[nodiscard]] std::map<std::string, double> PeerDemand(TimePoint aNow);
  [[nodiscard]] std::map<std::string, double> TotalDemand(TimePoint aNow);

  /// Mean age of what is known of the others' load.
  [[nodiscard]] Duration MeanReportAge() const;

  [[nodiscard]] PeerDirectory& Directory() { return this->directory; }
  [[nodiscard]] std::size_t PeerCount() const { return this->directory.Others().size(); }

  /// Suspicions that wait for the next sums; for the state dump.
  [[nodiscard]] std::size_t PendingSuspicionCount() const
  {
    return this->pendingSuspicions.size();
  }

private:
  struct ReceivedReport
  {
    PeerReport report;
    TimePoint receivedAt{};
    Endpoint endpoint;
  };

  void HandleDatagram(std::span<const std::uint8_t> aBytes, const Endpoint& aFrom);
  void HandleReport(PeerReport aReport, const Endpoint& aFrom, TimePoint aNow);
  void HandleQuery(const ChangeQuery& aQuery, const Endpoint& aFrom, TimePoint aNow);
  void RemoveExpired(TimePoint aNow);
  void CountInvalidDatagram(DatagramFailure aFailure);
  void NotifySuspected(const std::vector<std::string>& aGroups);

  [[nodiscard]] PeerReport MakeReport(TimePoint aNow);
  void SendReport(const PeerReport& aReport);
  void SendAggregatesNow(TimePoint aNow);
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
  std::map<VmId, ReceivedReport> latestReports;
  /// The last sum of a relay.
  ReceivedReport latestAggregate;
  /// When each VM asked for changes last.
  std::map<Endpoint, TimePoint> subscribers;
  /// Groups that peers found silent since the last sums were sent.
  std::vector<std::string> pendingSuspicions;
  std::array<std::uint8_t, 65536> buffer{};
};

} // namespace toucanstand
