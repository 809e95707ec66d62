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

namespace toucanstand {

namespace {

/// Weight of a new observation of a group's slowness.
constexpr double kSlownessWeight = 0.25;
/// Slowness below this is within the error of a prediction.
constexpr double kNoticedSlowness = 1.6;
/// Weight of a new observation of the time that the cost model does not state.
constexpr double kFixedTimeWeight = 0.02;
/// A single observation counts as at most this much slower than predicted.
constexpr double kMostSlowness = 8.0;
/// Time after which half of an observed slowness is forgotten, so that a group that gets
/// no requests for its slowness is tried again.
constexpr Duration kSlownessHalfLife = std::chrono::seconds(3);
/// Predictions that differ by less are taken as equal: about the time of one token step.
constexpr Duration kTie = std::chrono::milliseconds(10);
/// A request adds at least this to the time to the first event of those after it.
constexpr Duration kLeastPerRequest = std::chrono::milliseconds(1);
/// The share of requests whose first event should come within the margin, and the step by
/// which the margin follows: about 50 requests change it by a tenth.
constexpr double kWithinMargin = 0.8;
constexpr double kMarginStep = 0.01;
/// A margin above this would refuse requests to groups that are merely being repaired.
constexpr double kLargestMargin = 1.6;
/// Refused callers return no sooner than after a pass of a full group.
constexpr Duration kLeastDelay = std::chrono::milliseconds(100);
/// About the time until a lost group is noticed and formed again.
constexpr Duration kNoGroupDelay = std::chrono::milliseconds(1000);

} // namespace

const char* Name(PlacementRefusal aRefusal)
{
  return aRefusal == PlacementRefusal::NoGroup ? "no_group" : "overloaded";
}

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
    state.own.group = group.id;
  }
}

std::unordered_map<GroupId, double> GroupPlacement::TokensToRead(TimePoint aNow) const
{
  // Engines don't tell how far they have read a prompt; it is taken to be read evenly
  // over the predicted time to the first event.
  std::unordered_map<GroupId, double> tokens;
  for (const auto& run : this->runs | std::views::values) {
    const double progress =
      ToSeconds(aNow - run.sentAt) / std::max(ToSeconds(run.predicted), 1e-3);
    if (!run.writing && progress < 1.0) {
      tokens[run.group] += run.promptTokens * (1.0 - progress);
    }
  }
  return tokens;
}

GroupWork GroupPlacement::WorkOf(const GroupState& aState,
                                 double aOwnTokens,
                                 TimePoint aNow) const
{
  GroupWork work{ aState.own.reading, aOwnTokens, aState.own.writing };
  for (const auto& peer : aState.peers | std::views::values) {
    if (aNow - peer.receivedAt <= kPeerReportLife) {
      work.reading += peer.load.reading;
      work.readingTokens += peer.load.readingTokens;
      work.writing += peer.load.writing;
    }
  }
  // A server that states more than is known here has requests of entry VMs that this one
  // does not hear.
  const bool statedIsNew =
    aState.statedAt != TimePoint{} && aNow - aState.statedAt <= kStatedLoadLife;
  const double stated = aState.stated.running + aState.stated.waiting;
  if (statedIsNew && stated > work.reading + work.writing) {
    work.writing = stated - work.reading;
  }
  return work;
}

double GroupPlacement::PaceOf(const std::string& aModel) const
{
  const auto* terms = this->cost.FindModel(aModel);
  return terms == nullptr ? 1.0 : terms->paceFactor;
}

double GroupPlacement::SlownessOf(const GroupState& aState, TimePoint aNow) const
{
  const double age = ToSeconds(aNow - aState.slownessAt) / ToSeconds(kSlownessHalfLife);
  const double slowness =
    1.0 + (aState.slowness - 1.0) * std::pow(0.5, std::max(age, 0.0));
  return slowness < kNoticedSlowness ? 1.0 : slowness;
}

