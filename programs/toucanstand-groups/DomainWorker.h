#pragma once

#include <cstddef>
#include <map>

#include <boost/asio/io_context.hpp>

#include "DomainLease.h"
#include "GroupsSettings.h"
#include "control/GroupController.h"
#include "http/HttpClient.h"
#include "machines/PlatformList.h"
#include "metrics/MetricsRegistry.h"
#include "store/PlatformStore.h"

namespace toucanstand {

/// Works for one fabric domain: turns replies of the store and of the engines into events
/// of the controller, and its actions into calls.
class DomainWorker
{
public:
  /// @param aSettings, aStore, aClient, aMetrics must outlive the worker.
  DomainWorker(boost::asio::io_context& aLoop,
               const GroupsSettings& aSettings,
               const DomainId& aDomain,
               PlatformStore& aStore,
               HttpClient& aClient,
               MetricsRegistry& aMetrics,
               Random aRandom);

  /// Begins to compete for the domain.
  void Start();

  /// Lets time pass; to be called several times per second.
  void Tick(const PlatformList& aList, TimePoint aNow);

  /// Gives the lease back and takes no further action.
  void Stop();

  /// Whether calls that change something are in flight.
  [[nodiscard]] bool IsBusy() const { return this->callsInFlight > 0; }

  [[nodiscard]] nlohmann::json Describe() const;

private:
  struct Polled
  {
    Observation last;
    TimePoint nextPoll{};
    bool inFlight = false;
  };

  void Handle(const ControllerEvent& aEvent);
  void Perform(const ControllerAction& aAction);
  void Spawn(Task<> aTask);
  void PollEngines(const PlatformList& aList, TimePoint aNow);
  Task<> Poll(ServerId aServer, Endpoint aEndpoint);
  Task<> Read(std::uint64_t aTicket);
  Task<> Write(WriteRecord aAction);
  Task<> Order(SendOrder aAction);
  [[nodiscard]] HttpRequest OrderRequest(const SendOrder& aAction) const;

  boost::asio::io_context& loop;
  const GroupsSettings& settings;
  DomainId domain;
  PlatformStore& store;
  HttpClient& client;
  MetricsRegistry& metrics;
  DomainLease lease;
  GroupController controller;
  std::map<ServerId, BackendServer> servers;
  std::map<ServerId, Polled> polled;
  std::size_t callsInFlight = 0;
  bool stopped = false;
};

} // namespace toucanstand
