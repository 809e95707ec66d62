#pragma once

#include <memory>
#include <set>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "BackendObserver.h"
#include "GroupRecords.h"
#include "NodeConfiguration.h"
#include "NodeSettings.h"
#include "WorldPublisher.h"
#include "crashes/SuspectArbiter.h"
#include "lifecycle/ShutdownSequence.h"
#include "members/Membership.h"
#include "operators/OperatorEndpoint.h"
#include "store/EtcdStore.h"

namespace toucanstand {

/// The toucanstand-node program: membership, configuration in force, observations.
class NodeProcess
{
public:
  explicit NodeProcess(NodeSettings aSettings);

  /// Serves until the process is told to stop. @returns the exit code
  ExitCode Run();

private:
  using MessageHandler = void (NodeProcess::*)(const Message&, TimePoint);

  bool Listen();
  void Start();
  void BeginDrain();
  void ArmTick();
  void Tick();
  void WatchStore();
  void WatchDomains();
  Task<> ReadStore();

  void OnMessage(const Message& aMessage);
  void OnMembership(const Message& aMessage, TimePoint aNow);
  void OnConfiguration(const Message& aMessage, TimePoint aNow);
  void OnConfigurationRequest(const Message& aMessage, TimePoint aNow);
  void OnStoreCopy(const Message& aMessage, TimePoint aNow);
  void OnObservations(const Message& aMessage, TimePoint aNow);
  void OnSubscribe(const Message& aMessage, TimePoint aNow);
  void OnSuspects(const Message& aMessage, TimePoint aNow);
  void OnRunAsk(const Message& aMessage, TimePoint aNow);
  void OnRunEnded(const Message& aMessage, TimePoint aNow);

  void Perform(const MembershipActions& aActions);
  void Perform(const SendMessage& aSend);
  void Perform(const MemberChanged& aChange);
  void Perform(const PeerMessageReceived& aPeer);
  void Perform(const NoticeReceived& aNotice);

  void Reject(const char* aReason);
  void OfferConfiguration(std::string_view aText, TimePoint aNow);
  void SendConfiguration(const Endpoint& aTo);
  void SendStoreCopies(const Endpoint& aTo);
  void OfferPlatform(const std::string& aText, std::int64_t aRevision);
  void OfferDomain(const DomainId& aDomain,
                   const std::string& aText,
                   std::int64_t aRevision);
  void SendToPeers(const std::string& aType, const nlohmann::json& aBody);
  void SpreadObservations(TimePoint aNow);
  void SpreadSuspects(TimePoint aNow);
  void Reassign();
  void PublishIfChanged();
  [[nodiscard]] WorldView View(TimePoint aNow) const;
  [[nodiscard]] std::vector<Vm> LiveVms() const;
  [[nodiscard]] bool IsReady() const;
  [[nodiscard]] nlohmann::json DescribeState() const;
  [[nodiscard]] Task<bool> ServeMore(HttpExchange& aExchange) const;

  NodeSettings settings;
  boost::asio::io_context loop;
  ShutdownSequence shutdown;
  MetricsRegistry metrics;
  Random random;
  MessagePort port;
  OperatorEndpoint operators;
  EtcdStore store;
  boost::asio::steady_timer tickTimer;
  std::unique_ptr<Membership> membership;
  std::unique_ptr<NodeConfiguration> configuration;
  PlatformList platform;
  std::string platformText;
  GroupRecords records;
  std::set<DomainId> watchedDomains;
  ObservationTable observations;
  BackendObserver observer;
  WorldPublisher publisher;
  CrashQuarantine quarantine;
  SuspectArbiter arbiter;
  bool assignmentOutdated = false;
  bool spreadUrgently = false;
  TimePoint spreadAt{};
  TimePoint requestedAt{};
  TimePoint suspectsSpreadAt{};
  TimePoint leftAt{};
};

} // namespace toucanstand
