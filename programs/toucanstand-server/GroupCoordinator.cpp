#include "GroupCoordinator.h"

#include <ranges>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace toucanstand {

namespace asio = boost::asio;

namespace {

Task<> SleepFor(asio::io_context& aLoop, Duration aDuration)
{
  asio::steady_timer timer(aLoop);
  timer.expires_after(aDuration);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

/// Group of an engine and its state there, as registered; empty without a group.
std::string MembershipText(const ServerEntry* aEntry)
{
  if (aEntry == nullptr || !aEntry->membership) {
    return {};
  }
  return aEntry->membership->group.Value() + " " + Name(aEntry->membership->state);
}

} // namespace

GroupCoordinator::GroupCoordinator(ServingState& aState,
                                   StoreSession& aSession,
                                   const StoreSynchronizer& aStoreCopy,
                                   PeerChannel& aPeers)
  : state(aState)
  , session(aSession)
  , storeCopy(aStoreCopy)
  , peers(aPeers)
{
}

Task<> GroupCoordinator::Run()
{
  while (true) {
    const auto leaderTerm = this->session.LeaderTerm(BootClock::now());
    this->state.endingGroups.clear();
    if (leaderTerm != 0) {
      co_await this->PlanPools(leaderTerm);
    }
    co_await SleepFor(this->state.loop, kPlanInterval);
  }
}

Task<> GroupCoordinator::PlanPools(std::int64_t aTerm)
{
  const auto now = BootClock::now();
  // With outdated registrations, the plan would remove live members from groups.
  if (!this->state.configuration || !this->state.IsStoreCopyRecent(now) ||
      now < this->planAgainAt) {
    co_return;
  }
  if (this->state.paths.IsCutOff()) {
    // Another VM reaches the engines without help. Its term starts without what this one
    // believed of engines that it did not reach.
    co_await this->session.StepDown();
    co_return;
  }
  if (aTerm != this->term) {
    this->term = aTerm;
    this->controllers.clear();
    this->memberProbedAt.clear();
  }
  const auto outdated = std::ranges::any_of(
    this->controllers | std::views::values,
    [](const FormationController& aController) { return aController.IsOutdated(); });
  if (outdated) {
    // An engine has seen an order of a later leader and rejects those of this term. The
    // next leader gets a higher term.
    co_await this->session.StepDown();
    co_return;
  }
  this->ProbeSilentServers(now);
  const auto configuration = this->state.configuration;
  for (const auto& pool : configuration->Pools()) {
    if (pool.engine) {
      this->PlanPool(pool.id, *pool.engine, now);
    }
  }
}

void GroupCoordinator::PlanPool(const PoolId& aPool,
                                const EngineCostModel& aCost,
                                TimePoint aNow)
{
  FormationInputs inputs{ this->state.directory,
                          aCost,
                          this->peers.TotalDemand(aNow),
                          this->state.workMeter.HasSeenRequests(),
                          this->state.settings.headStall,
                          this->state.longestRequests.at(aPool),
                          !this->state.poolsWithUnmovableCalls.contains(aPool),
                          [this, aNow](const ServerId& aServer) {
                            return this->state.availability.IsWaiting(aServer, aNow);
                          },
                          [this](const ZoneId& aZone) {
                            return this->state.evacuations.IsEvacuated(aZone);
                          },
                          this->state.workMeter.RatesByPriority(aNow),
                          LeaderTermOf(this->storeCopy.Revision()) };
  auto& controller = this->ControllerOf(aPool);
  for (auto& order : controller.Plan(inputs, aNow)) {
    asio::co_spawn(
      this->state.loop, this->SendOrder(aPool, std::move(order)), asio::detached);
  }
  auto* placement = this->state.FindPlacement(aPool);
  for (auto& group : controller.EndingGroups()) {
    if (placement != nullptr) {
      placement->OnPeerSuspicion(group, aNow);
    }
    this->state.endingGroups.push_back(std::move(group));
  }
  auto& loggedPlan = this->loggedPlans[aPool];
  if (loggedPlan != controller.Summary()) {
    loggedPlan = controller.Summary();
    this->state.log.Write(LogWeight::Notable,
                          "group_plan",
                          { { "pool", aPool.Value() }, { "plan", loggedPlan } });
  }
  for (const auto& engine : controller.MembersToProbe()) {
    auto& lastProbe = this->memberProbedAt[engine.server];
    if (aNow - lastProbe >= kMinProbeInterval) {
      lastProbe = aNow;
      asio::co_spawn(this->state.loop,
                     this->ProbeMember(aPool, engine.server, engine.endpoint),
                     asio::detached);
    }
  }
}

void GroupCoordinator::ProbeSilentServers(TimePoint aNow)
{
  if (aNow - this->silentServersProbedAt < kSilentProbeInterval) {
    return;
  }
  this->silentServersProbedAt = aNow;
  for (const auto& [pool, controller] : this->controllers) {
    for (const auto& server : controller.UnresponsiveEngines()) {
      const auto* entry = this->state.directory.Find(server);
      if (entry != nullptr && this->state.availability.MayBeContacted(server, aNow)) {
        asio::co_spawn(this->state.loop,
                       this->ProbeMember(pool, server, entry->endpoint),
                       asio::detached);
      }
    }
  }
}

FormationController& GroupCoordinator::ControllerOf(const PoolId& aPool)
{
  const auto found = this->controllers.find(aPool);
  if (found != this->controllers.end()) {
    return found->second;
  }
  auto& controller =
    this->controllers.emplace(aPool, FormationController(aPool)).first->second;
  controller.StartTerm(this->term);
  return controller;
}

Task<> GroupCoordinator::SendOrder(PoolId aPool, EngineOrder aOrder)
{
  if (!this->state.availability.MayBeContacted(aOrder.server, BootClock::now())) {
    // The controller repeats what has no effect.
    co_return;
  }
  const auto sentInTerm = this->term;
  const auto sentAt = BootClock::now();
  const auto registered = MembershipText(this->state.directory.Find(aOrder.server));
  const auto reply = co_await this->SendVerified(aOrder);
  this->state.log.Write(
    LogWeight::Notable,
    "engine_order",
    { { "kind", Name(aOrder.kind) },
      { "server", aOrder.server.Value() },
      { "group", aOrder.group.Value() },
      { "generation", static_cast<std::int64_t>(aOrder.generation) },
      { "fence", aOrder.fence },
      { "registered", registered },
      { "took_ms", ToMilliseconds(BootClock::now() - sentAt).count() },
      { "reply", Name(reply) } });
  if (sentInTerm == this->term) {
    this->ControllerOf(aPool).OnReply(aOrder, reply, BootClock::now());
  }
}

Task<EngineOrderReply> GroupCoordinator::SendVerified(EngineOrder aOrder)
{
  const auto reply = co_await this->state.engineClient.SendOrder(aOrder);
  if (reply != EngineOrderReply::ConnectionRefused) {
    co_return reply;
  }
  if (!co_await this->ReachesAnotherServer(aOrder.server)) {
    co_return EngineOrderReply::Unknown;
  }
  co_return co_await this->state.engineClient.SendOrder(aOrder);
}

Task<bool> GroupCoordinator::ReachesAnotherServer(ServerId aExcept)
{
  constexpr int kTries = 3;
  for (int attempt = 0; attempt < kTries; ++attempt) {
    // Servers of evacuated zones would use up the tries.
    std::vector<const ServerEntry*> servers;
    for (const auto& server : this->state.directory.Servers() | std::views::values) {
      if (!this->state.evacuations.IsEvacuated(server.zone)) {
        servers.push_back(&server);
      }
    }
    if (servers.empty()) {
      co_return false;
    }
    const auto entry = *servers[this->state.random.Below(servers.size())];
    const bool answers =
      entry.id != aExcept && entry.membership &&
      this->state.availability.MayBeContacted(entry.id, BootClock::now()) &&
      co_await this->state.engineClient.Probe(entry.id, entry.endpoint) ==
        ProbeOutcome::Answered;
    if (answers) {
      co_return true;
    }
  }
  co_return false;
}

void GroupCoordinator::OnGroupSuspected(const GroupId& aGroup)
{
  const auto now = BootClock::now();
  if (this->session.LeaderTerm(now) == 0 || !this->state.configuration) {
    return;
  }
  const auto lastProbe = this->groupProbedAt.find(aGroup);
  if (lastProbe != this->groupProbedAt.end() &&
      now - lastProbe->second < kMinProbeInterval) {
    return;
  }
  this->groupProbedAt[aGroup] = now;
  std::erase_if(this->groupProbedAt, [now](const auto& aProbed) {
    return now - aProbed.second > kMinProbeInterval;
  });
  for (const auto& entry : this->state.directory.Servers() | std::views::values) {
    if (entry.membership && entry.membership->group == aGroup &&
        !this->state.availability.IsEvacuated(entry.id)) {
      asio::co_spawn(this->state.loop,
                     this->ProbeMember(entry.pool, entry.id, entry.endpoint),
                     asio::detached);
    }
  }
}

Task<> GroupCoordinator::ProbeMember(PoolId aPool, ServerId aMember, Endpoint aEndpoint)
{
  const auto startedInTerm = this->term;
  bool answers =
    co_await this->state.engineClient.Probe(aMember, aEndpoint) == ProbeOutcome::Answered;
  if (!answers) {
    co_await SleepFor(this->state.loop, kProbeRetryDelay);
    answers = co_await this->state.engineClient.Probe(aMember, aEndpoint) ==
              ProbeOutcome::Answered;
  }
  this->state.log.Write(LogWeight::Notable,
                        "member_examined",
                        { { "server", aMember.Value() }, { "answers", answers } });
  // A VM that reaches no other server knows nothing about this one.
  const bool isKnown = answers || co_await this->ReachesAnotherServer(aMember);
  if (startedInTerm != this->term || !isKnown) {
    co_return;
  }
  auto& controller = this->ControllerOf(aPool);
  if (answers) {
    controller.OnResponsive(aMember);
  } else {
    controller.OnUnresponsive(aMember);
  }
}

nlohmann::json GroupCoordinator::Describe() const
{
  nlohmann::json all = nlohmann::json::object();
  for (const auto& [pool, controller] : this->controllers) {
    all[pool.Value()] = controller.Describe();
  }
  return all;
}

} // namespace toucanstand
