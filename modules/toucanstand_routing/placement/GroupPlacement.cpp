#include "placement/GroupPlacement.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <numeric>
#include <random>
#include <ranges>
#include <utility>

#include <nlohmann/json.hpp>

#include "placement/ZonePreference.h"

namespace toucanstand {

namespace {

/// Weight of a new observation in the moving average of a group's slowdown.
constexpr double kSlowdownWeight = 0.25;
/// A slowdown below this is within the prediction error and is ignored.
constexpr double kSlowdownThreshold = 1.6;
/// Minimum weight of a new observation in the average of the overhead that the cost model
/// does not contain.
constexpr double kMinOverheadWeight = 0.02;
/// Upper bound of the slowdown of a single observation.
constexpr double kMaxSlowdown = 8.0;
/// Half-life of an observed slowdown. The decay lets a group that gets no requests
/// because it was slow be tried again.
constexpr Duration kSlowdownHalfLife = std::chrono::seconds(3);
/// Predictions that differ by at most this count as equal: about the time of one decode
/// step.
constexpr Duration kEqualPredictionTolerance = std::chrono::milliseconds(10);
/// Lower bound of the time that a request adds to the first event of later requests.
constexpr Duration kMinAddedPerRequest = std::chrono::milliseconds(1);
/// Quantile of observed/predicted time that the margin tracks, and the step per request:
/// about 50 requests change the margin by a tenth.
constexpr double kMarginQuantile = 0.8;
constexpr double kMarginStep = 0.01;
/// Upper bound of the margin. Without it, slow answers while a group is being repaired
/// would raise the margin so far that requests are refused.
constexpr double kMaxMargin = 1.6;
/// About the time until the loss of a group is detected and the group is formed again.
constexpr Duration kNoGroupRetryDelay = std::chrono::milliseconds(1000);

} // namespace

GroupPlacement::GroupPlacement(ZoneId aOwnZone, Random aRandom)
  : ownZone(std::move(aOwnZone))
  , random(aRandom)
{
}

void GroupPlacement::Update(const std::vector<ServingGroup>& aGroups)
{
  std::erase_if(this->groups, [&aGroups](const auto& aState) {
    return std::ranges::find(aGroups, aState.first, &ServingGroup::id) == aGroups.end();
  });
  for (const auto& group : aGroups) {
    auto& state = this->groups[group.id];
    state.group = group;
    state.ownLoad.group = group.id;
  }
}

std::unordered_map<GroupId, double> GroupPlacement::RemainingPrefillTokens(
  TimePoint aNow) const
{
  // Engines don't report prefill progress, so a prompt is assumed to be prefilled evenly
  // over the predicted time to the first event.
  std::unordered_map<GroupId, double> tokens;
  for (const auto& request : this->requestsInProgress | std::views::values) {
    const double progress =
      ToSeconds(aNow - request.sentAt) / std::max(ToSeconds(request.predicted), 1e-3);
    if (!request.decoding && progress < 1.0) {
      tokens[request.group] += request.promptTokens * (1.0 - progress);
    }
  }
  return tokens;
}

GroupBacklog GroupPlacement::EstimateBacklog(const GroupState& aState,
                                             double aOwnPrefillTokens,
                                             TimePoint aNow) const
{
  GroupBacklog backlog{ aState.ownLoad.prefillRequests,
                        aOwnPrefillTokens,
                        aState.ownLoad.decodeRequests };
  for (const auto& peer : aState.peers | std::views::values) {
    if (aNow - peer.receivedAt <= kPeerReportLifetime) {
      backlog.prefillRequests += peer.load.prefillRequests;
      backlog.prefillTokens += peer.load.prefillTokens;
      backlog.decodeRequests += peer.load.decodeRequests;
    }
  }
  // If the server states more requests than the reports contain, the difference comes
  // from entry VMs whose reports do not reach this one.
  const bool statedIsRecent =
    aState.statedAt != TimePoint{} && aNow - aState.statedAt <= kStatedLoadLifetime;
  const double stated = aState.stated.running + aState.stated.waiting;
  if (statedIsRecent && stated > backlog.prefillRequests + backlog.decodeRequests) {
    backlog.decodeRequests = stated - backlog.prefillRequests;
  }
  return backlog;
}

double GroupPlacement::ModelPaceFactor(const std::string& aModel) const
{
  const auto* terms = this->cost.FindModel(aModel);
  return terms == nullptr ? 1.0 : terms->paceFactor;
}

double GroupPlacement::CurrentSlowdown(const GroupState& aState, TimePoint aNow) const
{
  const double age =
    ToSeconds(aNow - aState.slowdownUpdatedAt) / ToSeconds(kSlowdownHalfLife);
  const double slowdown =
    1.0 + (aState.slowdown - 1.0) * std::pow(0.5, std::max(age, 0.0));
  return slowdown < kSlowdownThreshold ? 1.0 : slowdown;
}

std::vector<PlacementChoice> GroupPlacement::EligibleGroups(const PlacementQuery& aQuery,
                                                            AvoidedGroups aAvoided,
                                                            TimePoint aNow) const
{
  const auto tokens = this->RemainingPrefillTokens(aNow);
  const auto tokensOf = [&tokens](const GroupId& aGroup) {
    const auto found = tokens.find(aGroup);
    return found == tokens.end() ? 0.0 : found->second;
  };
  const auto model = this->models.find(aQuery.model);
  const auto overhead =
    model == this->models.end() ? Duration::zero() : model->second.overhead.time;
  std::vector<PlacementChoice> choices;
  for (const auto& [id, state] : this->groups) {
    const bool isAvoided = aNow < state.avoidedUntil || aNow < state.suspectedUntil ||
                           this->AreStreamsSilent(state, aNow);
    const bool excluded = state.group.model != aQuery.model ||
                          (isAvoided && aAvoided == AvoidedGroups::LeaveOut) ||
                          aQuery.Excludes(state.group);
    if (excluded) {
      continue;
    }
    PlacementChoice choice;
    choice.group = state.group;
    choice.backlog = this->EstimateBacklog(state, tokensOf(id), aNow);
    choice.modelled = PredictFirstEvent(this->cost,
                                        choice.backlog,
                                        aQuery.promptTokens,
                                        this->ModelPaceFactor(aQuery.model));
    choice.predicted = FromSeconds(ToSeconds(choice.modelled + overhead) *
                                   this->CurrentSlowdown(state, aNow));
    choice.predicted +=
      state.group.zone == this->ownZone ? Duration::zero() : kCrossZonePenalty;
    choices.push_back(std::move(choice));
  }
  return choices;
}

ArrivalDistribution GroupPlacement::DistributeUnreportedRequests(
  const std::vector<PlacementChoice>& aChoices,
  const std::string& aModel) const
{
  const double pace = this->ModelPaceFactor(aModel);
  const double prompt = this->cost.usualPromptTokens;
  const auto estimateQueue = [&](const PlacementChoice& aChoice) {
    GroupBacklog withOneMore = aChoice.backlog;
    withOneMore.prefillRequests += 1;
    withOneMore.prefillTokens += prompt;
    const auto added = PredictFirstEvent(this->cost, withOneMore, prompt, pace) -
                       PredictFirstEvent(this->cost, aChoice.backlog, prompt, pace);
    return GroupQueueEstimate{ aChoice.predicted, std::max(added, kMinAddedPerRequest) };
  };
  std::vector<GroupQueueEstimate> estimates;
  std::ranges::transform(aChoices, std::back_inserter(estimates), estimateQueue);
  const auto model = this->models.find(aModel);
  return DistributeArrivals(
    estimates, model == this->models.end() ? 0.0 : model->second.unreportedPeerRequests);
}

Result<PlacementChoice, NoEligibleGroup> GroupPlacement::Choose(
  const PlacementQuery& aQuery,
  TimePoint aNow)
{
  auto choices = this->EligibleGroups(aQuery, AvoidedGroups::LeaveOut, aNow);
  if (choices.empty() && aQuery.isResumed) {
    choices = this->EligibleGroups(aQuery, AvoidedGroups::Include, aNow);
  }
  if (choices.empty()) {
    return NoEligibleGroup{ kNoGroupRetryDelay };
  }
  auto distribution = this->DistributeUnreportedRequests(choices, aQuery.model);
  const auto outlook = this->OutlookFor(choices, aQuery.model);
  if (this->cost.zoneDistances.AreFarApart()) {
    ZonePreference(this->ownZone, this->cost.slots, aQuery.firstEventTarget)
      .Apply(choices, distribution);
  }
  auto choice = std::move(choices[this->DrawGroup(choices, distribution)]);
  choice.outlook = outlook;
  const auto unreportedDelay =
    std::max(distribution.commonTime - choice.predicted, Duration::zero());
  choice.modelled += unreportedDelay;
  choice.predicted += unreportedDelay;
  return choice;
}

PlacementOutlook GroupPlacement::OutlookFor(const std::vector<PlacementChoice>& aChoices,
                                            const std::string& aModel)
{
  const auto taken = [](const PlacementChoice& aChoice) {
    return aChoice.backlog.prefillRequests + aChoice.backlog.decodeRequests;
  };
  // Requests that peers may have sent but not reported are left out. On average they fill
  // the group with the earliest prediction, yet most of the time that group is still
  // free.
  return { aChoices.size(),
           std::ranges::min(aChoices, {}, &PlacementChoice::predicted).predicted,
           std::ranges::min(aChoices | std::views::transform(taken)) /
             static_cast<double>(this->cost.slots),
           this->models[aModel].margin };
}

std::size_t GroupPlacement::DrawGroup(const std::vector<PlacementChoice>& aChoices,
                                      const ArrivalDistribution& aDistribution)
{
  std::vector<double> weights = aDistribution.expectedRequests;
  const double total = std::accumulate(weights.begin(), weights.end(), 0.0);
  if (total <= 0) {
    // Without unreported requests, choose uniformly among the groups with nearly the
    // earliest prediction.
    const auto earliest =
      std::ranges::min(aChoices, {}, &PlacementChoice::predicted).predicted;
    std::ranges::transform(
      aChoices, weights.begin(), [earliest](const PlacementChoice& aChoice) {
        return aChoice.predicted <= earliest + kEqualPredictionTolerance ? 1.0 : 0.0;
      });
  }
  return std::discrete_distribution<std::size_t>(weights.begin(),
                                                 weights.end())(this->random.Engine());
}

GroupPlacement::Ticket GroupPlacement::OnSent(const PlacementChoice& aChoice,
                                              double aPromptTokens,
                                              TimePoint aNow)
{
  const Ticket ticket = ++this->lastTicket;
  this->requestsInProgress[ticket] = { aChoice.group.id,  aPromptTokens, aChoice.modelled,
                                       aChoice.predicted, aNow,          false };
  if (auto* state = this->Find(aChoice.group.id)) {
    state->ownLoad.prefillRequests += 1;
  }
  return ticket;
}

void GroupPlacement::OnEvents(Ticket aTicket, TimePoint aNow)
{
  const auto found = this->requestsInProgress.find(aTicket);
  auto* state =
    found == this->requestsInProgress.end() ? nullptr : this->Find(found->second.group);
  if (state == nullptr) {
    return;
  }
  state->lastEventsAt = aNow;
  state->suspectedUntil = TimePoint{};
  if (!found->second.decoding) {
    this->OnFirstEvents(found->second, *state, aNow);
  }
}

void GroupPlacement::OnSilent(Ticket aTicket, TimePoint aNow)
{
  const auto found = this->requestsInProgress.find(aTicket);
  auto* state =
    found == this->requestsInProgress.end() ? nullptr : this->Find(found->second.group);
  if (state != nullptr) {
    state->suspectedUntil = aNow + kStallBackoff;
    this->ReportSilence(*state, aNow);
  }
}

void GroupPlacement::OnFirstEvents(RequestInProgress& aRequest,
                                   GroupState& aState,
                                   TimePoint aNow)
{
  aRequest.decoding = true;
  aState.ownLoad.prefillRequests -= 1;
  aState.ownLoad.decodeRequests += 1;
  this->UpdateSlowdown(aState, aRequest, aNow);
}

void GroupPlacement::UpdateSlowdown(GroupState& aState,
                                    const RequestInProgress& aRequest,
                                    TimePoint aNow)
{
  const Duration observed = aNow - aRequest.sentAt;
  // The prediction contains the slowdown. Multiplying by it gives the ratio to the
  // prediction without slowdown.
  const double observedRatio =
    std::clamp(ToSeconds(observed) / std::max(ToSeconds(aRequest.predicted), 1e-3) *
                 this->CurrentSlowdown(aState, aNow),
               1.0,
               kMaxSlowdown);
  aState.slowdown += kSlowdownWeight * (observedRatio - aState.slowdown);
  aState.slowdownUpdatedAt = aNow;
  if (aState.slowdown >= kSlowdownThreshold) {
    return;
  }
  this->UpdateModelEstimates(this->models[aState.group.model], aRequest, observed);
}

void GroupPlacement::UpdateModelEstimates(ModelState& aModel,
                                          const RequestInProgress& aRequest,
                                          Duration aObserved) const
{
  ++aModel.overhead.samples;
  const double weight =
    std::max(1.0 / static_cast<double>(aModel.overhead.samples), kMinOverheadWeight);
  const double excess = ToSeconds(aObserved) - ToSeconds(aRequest.modelled);
  const double overhead = ToSeconds(aModel.overhead.time);
  aModel.overhead.time =
    FromSeconds(std::max(0.0, overhead + weight * (excess - overhead)));
  // With up and down steps in this ratio, the margin converges to the kMarginQuantile
  // quantile.
  const double observedRatio =
    ToSeconds(aObserved) / std::max(ToSeconds(aRequest.predicted), 1e-3);
  const double step = observedRatio > aModel.margin
                        ? kMarginStep * kMarginQuantile / (1.0 - kMarginQuantile)
                        : -kMarginStep;
  aModel.margin = std::clamp(aModel.margin + step, 1.0, kMaxMargin);
}

void GroupPlacement::OnEnded(Ticket aTicket, GroupRequestOutcome aOutcome, TimePoint aNow)
{
  const auto found = this->requestsInProgress.find(aTicket);
  if (found == this->requestsInProgress.end()) {
    return;
  }
  const RequestInProgress request = found->second;
  this->requestsInProgress.erase(found);
  auto* state = this->Find(request.group);
  if (state == nullptr) {
    return;
  }
  if (request.decoding) {
    state->ownLoad.decodeRequests -= 1;
  } else {
    state->ownLoad.prefillRequests -= 1;
  }
  const auto avoid = [state, aNow](Duration aPeriod) {
    state->avoidedUntil = std::max(state->avoidedUntil, aNow + aPeriod);
  };
  switch (aOutcome) {
    case GroupRequestOutcome::Answered:
      state->failuresInARow = 0;
      break;
    case GroupRequestOutcome::Rejected:
      avoid(kRejectionBackoff);
      break;
    case GroupRequestOutcome::Unusable:
      avoid(kUnusableBackoff);
      this->suspicions.push_back(request.group);
      break;
    case GroupRequestOutcome::Stalled:
      state->suspectedUntil = aNow + kStallBackoff;
      this->suspicions.push_back(request.group);
      break;
    case GroupRequestOutcome::Failed:
      ++state->failuresInARow;
      if (state->failuresInARow >= kFailureThreshold) {
        const int doublings = std::min(state->failuresInARow - kFailureThreshold, 3);
        avoid(std::min(kInitialFailureBackoff * (1 << doublings), kMaxFailureBackoff));
      }
      break;
    case GroupRequestOutcome::Abandoned:
      break;
  }
}

void GroupPlacement::OnStatedLoad(const GroupId& aGroup,
                                  const StatedLoad& aLoad,
                                  TimePoint aNow)
{
  if (auto* state = this->Find(aGroup)) {
    state->stated = aLoad;
    state->statedAt = aNow;
  }
}

void GroupPlacement::OnPeerLoads(const VmId& aPeer,
                                 const std::vector<GroupLoad>& aLoads,
                                 TimePoint aNow)
{
  for (auto& state : this->groups | std::views::values) {
    state.peers.erase(aPeer);
  }
  for (const auto& load : aLoads) {
    if (auto* state = this->Find(load.group)) {
      state->peers[aPeer] = { load, aNow };
    }
  }
}

void GroupPlacement::ForgetFailures()
{
  this->suspicions.clear();
  for (auto& state : this->groups | std::views::values) {
    state.avoidedUntil = {};
    state.suspectedUntil = {};
    state.failuresInARow = 0;
  }
}

void GroupPlacement::OnPeerSuspicion(const GroupId& aGroup, TimePoint aNow)
{
  auto* state = this->Find(aGroup);
  if (state == nullptr) {
    return;
  }
  const bool ownStreamsActive = state->ownLoad.decodeRequests > 0 &&
                                aNow - state->lastEventsAt <= kStreamSilenceTimeout;
  if (!ownStreamsActive) {
    state->suspectedUntil =
      std::max(state->suspectedUntil, aNow + kPeerSuspicionDuration);
  }
}

std::map<std::string, GroupPlacement::LearnedOverhead> GroupPlacement::LearnedOverheads()
  const
{
  std::map<std::string, LearnedOverhead> times;
  for (const auto& [name, model] : this->models) {
    if (model.overhead.samples > 0) {
      times[name] = model.overhead;
    }
  }
  return times;
}

void GroupPlacement::OnPeerOverhead(const std::string& aModel, Duration aTime)
{
  auto& overhead = this->models[aModel].overhead;
  if (overhead.samples < kMinOwnSamples) {
    overhead.time = aTime;
  }
}

void GroupPlacement::SetUnreportedPeerRequests(const std::string& aModel, double aCount)
{
  this->models[aModel].unreportedPeerRequests = aCount;
}

bool GroupPlacement::AreStreamsSilent(const GroupState& aState, TimePoint aNow) const
{
  const auto limit =
    FromSeconds(ToSeconds(kStreamSilenceTimeout) * this->CurrentSlowdown(aState, aNow));
  return aState.ownLoad.decodeRequests > 0 && aNow - aState.lastEventsAt > limit;
}

std::vector<GroupLoad> GroupPlacement::OwnLoads(TimePoint aNow) const
{
  const auto tokens = this->RemainingPrefillTokens(aNow);
  std::vector<GroupLoad> loads;
  for (const auto& [id, state] : this->groups) {
    if (state.ownLoad.prefillRequests + state.ownLoad.decodeRequests <= 0) {
      continue;
    }
    loads.push_back(state.ownLoad);
    const auto found = tokens.find(id);
    loads.back().prefillTokens = found == tokens.end() ? 0.0 : found->second;
  }
  return loads;
}

std::vector<GroupId> GroupPlacement::TakeSuspicions(TimePoint aNow)
{
  for (auto& state : this->groups | std::views::values) {
    if (this->AreStreamsSilent(state, aNow)) {
      this->ReportSilence(state, aNow);
    }
  }
  return std::exchange(this->suspicions, {});
}

void GroupPlacement::ReportSilence(GroupState& aState, TimePoint aNow)
{
  if (aNow - aState.silenceReportedAt > kSuspicionReportInterval) {
    aState.silenceReportedAt = aNow;
    this->suspicions.push_back(aState.group.id);
  }
}

bool GroupPlacement::IsSuspected(const GroupId& aGroup, TimePoint aNow) const
{
  const auto found = this->groups.find(aGroup);
  return found != this->groups.end() && aNow < found->second.suspectedUntil;
}

std::size_t GroupPlacement::GroupCount(const std::string& aModel) const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(this->groups | std::views::values, [&](const auto& aState) {
      return aState.group.model == aModel;
    }));
}

GroupPlacement::GroupState* GroupPlacement::Find(const GroupId& aGroup)
{
  const auto found = this->groups.find(aGroup);
  return found == this->groups.end() ? nullptr : &found->second;
}

nlohmann::json GroupPlacement::Describe(TimePoint aNow) const
{
  nlohmann::json list = nlohmann::json::array();
  const auto tokens = this->RemainingPrefillTokens(aNow);
  for (const auto& [id, state] : this->groups) {
    const auto found = tokens.find(id);
    const auto backlog =
      this->EstimateBacklog(state, found == tokens.end() ? 0.0 : found->second, aNow);
    list.push_back({ { "group", id.Value() },
                     { "head", state.group.head.Value() },
                     { "reading", backlog.prefillRequests },
                     { "writing", backlog.decodeRequests },
                     { "slowness", this->CurrentSlowdown(state, aNow) },
                     { "avoided", aNow < state.avoidedUntil },
                     { "suspected", aNow < state.suspectedUntil } });
  }
  return list;
}

} // namespace toucanstand