std::vector<PlacementChoice> GroupPlacement::Candidates(const PlacementQuery& aQuery,
                                                        TimePoint aNow) const
{
  const auto tokens = this->TokensToRead(aNow);
  const auto tokensOf = [&tokens](const GroupId& aGroup) {
    const auto found = tokens.find(aGroup);
    return found == tokens.end() ? 0.0 : found->second;
  };
  const auto model = this->models.find(aQuery.model);
  const auto fixed =
    model == this->models.end() ? Duration::zero() : model->second.fixed.time;
  std::vector<PlacementChoice> choices;
  for (const auto& [id, state] : this->groups) {
    const bool excluded = state.group.model != aQuery.model ||
                          aNow < state.avoidedUntil || aNow < state.suspectedUntil ||
                          this->IsSilent(state, aNow) ||
                          std::ranges::find(aQuery.excluded, id) != aQuery.excluded.end();
    if (excluded) {
      continue;
    }
    PlacementChoice choice;
    choice.group = state.group;
    choice.work = this->WorkOf(state, tokensOf(id), aNow);
    choice.modelled = PredictFirstEvent(
      this->cost, choice.work, aQuery.promptTokens, this->PaceOf(aQuery.model));
    choice.predicted =
      FromSeconds(ToSeconds(choice.modelled + fixed) * this->SlownessOf(state, aNow));
    choice.predicted += state.group.zone == this->ownZone ? Duration::zero() : kOtherZone;
    choices.push_back(std::move(choice));
  }
  return choices;
}

ArrivalSpread GroupPlacement::SpreadUnseen(const std::vector<PlacementChoice>& aChoices,
                                           const std::string& aModel) const
{
  const double pace = this->PaceOf(aModel);
  const double prompt = this->cost.usualPromptTokens;
  const auto fill = [&](const PlacementChoice& aChoice) {
    GroupWork withOneMore = aChoice.work;
    withOneMore.reading += 1;
    withOneMore.readingTokens += prompt;
    const auto added = PredictFirstEvent(this->cost, withOneMore, prompt, pace) -
                       PredictFirstEvent(this->cost, aChoice.work, prompt, pace);
    return GroupFill{ aChoice.predicted, std::max(added, kLeastPerRequest) };
  };
  std::vector<GroupFill> fills;
  std::ranges::transform(aChoices, std::back_inserter(fills), fill);
  const auto model = this->models.find(aModel);
  return SpreadArrivals(fills,
                        model == this->models.end() ? 0.0 : model->second.unseenRequests);
}

Result<PlacementChoice, PlacementDelay> GroupPlacement::Choose(
  const PlacementQuery& aQuery,
  TimePoint aNow)
{
  auto choices = this->Candidates(aQuery, aNow);
  if (choices.empty()) {
    return PlacementDelay{ PlacementRefusal::NoGroup, kNoGroupDelay, 0, {}, {} };
  }
  auto spread = this->SpreadUnseen(choices, aQuery.model);
  // Requests that peers may have sent are no reason to refuse: in the mean they fill the
  // soonest group, yet most of the time it is still free.
  const auto soonest =
    std::ranges::min(choices, {}, &PlacementChoice::predicted).predicted;
  const auto limit =
    FromSeconds(ToSeconds(aQuery.wanted) *
                std::min(kUsableShare, 1.0 / this->models[aQuery.model].margin));
  const auto slots = static_cast<double>(this->cost.slots);
  // A long prompt that no group brings in time takes nobody's place while slots are free.
  const bool placesFree =
    std::ranges::any_of(choices, [slots](const PlacementChoice& aChoice) {
      return aChoice.work.reading + aChoice.work.writing < slots * kUncrowdedShare;
    });
  if (soonest > limit && !placesFree && !aQuery.mustPlace) {
    return PlacementDelay{ PlacementRefusal::Overloaded,
                           std::max(soonest - limit, kLeastDelay),
                           choices.size(),
                           soonest,
                           limit };
  }
  auto choice = std::move(choices[this->Draw(choices, spread)]);
  const auto unseen = std::max(spread.level - choice.predicted, Duration::zero());
  choice.modelled += unseen;
  choice.predicted += unseen;
  return choice;
}

