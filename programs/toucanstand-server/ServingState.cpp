#include "ServingState.h"

#include <algorithm>
#include <ranges>

#include <unistd.h>

#include "Call.h"
#include "formation/GroupRecord.h"
#include "memory/RequestPrecedence.h"
#include "placement/GroupPrediction.h"

namespace toucanstand {

namespace {

/// Configuration changes must be in force 2 s after they were accepted; an older copy of
/// the store may lack one.
constexpr Duration kMaxStoreCopyAge = std::chrono::milliseconds(2000);
/// Servers without requests that a log line names.
constexpr std::size_t kMaxLoggedServers = 8;
/// Effectively unlimited: a server is usable until its registration says otherwise.
constexpr Duration kNoExpiry = std::chrono::hours(24 * 365);

std::uint64_t SeedOf(const ServerSettings& aSettings)
{
  return aSettings.seed == 0 ? SystemSeed() : static_cast<std::uint64_t>(aSettings.seed);
}

RouterSettings RouterSettingsFor(const ServerSettings& aSettings)
{
  RouterSettings router;
  router.self = aSettings.id;
  router.ownZone = aSettings.zone;
  return router;
}

/// Converts a group to a destination; returns nothing while a registered member is
/// leaving or not yet ready, or in an evacuated zone. A member whose registration has
/// expired may still be alive, so the group stays in use until its streams stall or the
/// leader closes it.
std::optional<ServingGroup> ToServingGroup(const ObservedGroup& aGroup,
                                           const EngineCostModel& aCost,
                                           const ZoneEvacuations& aEvacuations)
{
  const auto model = ModelOfGroup(aGroup.id);
  const auto* head = aGroup.Head();
  if (aCost.FindModel(model) == nullptr || head == nullptr ||
      head->membership->state != MembershipState::Open) {
    return std::nullopt;
  }
  const bool allMembersUsable =
    std::ranges::all_of(aGroup.members, [&](const ServerEntry* aMember) {
      return !aMember->leaving && !aEvacuations.IsEvacuated(aMember->zone) &&
             aMember->membership->generation == aGroup.generation &&
             aMember->membership->state != MembershipState::Joining;
    });
  if (!allMembersUsable) {
    return std::nullopt;
  }
  return ServingGroup{ aGroup.id, model, head->id, head->endpoint, head->zone };
}

/// Part of the memory of a VM for responses that are kept until they are whole, and for
/// requests. The rest is for the program, the copy of the store and connections;
/// docs/design/request-memory.md adds the parts up.
constexpr std::size_t kResponseMemoryDivisor = 4;
constexpr std::size_t kRequestMemoryDivisor = 5;

} // namespace

ServingState::ServingState(boost::asio::io_context& aLoop, ServerSettings aSettings)
  : loop(aLoop)
  , settings(std::move(aSettings))
  , log(this->settings.id.Value(),
        { STDOUT_FILENO, STDERR_FILENO },
        { this->settings.routineLinesPerSecond, this->settings.notableLinesPerSecond })
  , responseMemory(this->settings.memoryBytes / kResponseMemoryDivisor)
  , requestMemory(
      RequestPrecedence::RulesFor(this->settings.memoryBytes / kRequestMemoryDivisor))
  , random(SeedOf(this->settings))
  , router(RouterSettingsFor(this->settings), Random(this->random.Engine()()))
  , coldServers(this->directory,
                { this->settings.coldOvershoot, this->settings.coldSlack })
  , availability(this->directory, this->rateLimits, this->evacuations, this->coldServers)
  , paths(Random(this->random.Engine()()))
  , backendClient(aLoop, this->metrics, UnframedBody::EndsWithConnection)
  , engineClient(aLoop, this->metrics)
  , crashDetector(*this)
{
  this->backendClient.SetPaths(&this->paths);
  this->engineClient.SetPaths(&this->paths);
  this->engineClient.SetAskListener([this](const ServerId& aServer) {
    return [this, asked = this->directory.RunOf(aServer)](
             const ServerStatement& aStatement) { this->OnStatement(asked, aStatement); };
  });
}

bool ServingState::ApplyConfiguration(ServingConfiguration aConfiguration)
{
  const bool newer =
    !this->configuration || aConfiguration.Version() > this->configuration->Version();
  if (!newer) {
    return false;
  }
  this->configuration =
    std::make_shared<const ServingConfiguration>(std::move(aConfiguration));
  this->configurationInForceAt = BootClock::now();
  this->coldServers.SetPools(this->configuration->Pools());
  for (const auto& pool : this->configuration->Pools()) {
    auto& longest = this->longestRequests[pool.id];
    longest = std::max(longest, this->configuration->LongestTimeoutOf(pool.id));
    if (this->configuration->HasUnmovableCalls(pool.id)) {
      this->poolsWithUnmovableCalls.insert(pool.id);
    }
  }
  this->destinationsRevision.reset();
  return true;
}

void ServingState::RefreshDestinations(TimePoint aNow)
{
  // Before a new group can get requests.
  this->coldServers.Update(aNow);
  if (!this->configuration || this->destinationsRevision == this->directory.Revision()) {
    return;
  }
  this->destinationsRevision = this->directory.Revision();
  for (const auto& pool : this->configuration->Pools()) {
    if (pool.engine) {
      this->RefreshGroups(pool);
    }
  }
  this->RefreshServices(aNow);
}

void ServingState::OnEvacuationsChanged(TimePoint aNow)
{
  this->destinationsRevision.reset();
  this->RefreshDestinations(aNow);
}

void ServingState::RefreshGroups(const ServingPool& aPool)
{
  auto found = this->placements.find(aPool.id);
  if (found == this->placements.end()) {
    found =
      this->placements
        .emplace(aPool.id,
                 GroupPlacement(this->settings.zone, Random(this->random.Engine()())))
        .first;
  }
  std::vector<ServingGroup> groups;
  for (const auto& group : this->directory.GroupsOf(aPool.id) | std::views::values) {
    if (auto servable = ToServingGroup(group, *aPool.engine, this->evacuations)) {
      groups.push_back(std::move(*servable));
    }
  }
  found->second.SetCost(*aPool.engine);
  found->second.Update(groups);
}

void ServingState::RefreshServices(TimePoint aNow)
{
  WorldView view;
  view.receivedAt = aNow;
  view.mayServe = true;
  view.configurationRevision = this->configuration->Version();
  for (const auto& entry : this->directory.Servers() | std::views::values) {
    const auto* pool = this->configuration->FindPool(entry.pool);
    const bool isUsable = !entry.leaving && !this->evacuations.IsEvacuated(entry.zone);
    if (!isUsable || pool == nullptr || pool->engine) {
      continue;
    }
    Candidate candidate;
    candidate.id = entry.id.Value();
    candidate.pool = entry.pool;
    candidate.zone = entry.zone;
    candidate.server = entry.id;
    candidate.endpoint = entry.endpoint;
    candidate.members = { entry.id };
    candidate.load.capacity = static_cast<double>(entry.slots);
    candidate.usableUntil = aNow + kNoExpiry;
    view.candidates.push_back(std::move(candidate));
  }
  this->router.Update(view, aNow);
}

void ServingState::UpdateUnseenRequests(const std::map<std::string, double>& aPeerDemand,
                                        Duration aAge)
{
  for (auto& [pool, placement] : this->placements) {
    const auto* cost = this->FindCostModel(pool);
    if (cost == nullptr) {
      continue;
    }
    const double usualRequestSeconds =
      ToSeconds(cost->WorkOf(cost->usualPromptTokens, cost->usualAnswerTokens));
    for (const auto& model : cost->models) {
      const auto demand = aPeerDemand.find(model.name);
      if (demand != aPeerDemand.end() && usualRequestSeconds > 0) {
        placement.SetUnreportedPeerRequests(
          model.name, demand->second / usualRequestSeconds * ToSeconds(aAge));
      }
    }
  }
}

RequestId ServingState::OnRunStarted(const Call& aCall, const ServerId& aServer)
{
  // Each run has its own id, so that a later run of the same request does not clear the
  // suspicion of an earlier one.
  const RequestId run(aCall.facts.id.Value() + "/" + std::to_string(++this->runCount));
  this->quarantine.OnSent(run, aCall.fingerprint, aServer);
  const auto now = BootClock::now();
  this->rateLimits.OnSent(aServer, now);
  if (this->coldServers.OnSent(aServer, now)) {
    this->metrics.Count("cold_requests_total");
  }
  this->promptPartQuarantine.OnSent(run, aServer, aCall.facts.sharedPromptParts);
  return run;
}

void ServingState::OnRunEvents(const RequestId& aRun, std::size_t aEvents, TimePoint aNow)
{
  this->promptPartQuarantine.OnEvents(aRun, aEvents, aNow);
  // A request that crashes its server does so when it begins to run. The streams that are
  // under way on the server then are not suspects.
  if (aEvents >= PromptPartQuarantine::kEventsToSurvive) {
    this->quarantine.OnEnded(aRun, RunEnd::Survived, aNow);
  }
}

void ServingState::OnStatement(const ServerRun& aAsked, const ServerStatement& aStatement)
{
  if (aStatement.isLeavingUnreadable) {
    this->metrics.Count("server_statements_unreadable_total{field=\"leaving\"}");
  }
  if (aStatement.isRetryAfterUnreadable) {
    this->metrics.Count("server_statements_unreadable_total{field=\"retry_after\"}");
  }
  if (aStatement.retryAfter) {
    this->OnWaitStated(aAsked, *aStatement.retryAfter);
  }
  if (!aStatement.isLeaving || !this->directory.MarkLeaving(aAsked)) {
    return;
  }
  this->metrics.Count("server_leaving_stated_total");
  this->log.Write(LogWeight::Notable,
                  "server_leaving",
                  { { "server", aAsked.server.Value() }, { "source", "answer" } });
  this->RefreshDestinations(BootClock::now());
}

void ServingState::OnWaitStated(const ServerRun& aAsked, Duration aTime)
{
  this->metrics.Count("server_waits_stated_total");
  if (this->availability.OnWaitStated(aAsked, aTime, BootClock::now())) {
    this->log.Write(LogWeight::Notable,
                    "server_wait_stated",
                    { { "server", aAsked.server.Value() },
                      { "wait_ms", ToMilliseconds(aTime).count() } });
  }
}

void ServingState::OnResponseHead(const ServerRun& aAsked, const ReplyFacts& aFacts)
{
  if (!aFacts.answersThisCall || aFacts.wrongServer) {
    return;
  }
  this->OnStatement(aAsked, aFacts.statement);
  using Change = ServerRateLimits::Change;
  const bool isAnswer = aFacts.isSuccess && aFacts.isSigned;
  const auto change = this->rateLimits.OnResponse(
    aAsked.server, aFacts.rateLimit, isAnswer, BootClock::now());
  if (change == Change::None) {
    return;
  }
  const bool isLimited = change == Change::Limited;
  this->metrics.Count(isLimited ? "server_limits_stated_total"
                                : "server_limits_lifted_total");
  this->log.Write(LogWeight::Notable,
                  isLimited ? "server_limited" : "server_limit_lifted",
                  { { "server", aAsked.server.Value() },
                    { "per_second", aFacts.rateLimit.perSecond } });
}

Duration ServingState::TimeUntilAvailable(const Call& aCall, TimePoint aNow) const
{
  if (this->availability.Spared(aNow).empty()) {
    return Duration::zero();
  }
  std::optional<Duration> earliest;
  const auto consider = [&](const ServerId& aServer) {
    const auto wait = this->availability.WhenMayBeSent(aServer, aNow).wait;
    if (wait) {
      earliest = std::min(earliest.value_or(*wait), *wait);
    }
  };
  if (const auto* cost = this->FindCostModel(aCall.pool)) {
    for (const auto& group : this->directory.GroupsOf(aCall.pool) | std::views::values) {
      const auto servable = ToServingGroup(group, *cost, this->evacuations);
      if (servable && servable->model == aCall.facts.model) {
        consider(servable->head);
      }
    }
    return earliest.value_or(Duration::zero());
  }
  for (const auto& entry : this->directory.Servers() | std::views::values) {
    if (entry.pool == aCall.pool) {
      consider(entry.id);
    }
  }
  return earliest.value_or(Duration::zero());
}

std::string ServingState::DescribeSpared(const PoolId& aPool, TimePoint aNow) const
{
  std::string text;
  std::size_t count = 0;
  for (const auto& spared : this->availability.Spared(aNow)) {
    const auto* entry = this->directory.Find(spared.server);
    const bool isListed = entry != nullptr && entry->pool == aPool && !entry->leaving;
    if (isListed && ++count <= kMaxLoggedServers) {
      text += text.empty() ? "" : ",";
      text += spared.server.Value() + ":" + ServerAvailability::Name(spared.obstacle);
    }
  }
  return text;
}

std::int64_t ServingState::CountLeaving(const PoolId& aPool) const
{
  return std::ranges::count_if(
    this->directory.Servers() | std::views::values,
    [&aPool](const auto& aEntry) { return aEntry.pool == aPool && aEntry.leaving; });
}

std::optional<Endpoint> ServingState::PickContactableServer(TimePoint aNow)
{
  std::vector<Endpoint> endpoints;
  for (const auto& entry : this->directory.Servers() | std::views::values) {
    if (this->availability.MayBeContacted(entry.id, aNow)) {
      endpoints.push_back(entry.endpoint);
    }
  }
  return endpoints.empty()
           ? std::nullopt
           : std::optional(endpoints[this->random.Below(endpoints.size())]);
}

void ServingState::OnRunEnded(const RequestId& aRun,
                              const Destination& aDestination,
                              std::optional<AttemptFailure> aFailure)
{
  const auto now = BootClock::now();
  const auto end = RunEndOf(aFailure);
  this->quarantine.OnEnded(aRun, end, now);
  // An error response may come from a server that did not begin to answer.
  const bool isFailedRun = aFailure && end == RunEnd::Survived;
  this->promptPartQuarantine.OnEnded(aRun, isFailedRun ? RunEnd::Abandoned : end, now);
  const bool connectionBroke = aFailure == AttemptFailure::BrokenBeforeHead ||
                               aFailure == AttemptFailure::BrokenInBody;
  if (connectionBroke) {
    this->crashDetector.OnConnectionBroke(aDestination.server, aDestination.endpoint);
  }
}

void ServingState::OnPathsChanged()
{
  const bool isCutOff = this->paths.IsCutOff();
  this->log.Write(
    LogWeight::Notable, isCutOff ? "backends_cut_off" : "backends_reconnected", {});
  if (isCutOff) {
    this->metrics.Count("backends_cut_off_total");
    for (auto& placement : this->placements | std::views::values) {
      placement.ForgetFailures();
    }
  }
}

void ServingState::OnAnswered(const Call& aCall,
                              const AnswerDurations::Answer& aAnswer,
                              TimePoint aNow)
{
  this->answerDurations.OnAnswered(this->KindOf(aCall), aAnswer, aNow);
}

bool ServingState::LeavesTimeFor(const Call& aCall, TimePoint aNow) const
{
  return !this->stopSchedule ||
         this->stopSchedule->LeavesTimeFor(this->ExpectAnswer(aCall, aNow), aNow);
}

bool ServingState::MayEndInTime(const Call& aCall, TimePoint aNow, Duration aDone) const
{
  if (!this->stopSchedule) {
    return true;
  }
  auto answer = this->ExpectAnswer(aCall, aNow);
  for (auto* expected : { &answer.byLatest, &answer.byLargestSize }) {
    if (*expected) {
      *expected = std::max(**expected - aDone, Duration::zero());
    }
  }
  return this->stopSchedule->MayEndInTime(answer, aNow);
}

ExpectedAnswer ServingState::ExpectAnswer(const Call& aCall, TimePoint aNow) const
{
  const auto kind = this->KindOf(aCall);
  ExpectedAnswer answer;
  answer.deadline = aCall.deadline;
  answer.byLatest = this->answerDurations.Longest(kind, aNow);
  answer.byLargestSize = this->ExpectedDuration(aCall);
  const auto inProgress = this->answerDurations.LongestInProgress(kind, aNow);
  for (auto* expected : { &answer.byLatest, &answer.byLargestSize }) {
    if (*expected) {
      *expected = std::max(**expected, inProgress);
    }
  }
  return answer;
}

AnswerDurations::Kind ServingState::KindOf(const Call& aCall) const
{
  const auto* cost = this->FindCostModel(aCall.pool);
  const bool isKnownModel =
    cost != nullptr && cost->FindModel(aCall.facts.model) != nullptr;
  return { aCall.pool,
           isKnownModel ? aCall.facts.model : std::string(),
           cost != nullptr ? aCall.facts.mostAnswerTokens : 0 };
}

std::optional<Duration> ServingState::ExpectedDuration(const Call& aCall) const
{
  const auto* cost = this->FindCostModel(aCall.pool);
  if (cost == nullptr) {
    const auto target = aCall.route->targetLatency;
    return target > Duration::zero() ? std::optional(target) : std::nullopt;
  }
  const auto* model = cost->FindModel(aCall.facts.model);
  const double tokens = aCall.facts.mostAnswerTokens;
  if (model == nullptr || tokens <= 0) {
    return std::nullopt;
  }
  const auto step = cost->StepTime(static_cast<double>(cost->slots));
  const auto firstEvent =
    PredictFirstEvent(*cost, GroupBacklog(), aCall.facts.promptTokens, 1.0);
  return FromSeconds((ToSeconds(firstEvent) + tokens * ToSeconds(step)) *
                     model->paceFactor);
}

GroupPlacement* ServingState::FindPlacement(const PoolId& aPool)
{
  const auto found = this->placements.find(aPool);
  return found == this->placements.end() ? nullptr : &found->second;
}

const EngineCostModel* ServingState::FindCostModel(const PoolId& aPool) const
{
  const auto* pool = this->configuration ? this->configuration->FindPool(aPool) : nullptr;
  return pool != nullptr && pool->engine ? &*pool->engine : nullptr;
}

bool ServingState::IsStoreCopyRecent(TimePoint aNow) const
{
  return this->storeUpToDateAt != TimePoint{} &&
         aNow - this->storeUpToDateAt <= kMaxStoreCopyAge;
}

} // namespace toucanstand
