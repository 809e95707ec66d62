#pragma once

#include <algorithm>
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

/// A replica group that accepts requests.
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
  /// Target for the time to the first event.
  Duration firstEventTarget{ 0 };
  /// Groups that must not be chosen, such as those already tried.
  std::vector<GroupId> excluded;
  /// Heads that must get no request now.
  std::vector<ServerId> excludedServers;
  /// The caller has a part of the stream. It is rather continued on a suspected group
  /// than broken off.
  bool isResumed = false;

  [[nodiscard]] bool Excludes(const ServingGroup& aGroup) const
  {
    return std::ranges::count(this->excluded, aGroup.id) > 0 ||
           std::ranges::count(this->excludedServers, aGroup.head) > 0;
  }
};

/// What the eligible groups offer a request, for the decision whether to accept it.
struct PlacementOutlook
{
  std::size_t groups = 0;
  /// Earliest predicted first event.
  Duration earliest{ 0 };
  /// Share of slots taken on the emptiest group; above 1 when requests wait.
  double lowestOccupancy = 0;
  /// Ratio of observed to predicted times that most requests of the model do not exceed.
  double margin = 1.0;
};

/// The group chosen for a request, with the prediction behind the choice.
struct PlacementChoice
{
  ServingGroup group;
  /// Time to the first event: by the cost model alone, and with the learned corrections.
  Duration modelled{ 0 };
  Duration predicted{ 0 };
  GroupBacklog backlog;
  PlacementOutlook outlook;
};

/// No group of the model can be chosen: there is none, or all are excluded or avoided.
struct NoEligibleGroup
{
  /// Time after which a group is expected.
  Duration retryAfter{ 0 };
};

/// How a request on a group ended.
enum class GroupRequestOutcome
{
  Answered,
  /// Rejected because the group is full; the request was not run.
  Rejected,
  /// The connection failed, another server answered at the address, or the group's head
  /// lost a member.
  Unusable,
  /// No event arrived for longer than a healthy group takes.
  Stalled,
  /// The stream broke off or ended with an error.
  Failed,
  /// Cancelled by the caller or by this process.
  Abandoned,
};

/// Chooses the replica group of a model with the earliest predicted first event. The
/// prediction uses the operator's cost model and the requests that this entry VM and its
/// peers have in progress.
///
/// It is designed for peak load, when nearly all slots of all groups are taken. Choosing
/// by the number of outstanding requests would ignore that prompt lengths differ by a
/// factor of thirty, and without the peers' requests several entry VMs would choose the
/// same free slots. Peers' requests that no report contains yet are assumed to equalize
/// the groups' queues.
///
/// Where availability zones are far apart, ZonePreference narrows the choice.
class GroupPlacement
{
public:
  /// Age up to which a peer's report is used; peers report ten times a second.
  static constexpr Duration kPeerReportLifetime = std::chrono::milliseconds(1000);
  /// Time after arrival for which the load that a server states in an answer is used. On
  /// arrival, the load is already a few hundred milliseconds old.
  static constexpr Duration kStatedLoadLifetime = std::chrono::milliseconds(300);
  /// Time added for a group in another availability zone: two round trips and the
  /// transfer.
  static constexpr Duration kCrossZonePenalty = std::chrono::milliseconds(8);
  /// Time for which a group that rejected a request as full is avoided.
  static constexpr Duration kRejectionBackoff = std::chrono::milliseconds(150);
  /// Time for which an unusable group is avoided; after this, its registration shows
  /// whether it still exists.
  static constexpr Duration kUnusableBackoff = std::chrono::milliseconds(1500);
  /// Time for which a stalled group is avoided: a group that lost a member sends nothing
  /// for 5 s and then rejects requests.
  static constexpr Duration kStallBackoff = std::chrono::milliseconds(5000);
  /// A group that sends no event on any stream for this long is reported as silent. The
  /// gap between the events of a healthy group is shorter: a pass that includes prefill
  /// takes under 300 ms.
  static constexpr Duration kStreamSilenceTimeout = std::chrono::milliseconds(420);
  static constexpr Duration kSuspicionReportInterval = std::chrono::milliseconds(1000);
  /// Time for which a peer's report of a silent group is used. Members of the group that
  /// are alive answer the leader's queries within this time.
  static constexpr Duration kPeerSuspicionDuration = std::chrono::milliseconds(1500);
  /// Consecutive failures after which a group is avoided, and the first backoff.
  static constexpr int kFailureThreshold = 3;
  static constexpr Duration kInitialFailureBackoff = std::chrono::milliseconds(1000);
  static constexpr Duration kMaxFailureBackoff = std::chrono::milliseconds(8000);
  /// Requests after which a VM's own learned overhead is more accurate than its peers'.
  static constexpr std::size_t kMinOwnSamples = 10;

  GroupPlacement(ZoneId aOwnZone, Random aRandom);

  void SetCost(const EngineCostModel& aCost) { this->cost = aCost; }

  /// Replaces the set of groups. The state of groups that remain is kept.
  void Update(const std::vector<ServingGroup>& aGroups);