std::size_t GroupPlacement::Draw(const std::vector<PlacementChoice>& aChoices,
                                 const ArrivalSpread& aSpread)
{
  std::vector<double> weights = aSpread.expected;
  const double total = std::accumulate(weights.begin(), weights.end(), 0.0);
  if (total <= 0) {
    // Nothing is unseen: groups that are predicted alike share what comes.
    const auto soonest =
      std::ranges::min(aChoices, {}, &PlacementChoice::predicted).predicted;
    std::ranges::transform(
      aChoices, weights.begin(), [soonest](const PlacementChoice& aChoice) {
        return aChoice.predicted <= soonest + kTie ? 1.0 : 0.0;
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
  this->runs[ticket] = { aChoice.group.id,  aPromptTokens, aChoice.modelled,
                         aChoice.predicted, aNow,          false };
  if (auto* state = this->Find(aChoice.group.id)) {
    state->own.reading += 1;
  }
  return ticket;
}

void GroupPlacement::OnEvents(Ticket aTicket, TimePoint aNow)
{
  const auto found = this->runs.find(aTicket);
  auto* state = found == this->runs.end() ? nullptr : this->Find(found->second.group);
  if (state == nullptr) {
    return;
  }
  state->lastEventsAt = aNow;
  state->suspectedUntil = TimePoint{};
  if (!found->second.writing) {
    this->OnFirstEvents(found->second, *state, aNow);
  }
}

void GroupPlacement::OnFirstEvents(Run& aRun, GroupState& aState, TimePoint aNow)
{
  aRun.writing = true;
  aState.own.reading -= 1;
  aState.own.writing += 1;
  this->Learn(aState, aRun, aNow);
}

void GroupPlacement::Learn(GroupState& aState, const Run& aRun, TimePoint aNow)
{
  const Duration observed = aNow - aRun.sentAt;
  const double relative =
    std::clamp(ToSeconds(observed) / std::max(ToSeconds(aRun.predicted), 1e-3) *
                 this->SlownessOf(aState, aNow),
               1.0,
               kMostSlowness);
  aState.slowness += kSlownessWeight * (relative - aState.slowness);
  aState.slownessAt = aNow;
  if (aState.slowness >= kNoticedSlowness) {
    return;
  }
  this->LearnOfModel(this->models[aState.group.model], aRun, observed);
}

void GroupPlacement::LearnOfModel(ModelState& aModel,
                                  const Run& aRun,
                                  Duration aObserved) const
{
  ++aModel.fixed.samples;
  const double weight =
    std::max(1.0 / static_cast<double>(aModel.fixed.samples), kFixedTimeWeight);
  const double surplus = ToSeconds(aObserved) - ToSeconds(aRun.modelled);
  const double fixed = ToSeconds(aModel.fixed.time);
  aModel.fixed.time = FromSeconds(std::max(0.0, fixed + weight * (surplus - fixed)));
  // Steps in this proportion settle where the wanted share lies below the margin.
  const double relative =
    ToSeconds(aObserved) / std::max(ToSeconds(aRun.predicted), 1e-3);
  const double step = relative > aModel.margin
                        ? kMarginStep * kWithinMargin / (1.0 - kWithinMargin)
                        : -kMarginStep;
  aModel.margin = std::clamp(aModel.margin + step, 1.0, kLargestMargin);
}

void GroupPlacement::OnEnded(Ticket aTicket, GroupRunEnd aEnd, TimePoint aNow)
{
  const auto found = this->runs.find(aTicket);
  if (found == this->runs.end()) {
    return;
  }
  const Run run = found->second;
  this->runs.erase(found);
  auto* state = this->Find(run.group);
  if (state == nullptr) {
    return;
  }
  if (run.writing) {
    state->own.writing -= 1;
  } else {
    state->own.reading -= 1;
  }
  const auto avoid = [state, aNow](Duration aPeriod) {
    state->avoidedUntil = std::max(state->avoidedUntil, aNow + aPeriod);
  };
  switch (aEnd) {
    case GroupRunEnd::Answered:
      state->failuresInARow = 0;
      break;
    case GroupRunEnd::Rejected:
      avoid(kAfterRejection);
      break;
    case GroupRunEnd::Unusable:
      avoid(kAfterUnusable);
      this->suspicions.push_back(run.group);
      break;
    case GroupRunEnd::Stalled:
      state->suspectedUntil = aNow + kAfterStall;
      this->suspicions.push_back(run.group);
      break;
    case GroupRunEnd::Failed:
      ++state->failuresInARow;
      if (state->failuresInARow >= kFailuresInARow) {
        const int doublings = std::min(state->failuresInARow - kFailuresInARow, 3);
        avoid(std::min(kAfterFailures * (1 << doublings), kLongestAvoidance));
      }
      break;
    case GroupRunEnd::Abandoned:
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

void GroupPlacement::OnPeerSuspicion(const GroupId& aGroup, TimePoint aNow)
{
  auto* state = this->Find(aGroup);
  if (state == nullptr) {
    return;
  }
  const bool flows = state->own.writing > 0 && aNow - state->lastEventsAt <= kSilence;
  if (!flows) {
    state->suspectedUntil = std::max(state->suspectedUntil, aNow + kPeerSuspicion);
  }
}

std::map<std::string, GroupPlacement::LearnedTime> GroupPlacement::LearnedTimes() const
{
  std::map<std::string, LearnedTime> times;
  for (const auto& [name, model] : this->models) {
    if (model.fixed.samples > 0) {
      times[name] = model.fixed;
    }
  }
  return times;
}

void GroupPlacement::OnPeerLearned(const std::string& aModel, Duration aTime)
{
  auto& fixed = this->models[aModel].fixed;
  if (fixed.samples < kTrustedSamples) {
    fixed.time = aTime;
  }
}

void GroupPlacement::SetUnseenRequests(const std::string& aModel, double aCount)
{
  this->models[aModel].unseenRequests = aCount;
}

bool GroupPlacement::IsSilent(const GroupState& aState, TimePoint aNow) const
{
  const auto limit = FromSeconds(ToSeconds(kSilence) * this->SlownessOf(aState, aNow));
  return aState.own.writing > 0 && aNow - aState.lastEventsAt > limit;
}

std::vector<GroupLoad> GroupPlacement::OwnLoads(TimePoint aNow) const
{
  const auto tokens = this->TokensToRead(aNow);
  std::vector<GroupLoad> loads;
  for (const auto& [id, state] : this->groups) {
    if (state.own.reading + state.own.writing <= 0) {
      continue;
    }
    loads.push_back(state.own);
    const auto found = tokens.find(id);
    loads.back().readingTokens = found == tokens.end() ? 0.0 : found->second;
  }
  return loads;
}

std::vector<GroupId> GroupPlacement::TakeSuspicions(TimePoint aNow)
{
  for (auto& [id, state] : this->groups) {
    if (this->IsSilent(state, aNow) && aNow - state.reportedAt > kReportAgain) {
      state.reportedAt = aNow;
      this->suspicions.push_back(id);
    }
  }
  return std::exchange(this->suspicions, {});
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
  const auto tokens = this->TokensToRead(aNow);
  for (const auto& [id, state] : this->groups) {
    const auto found = tokens.find(id);
    const auto work =
      this->WorkOf(state, found == tokens.end() ? 0.0 : found->second, aNow);
    list.push_back({ { "group", id.Value() },
                     { "head", state.group.head.Value() },
                     { "reading", work.reading },
                     { "writing", work.writing },
                     { "slowness", this->SlownessOf(state, aNow) },
                     { "avoided", aNow < state.avoidedUntil },
                     { "suspected", aNow < state.suspectedUntil } });
  }
  return list;
}

} // namespace toucanstand
