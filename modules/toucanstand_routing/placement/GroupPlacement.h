#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "errors/Result.h"
#include "identifiers/Identifiers.h"
#include "network/Endpoint.h"
#include "placement/ArrivalDistribution.h"
#include "placement/GroupLoad.h"
#include "placement/GroupPrediction.h"
#include "random/Random.h"
#include "serving/CallFacts.h"
#include "serving/EngineCostModel.h"

namespace toucanstand {

/// A replica group that may get requests.
struct ServingGroup
{
  GroupId id;
  std::string model;
  ServerId head;
  Endpoint endpoint;
  ZoneId zone;
};

/// A generation request to be placed.
struct PlacementQuery
{
  std::string model;
  double promptTokens = 0;
  /// Time in which the first event is wanted.
  Duration firstEventTarget{ 0 };
  /// Groups that must not be chosen, for example those already tried.
  std::vector<GroupId> excluded;
  /// Place it even if no group is predicted to be in time, as for a stream that has
  /// begun.
  bool mustPlace = false;
};

/// Where a request goes and why.
struct PlacementChoice
{
  ServingGroup group;
  /// By the cost model alone, and with what was learned.
  Duration modelled{ 0 };
  Duration predicted{ 0 };
  GroupBacklog backlog;
};

/// Why a request was not placed.
enum class PlacementRefusalReason
{
  /// No group of the model may get requests.
  NoGroup,
  /// No group is predicted to bring the first event in the time wanted.
  Overloaded,
};

[[nodiscard]] const char* Name(PlacementRefusalReason aReason);

/// A refusal with the time after which capacity is expected.
struct RefusedPlacement
{
  PlacementRefusalReason reason = PlacementRefusalReason::NoGroup;
  Duration retryAfter{ 0 };
  /// Groups that could have been chosen, the soonest prediction and the longest allowed.
  std::size_t consideredGroups = 0;
  Duration earliestPrediction{ 0 };
  Duration predictionLimit{ 0 };
};

/// How a request on a group ended, as far as placement is concerned.
enum class GroupRequestOutcome
{
  Answered,
  /// Rejected without being run: the group is full.
  Rejected,
  /// No connection, another server at the address, or a head that lost a member.
  Unusable,
  /// No event for longer than a group in order takes.
  Stalled,
  /// Broken off or answered with a failure.
  Failed,
  /// Ended by the caller or by this process.
  Abandoned,
};

/// Chooses the replica group of a model that is predicted to bring the first event
/// soonest, from the operator's cost model and from all requests that this entry VM and
/// its peers have in progress.
///
/// It answers the crest of demand, when all groups run near their number of slots: least
/// outstanding requests would ignore that prompts differ thirtyfold in length, and
/// without the peers' requests several entry VMs would fill the same gap. Peers' requests
/// that no report shows yet are assumed to level the groups out.
class GroupPlacement
{
public:
  /// Most of the wanted time that a prediction may use, however exact predictions are.
  static constexpr double kMaxTargetShare = 0.85;
  /// A group with fewer of its slots taken refuses nothing.
  static constexpr double kLowOccupancyShare = 0.5;
  /// A peer's report is used for this long; peers report ten times a second.
  static constexpr Duration kPeerReportLifetime = std::chrono::milliseconds(1000);
  /// Load that a server states with an answer is a few hundred milliseconds old.
  static constexpr Duration kStatedLoadLifetime = std::chrono::milliseconds(300);
  /// Extra cost of a group in another availability zone: two round trips and their bytes.
  static constexpr Duration kCrossZonePenalty = std::chrono::milliseconds(8);
  /// Time for which a group that rejected a request as full is avoided.
  static constexpr Duration kRejectionBackoff = std::chrono::milliseconds(150);
  /// Time for which a group that can't be used is avoided; the registration tells more
  /// after this.
  static constexpr Duration kUnusableBackoff = std::chrono::milliseconds(1500);
  /// A group that lost a member is silent for 5 s and then rejects.
  static constexpr Duration kStallBackoff = std::chrono::milliseconds(5000);
  /// A group whose streams all pause for this long is reported as silent: a pass with
  /// prompts read in between takes under 300 ms.
  static constexpr Duration kStreamSilenceTimeout = std::chrono::milliseconds(420);
  static constexpr Duration kSuspicionReportInterval = std::chrono::milliseconds(1000);
  /// Time for which a peer's report of a silent group is believed; members that live
  /// answer the leader's questions within it.
  static constexpr Duration kPeerSuspicionDuration = std::chrono::milliseconds(1500);
  /// Failures in a row after which a group is avoided, and for how long at first.
  static constexpr int kFailureThreshold = 3;
  static constexpr Duration kInitialFailureBackoff = std::chrono::milliseconds(1000);
  static constexpr Duration kMaxFailureBackoff = std::chrono::milliseconds(8000);
  /// Requests after which a VM's own learned time is better than its peers'.
  static constexpr std::size_t kMinOwnSamples = 10;

  GroupPlacement(ZoneId aOwnZone, Random aRandom);

  void SetCost(const EngineCostModel& aCost) { this->cost = aCost; }

  /// Replaces the groups that may get requests. What is known of those that stay is kept.
  void Update(const std::vector<ServingGroup>& aGroups);

  [[nodiscard]] Result<PlacementChoice, RefusedPlacement> Choose(
    const PlacementQuery& aQuery,
    TimePoint aNow);

  /// Names a request in progress.
  using Ticket = std::uint64_t;