  /// Chooses a group, however late its first event is predicted.
  [[nodiscard]] Result<PlacementChoice, NoEligibleGroup> Choose(
    const PlacementQuery& aQuery,
    TimePoint aNow);

  /// Identifies a request in progress.
  using Ticket = std::uint64_t;

  /// Records that a request was sent to a group.
  Ticket OnSent(const PlacementChoice& aChoice, double aPromptTokens, TimePoint aNow);
  /// Records that events of a request arrived.
  void OnEvents(Ticket aTicket, TimePoint aNow);
  /// Records that a request has waited for an event for longer than a healthy group
  /// takes, and still does.
  void OnSilent(Ticket aTicket, TimePoint aNow);
  /// Records the end of a request. Call exactly once for each ticket.
  void OnEnded(Ticket aTicket, GroupRequestOutcome aOutcome, TimePoint aNow);

  /// Records the load that a server stated in an answer. @see kStatedLoadLifetime
  void OnStatedLoad(const GroupId& aGroup, const StatedLoad& aLoad, TimePoint aNow);

  /// Replaces the requests that a peer has in progress.
  void OnPeerLoads(const VmId& aPeer,
                   const std::vector<GroupLoad>& aLoads,
                   TimePoint aNow);

  /// Records that a peer reports a group as silent. Ignored while this VM's own streams
  /// from the group produce events, because then only the peer's connection to the group
  /// may have failed.
  /// Drops what failed requests made this VM believe of groups: their failures had
  /// another cause.
  void ForgetFailures();

  void OnPeerSuspicion(const GroupId& aGroup, TimePoint aNow);

  /// Sets the estimated number of requests for the model that peers have sent, to any
  /// group, since their last received reports.
  void SetUnreportedPeerRequests(const std::string& aModel, double aCount);

  /// Learned part of the time to the first event that the cost model does not contain.
  struct LearnedOverhead
  {
    Duration time{ 0 };
    std::size_t samples = 0;
  };
  [[nodiscard]] std::map<std::string, LearnedOverhead> LearnedOverheads() const;

  /// Takes over a peer's learned overhead, unless this VM has kMinOwnSamples requests of
  /// its own.
  void OnPeerOverhead(const std::string& aModel, Duration aTime);

  /// Requests that this entry VM has in progress, to be reported to its peers.
  [[nodiscard]] std::vector<GroupLoad> OwnLoads(TimePoint aNow) const;

  /// Returns and clears the groups found silent, stalled or unusable since the last call.
  [[nodiscard]] std::vector<GroupId> TakeSuspicions(TimePoint aNow);

  /// True while a group is avoided because a request stalled or a peer reported it as
  /// silent.
  [[nodiscard]] bool IsSuspected(const GroupId& aGroup, TimePoint aNow) const;

  [[nodiscard]] std::size_t GroupCount(const std::string& aModel) const;
  /// State dump: the groups with their estimated load and whether they are avoided.
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
    /// Observed time to the first event divided by the predicted one; 1 means as
    /// predicted.
    double slowdown = 1.0;
    TimePoint slowdownUpdatedAt{};
    /// Time of the last event of any of this entry VM's requests.
    TimePoint lastEventsAt{};
    /// Time at which the group was last reported as silent.
    TimePoint silenceReportedAt{};
  };

  /// Values learned per model, over all of its groups.
  struct ModelState
  {
    /// Part of the time to the first event that the cost model does not contain, such as
    /// that of the engine's front end.
    LearnedOverhead overhead;
    /// Ratio of observed to predicted time that kMarginQuantile of the requests do not
    /// exceed.
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

  /// Estimates the prompt tokens of this entry VM's requests that are still to be
  /// prefilled, by group.
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
  /// Whether groups can be chosen that are avoided for now.
  enum class AvoidedGroups
  {
    LeaveOut,
    Include,
  };
  /// Groups that can be chosen for the request, with their predictions.
  [[nodiscard]] std::vector<PlacementChoice> EligibleGroups(const PlacementQuery& aQuery,
                                                            AvoidedGroups aAvoided,
                                                            TimePoint aNow) const;
  [[nodiscard]] ArrivalDistribution DistributeUnreportedRequests(
    const std::vector<PlacementChoice>& aChoices,
    const std::string& aModel) const;
  [[nodiscard]] PlacementOutlook OutlookFor(const std::vector<PlacementChoice>& aChoices,
                                            const std::string& aModel);
  /// Draws a group at random, weighted by the unreported requests expected on it.
  /// @return its index.
  [[nodiscard]] std::size_t DrawGroup(const std::vector<PlacementChoice>& aChoices,
                                      const ArrivalDistribution& aDistribution);
  [[nodiscard]] GroupState* Find(const GroupId& aGroup);
  [[nodiscard]] bool AreStreamsSilent(const GroupState& aState, TimePoint aNow) const;
  /// Reports a group as silent, at most once in kSuspicionReportInterval.
  void ReportSilence(GroupState& aState, TimePoint aNow);

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
