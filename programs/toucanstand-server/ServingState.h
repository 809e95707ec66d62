#pragma once

#include <map>
#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>

#include "ServerSettings.h"
#include "attempts/AttemptFailure.h"
#include "attempts/RetryBudget.h"
#include "crashes/CrashQuarantine.h"
#include "demand/WorkMeter.h"
#include "http/HttpClient.h"
#include "logging/DecisionLog.h"
#include "metrics/MetricsRegistry.h"
#include "placement/GroupPlacement.h"
#include "platform/EngineClient.h"
#include "routing/Router.h"
#include "serving/ServerDirectory.h"
#include "serving/ServingConfiguration.h"

namespace toucanstand {

/// What the parts of the process share: what is known of the configuration and of the
/// backend servers, and the decisions that all requests have in common.
class ServingState
{
public:
  ServingState(boost::asio::io_context& aLoop, ServerSettings aSettings);

  /// Takes a configuration over if its version is above the one in force.
  bool ApplyConfiguration(ServingConfiguration aConfiguration);

  /// Rebuilds the destinations of requests if servers changed.
  void RefreshDestinations(TimePoint aNow);

  /// Tells placement how much of the others' load is not known yet.
  /// @param aPeerDemand engine seconds a second at pace 1, by model
  void UpdateUnseenRequests(const std::map<std::string, double>& aPeerDemand,
                            Duration aAge);

  /// Placement of a pool of model engines; null for other pools.
  [[nodiscard]] GroupPlacement* FindPlacement(const PoolId& aPool);

  /// The model's terms and costs in any pool; null when no pool runs it.
  [[nodiscard]] const EngineCostModel* FindCostModel(const PoolId& aPool) const;

  /// True while what is known of the configuration is recent enough to reject a request
  /// for it.
  [[nodiscard]] bool IsStoreCopyRecent(TimePoint aNow) const;

  /// A request is about to be sent to a server. @returns the name of the run
  RequestId OnRunStarted(const RequestId& aCall,
                         std::uint64_t aFingerprint,
                         const ServerId& aServer);

  /// A server and where it listens.
  struct Destination
  {
    ServerId server;
    Endpoint endpoint;
  };

  /// A run ended. When its connection broke, the server is asked whether it lives: the
  /// requests that it was running are suspected of crashing servers if it does not.
  void OnRunEnded(const RequestId& aRun,
                  const Destination& aDestination,
                  std::optional<AttemptFailure> aFailure);

  // NOLINTBEGIN(misc-non-private-member-variables-in-classes): shared parts by design
  boost::asio::io_context& loop;
  ServerSettings settings;
  MetricsRegistry metrics;
  DecisionLog log;
  Random random;
  /// Null before the first configuration.
  std::shared_ptr<const ServingConfiguration> configuration;
  ServerDirectory directory;
  std::map<PoolId, GroupPlacement> placements;
  Router router;
  RetryBudget retryBudget;
  CrashQuarantine quarantine;
  WorkMeter workMeter;
  HttpClient backendClient;
  platform::EngineClient engineClient;
  /// Start of the last call that brought the copy of the store up to date.
  TimePoint storeUpToDateAt{};
  bool hasReadServers = false;
  /// Groups that this process, as the leader, has no further use for.
  std::vector<GroupId> endingGroups;
  // NOLINTEND(misc-non-private-member-variables-in-classes)

private:
  Task<> ProbeServer(Destination aDestination);
  void RefreshGroups(const ServingPool& aPool);
  void RefreshServices(TimePoint aNow);

  std::optional<std::uint64_t> destinationsRevision;
  std::uint64_t runCount = 0;
};

} // namespace toucanstand