  /// A request was sent to a group.
  Ticket OnSent(const PlacementChoice& aChoice, double aPromptTokens, TimePoint aNow);
  /// Events arrived.
  void OnEvents(Ticket aTicket, TimePoint aNow);
  /// Call exactly once for each ticket.
  void OnEnded(Ticket aTicket, GroupRequestOutcome aOutcome, TimePoint aNow);

  void OnStatedLoad(const GroupId& aGroup, const StatedLoad& aLoad, TimePoint aNow);

  /// Replaces what a peer has in progress.
  void OnPeerLoads(const VmId& aPeer,
                   const std::vector<GroupLoad>& aLoads,
                   TimePoint aNow);

  /// A peer saw that a group is silent. Not believed while own streams flow: the peer may
  /// be cut off from the group.
  void OnPeerSuspicion(const GroupId& aGroup, TimePoint aNow);

  /// Requests for the model that peers have sent, to any group, since their reports that
  /// are known here.
  void SetUnreportedPeerRequests(const std::string& aModel, double aCount);

  /// Time to the first event beyond the cost model that this VM has learned.
  struct LearnedOverhead
  {
    Duration time{ 0 };
    std::size_t samples = 0;
  };
  [[nodiscard]] std::map<std::string, LearnedOverhead> LearnedOverheads() const;

  /// A peer's time counts until this VM has served some requests itself.
  void OnPeerOverhead(const std::string& aModel, Duration aTime);

  /// What this entry VM has in progress, for its peers.
  [[nodiscard]] std::vector<GroupLoad> OwnLoads(TimePoint aNow) const;

  /// Groups that went silent since the last call.
  [[nodiscard]] std::vector<GroupId> TakeSuspicions(TimePoint aNow);

  /// True while this process has reason to believe that a group does not answer.
  [[nodiscard]] bool IsSuspected(const GroupId& aGroup, TimePoint aNow) const;

  [[nodiscard]] std::size_t GroupCount(const std::string& aModel) const;
  [[nodiscard]] nlohmann::json Describe(TimePoint aNow) const;

private:
  struct PeerLoad
  {
    GroupLoad load;
    TimePoint receivedAt{};
  };

  struct GroupState
  {
    ServingGroup group;
    GroupLoad ownLoad;
    std::map<VmId, PeerLoad> peers;
    StatedLoad stated;
    TimePoint statedAt{};
    TimePoint avoidedUntil{};
    TimePoint suspectedUntil{};
    int failuresInARow = 0;
    /// Observed time to the first event, relative to the prediction; 1 is as predicted.
    double slowdown = 1.0;
    TimePoint slowdownUpdatedAt{};
    /// When events of any of this entry VM's requests arrived last.
    TimePoint lastEventsAt{};
    /// When its silence was reported last.
    TimePoint silenceReportedAt{};
  };

  /// What is learned for each model over all of its groups.
  struct ModelState
  {
    /// Time to the first event that the cost model does not state, such as that of the
    /// engine's front end.
    LearnedOverhead overhead;
    /// Observed time relative to the prediction that most requests do not exceed.
    double margin = 1.0;
    double unreportedPeerRequests = 0;
  };

  struct RequestInProgress
  {
    GroupId group;
    double promptTokens = 0;
    /// By the cost model alone.
    Duration modelled{ 0 };
    Duration predicted{ 0 };
    TimePoint sentAt{};
    bool decoding = false;
  };

  /// Prompt tokens of this entry VM's requests that are still to be read, by group.
  [[nodiscard]] std::unordered_map<GroupId, double> RemainingPrefillTokens(
    TimePoint aNow) const;
  [[nodiscard]] GroupBacklog EstimateBacklog(const GroupState& aState,
                                             double aOwnPrefillTokens,
                                             TimePoint aNow) const;
  [[nodiscard]] double ModelPaceFactor(const std::string& aModel) const;
  [[nodiscard]] double CurrentSlowdown(const GroupState& aState, TimePoint aNow) const;
  void UpdateSlowdown(GroupState& aState,
                      const RequestInProgress& aRequest,
                      TimePoint aNow);
  void UpdateModelEstimates(ModelState& aModel,
                            const RequestInProgress& aRequest,
                            Duration aObserved) const;
  void OnFirstEvents(RequestInProgress& aRequest, GroupState& aState, TimePoint aNow);
  /// Groups of the model that may get the request, with their own predictions.
  [[nodiscard]] std::vector<PlacementChoice> EligibleGroups(const PlacementQuery& aQuery,
                                                            TimePoint aNow) const;
  [[nodiscard]] ArrivalDistribution DistributeUnreportedRequests(
    const std::vector<PlacementChoice>& aChoices,
    const std::string& aModel) const;
  /// Draws a group in proportion to the requests that are expected on it.
  [[nodiscard]] std::size_t DrawGroup(const std::vector<PlacementChoice>& aChoices,
                                      const ArrivalDistribution& aDistribution);
  [[nodiscard]] GroupState* Find(const GroupId& aGroup);
  [[nodiscard]] bool AreStreamsSilent(const GroupState& aState, TimePoint aNow) const;

  ZoneId ownZone;
  Random random;
  EngineCostModel cost;
  std::unordered_map<GroupId, GroupState> groups;
  std::unordered_map<std::string, ModelState> models;
  std::unordered_map<Ticket, RequestInProgress> requestsInProgress;
  Ticket lastTicket = 0;
  std::vector<GroupId> suspicions;
};

} // namespace toucanstand
