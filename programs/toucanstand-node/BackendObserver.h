#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "NodeSettings.h"
#include "http/HttpClient.h"
#include "machines/PlatformList.h"
#include "observers/ObservationTable.h"
#include "observers/ObserverAssignment.h"
#include "random/Random.h"

namespace toucanstand {

/// Polls `GET /state` of the backend servers that are assigned to this node.
class BackendObserver
{
public:
  /// Called when the state of a server changed, other than its load.
  using Listener = std::function<void()>;

  /// @param aMetrics and @param aTable must outlive the observer
  BackendObserver(boost::asio::io_context& aLoop,
                  const NodeSettings& aSettings,
                  MetricsRegistry& aMetrics,
                  ObservationTable& aTable,
                  Random aRandom,
                  Listener aListener);

  /// Chooses the servers to poll. A member of a group has the observers of its group.
  void Assign(const PlatformList& aList,
              const std::map<ServerId, std::string>& aGroupOf,
              const ObserverAssignment& aAssignment);

  /// Starts the polls that are due.
  void Tick(TimePoint aNow);

  /// Polls a server at the next tick, if it is assigned to this node.
  void Hurry(const ServerId& aServer);

  [[nodiscard]] std::size_t Assigned() const { return this->targets.size(); }

private:
  struct Target
  {
    Endpoint endpoint;
    TimePoint nextPoll{};
    bool inFlight = false;
  };

  Task<> Poll(ServerId aServer, Endpoint aEndpoint);
  void Handle(const ServerId& aServer,
              const Endpoint& aEndpoint,
              const Result<HttpResponse, HttpFailure>& aResponse);

  boost::asio::io_context& loop;
  const NodeSettings& settings;
  MetricsRegistry& metrics;
  ObservationTable& table;
  Random random;
  Listener listener;
  HttpClient client;
  std::map<ServerId, Target> targets;
};

} // namespace toucanstand
