#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>

#include <boost/asio/io_context.hpp>

#include "CrashDetector.h"
#include "ServerSettings.h"
#include "answers/AnswerDurations.h"
#include "attempts/AttemptFailure.h"
#include "attempts/RetryBudget.h"
#include "crashes/CrashQuarantine.h"
#include "crashes/PromptPartQuarantine.h"
#include "demand/WorkMeter.h"
#include "http/HttpClient.h"
#include "lifecycle/StopSchedule.h"
#include "limits/ColdServers.h"
#include "limits/ServerAvailability.h"
#include "limits/ServerRateLimits.h"
#include "logging/DecisionLog.h"
#include "memory/MemoryBudget.h"
#include "metrics/MetricsRegistry.h"
#include "paths/BackendPaths.h"
#include "placement/GroupPlacement.h"
#include "platform/EngineClient.h"
#include "priority/PriorityAdmission.h"
#include "routing/Router.h"
#include "serving/ServerDirectory.h"
#include "serving/ServingConfiguration.h"
#include "serving/ZoneEvacuations.h"

namespace toucanstand {

struct Call;

/// State shared by the components of the process: the configuration, the known backend
/// servers, and the placement, routing, retry and quarantine state used by all requests.
class ServingState
{
public:
  ServingState(boost::asio::io_context& aLoop, ServerSettings aSettings);

  /// Applies a configuration if its version is above the current one.
  /// @returns true if applied
  bool ApplyConfiguration(ServingConfiguration aConfiguration);

  /// Rebuilds the possible destinations if the server directory or configuration changed.
  void RefreshDestinations(TimePoint aNow);

  /// Updates the placements' estimate of the requests that peers have sent since their
  /// last reports.
  /// @param aPeerDemand by model, in engine seconds per second as the cost model predicts
  /// them (pace 1)
  /// @param aAge mean age of the peers' reports
  void UpdateUnseenRequests(const std::map<std::string, double>& aPeerDemand,
                            Duration aAge);

  /// Applies that a zone was evacuated or taken back to the possible destinations.
  void OnEvacuationsChanged(TimePoint aNow);

  /// Logs that this VM was cut off from the backend servers or reaches them again.
  /// Failures that the cut explains no longer count against the servers.
  void OnPathsChanged();

  /// Returns the placement of a pool of model engines; null for other pools.
  [[nodiscard]] GroupPlacement* FindPlacement(const PoolId& aPool);

  /// Returns the cost model of a pool of model engines; null for other pools.
  [[nodiscard]] const EngineCostModel* FindCostModel(const PoolId& aPool) const;

  /// True while the local copy of the store is recent enough to reject a request because
  /// of the configuration.
  [[nodiscard]] bool IsStoreCopyRecent(TimePoint aNow) const;

  /// Records that a request is about to be sent to a server. @returns the id of this run
  RequestId OnRunStarted(const Call& aCall, const ServerId& aServer);

  /// Records the number of events that a run has delivered so far.
  void OnRunEvents(const RequestId& aRun, std::size_t aEvents, TimePoint aNow);

  /// Applies what the head of a response says about the server that sent it.
  /// @param aAsked the run of the server when the request was sent
  void OnResponseHead(const ServerRun& aAsked, const ReplyFacts& aFacts);

  /// Time until this VM may send the call to one of the servers that could serve it, if
  /// all of them must get no request now; else zero.
  [[nodiscard]] Duration TimeUntilAvailable(const Call& aCall, TimePoint aNow) const;

  /// The servers of a pool that must get no request now although they do not leave, and
  /// why, for the log.
  [[nodiscard]] std::string DescribeSpared(const PoolId& aPool, TimePoint aNow) const;
  [[nodiscard]] std::int64_t CountLeaving(const PoolId& aPool) const;

  /// Picks a registered server at random to which a connection may be opened; nothing if
  /// there is none.
  [[nodiscard]] std::optional<Endpoint> PickContactableServer(TimePoint aNow);

  /// The calls whose answers take about as long as that of this call.
  [[nodiscard]] AnswerDurations::Kind KindOf(const Call& aCall) const;

  /// Records that a call was answered.
  void OnAnswered(const Call& aCall,
                  const AnswerDurations::Answer& aAnswer,
                  TimePoint aNow);

  /// True unless a planned stop ends before the answer to a call that begins now would.
  [[nodiscard]] bool LeavesTimeFor(const Call& aCall, TimePoint aNow) const;

  /// The same for a call that may have run, so that it can't be left to another VM: true
  /// unless the answer would have to be quicker than expected.
  /// @param aDone part of the answer's time that need not be spent again
  [[nodiscard]] bool MayEndInTime(const Call& aCall,
                                  TimePoint aNow,
                                  Duration aDone = Duration::zero()) const;

  /// A backend server and its address.
  struct Destination
  {
    ServerId server;
    Endpoint endpoint;
  };

  /// Records the end of a run. If its connection broke, the server is probed; if that
  /// shows a crash, the requests that it was running are suspected of crashing servers.
  void OnRunEnded(const RequestId& aRun,
                  const Destination& aDestination,
                  std::optional<AttemptFailure> aFailure);

  // NOLINTBEGIN(misc-non-private-member-variables-in-classes): shared parts by design
  boost::asio::io_context& loop;
  ServerSettings settings;
  MetricsRegistry metrics;
  DecisionLog log;
  /// Bytes of servers' responses that are kept until they are whole.
  MemoryBudget responseMemory;
  /// Bytes of callers' requests, from their first byte until they are done.
  MemoryBudget requestMemory;
  Random random;
  /// Null until the first configuration is received.
  std::shared_ptr<const ServingConfiguration> configuration;
  std::optional<TimePoint> configurationInForceAt;
  /// Longest time that a call to a pool may take, in this or an earlier configuration:
  /// calls keep the one under which they were accepted.
  std::map<PoolId, Duration> longestRequests;
  /// Pools with calls that can't go on at another server, in this or an earlier
  /// configuration.
  std::set<PoolId> poolsWithUnmovableCalls;
  ServerDirectory directory;
  std::map<PoolId, GroupPlacement> placements;
  Router router;
  RetryBudget retryBudget;
  CrashQuarantine quarantine;
  PromptPartQuarantine promptPartQuarantine;
  ServerRateLimits rateLimits;
  ZoneEvacuations evacuations;
  ColdServers coldServers;
  ServerAvailability availability;
  WorkMeter workMeter;
  PriorityAdmission admission;
  /// Ways from this VM to the backend servers.
  BackendPaths paths;
  HttpClient backendClient;
  platform::EngineClient engineClient;
  /// Time as of which the local copy of the store is known to be complete: the start of
  /// the last read of the store, by this VM or its relay, that brought it up to date.
  TimePoint storeUpToDateAt{};
  AnswerDurations answerDurations;
  /// Times of the planned stop, once it has begun.
  std::optional<StopSchedule> stopSchedule;
  /// Minimum Retry-After of a request that is rejected because of the stop.
  Duration stopRetryAfter{ 0 };
  /// Requests that may have run and whose answer the stop did not wait for.
  std::size_t requestsEndedByStop = 0;
  /// Streams that broke off during the stop for another reason, such as a lost server.
  std::size_t streamsBrokenDuringStop = 0;
  /// True once all registrations of backend servers have been read.
  bool hasReadServers = false;
  /// Groups that this process, as the leader, is about to close.
  std::vector<GroupId> endingGroups;
  // NOLINTEND(misc-non-private-member-variables-in-classes)

private:
  void OnStatement(const ServerRun& aAsked, const ServerStatement& aStatement);
  void OnWaitStated(const ServerRun& aAsked, Duration aTime);
  [[nodiscard]] ExpectedAnswer ExpectAnswer(const Call& aCall, TimePoint aNow) const;
  /// Duration of an answer of the largest size that the request allows, in a full group;
  /// of a plain call, its latency objective.
  [[nodiscard]] std::optional<Duration> ExpectedDuration(const Call& aCall) const;
  void RefreshGroups(const ServingPool& aPool);
  void RefreshServices(TimePoint aNow);

  std::optional<std::uint64_t> destinationsRevision;
  std::uint64_t runCount = 0;
  CrashDetector crashDetector;
};

} // namespace toucanstand
