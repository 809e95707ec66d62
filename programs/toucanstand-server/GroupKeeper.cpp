#include "GroupKeeper.h"

#include <ranges>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace toucanstand {

namespace asio = boost::asio;

namespace {

Task<> Pause(asio::io_context& aLoop, Duration aDuration)
{
  asio::steady_timer timer(aLoop);
  timer.expires_after(aDuration);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace

GroupKeeper::GroupKeeper(ServingState& aState, Session& aSession, PeerLink& aPeers)
  : state(aState)
  , session(aSession)
  , peers(aPeers)
{
}

Task<> GroupKeeper::Run()
{
  while (true) {
    const auto leaderTerm = this->session.LeaderTerm(BootClock::now());
    this->state.endingGroups.clear();
    if (leaderTerm != 0) {
      co_await this->PlanAll(leaderTerm);
    }
    co_await Pause(this->state.loop, kInterval);
  }
}

Task<> GroupKeeper::PlanAll(std::int64_t aTerm)
{
  const auto now = BootClock::now();
  // Entries that are not up to date would make the plan take members away from groups.
  if (!this->state.configuration || !this->state.IsInTouch(now)) {
    co_return;
  }
  if (aTerm != this->term) {
    this->term = aTerm;
    this->controllers.clear();
    this->memberExaminedAt.clear();
  }
  const auto outdated = std::ranges::any_of(
    this->controllers | std::views::values,
    [](const FormationController& aController) { return aController.IsOutdated(); });
  if (outdated) {
    co_await this->session.StepDown();
    co_return;
  }
  this->ExamineSilent(now);
  const auto configuration = this->state.configuration;
  for (const auto& pool : configuration->Pools()) {
    if (pool.engine) {
      this->PlanPool(pool.id, *pool.engine, now);
    }
  }
}

void GroupKeeper::PlanPool(const PoolId& aPool,
                           const EngineCostModel& aCost,
                           TimePoint aNow)
{
  FormationInputs inputs{ this->state.directory,
                          aCost,
                          this->peers.WorkOfAll(aNow),
                          this->state.work.HasSeenRequests(),
                          this->state.settings.headStall };
  auto& controller = this->ControllerOf(aPool);
  for (auto& order : controller.Plan(inputs, aNow)) {
    asio::co_spawn(this->state.loop, this->Give(aPool, std::move(order)), asio::detached);
  }
  auto* placement = this->state.PlacementOf(aPool);
  for (auto& group : controller.EndingGroups()) {
    if (placement != nullptr) {
      placement->OnPeerSuspicion(group, aNow);
    }
    this->state.endingGroups.push_back(std::move(group));
  }
  auto& lastSummary = this->summaries[aPool];
  if (lastSummary != controller.Summary()) {
    lastSummary = controller.Summary();
    this->state.log.Write(LogWeight::Notable,
                          "group_plan",
                          { { "pool", aPool.Value() }, { "plan", lastSummary } });
  }
  for (const auto& engine : controller.MembersToProbe()) {
    auto& last = this->memberExaminedAt[engine.server];
    if (aNow - last >= kExaminationInterval) {
      last = aNow;
      asio::co_spawn(this->state.loop,
                     this->Examine(aPool, engine.server, engine.endpoint),
                     asio::detached);
    }
  }
}

void GroupKeeper::ExamineSilent(TimePoint aNow)
{
  if (aNow - this->silentExaminedAt < kNextQuestion) {
    return;
  }
  this->silentExaminedAt = aNow;
  for (const auto& [pool, controller] : this->controllers) {
    for (const auto& server : controller.UnresponsiveEngines()) {
      const auto* entry = this->state.directory.Find(server);
      if (entry != nullptr) {
        asio::co_spawn(
          this->state.loop, this->Examine(pool, server, entry->endpoint), asio::detached);
      }
    }
  }
}

FormationController& GroupKeeper::ControllerOf(const PoolId& aPool)
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

Task<> GroupKeeper::Give(PoolId aPool, EngineOrder aOrder)
{
  const auto givenUnder = this->term;
  const auto reply = co_await this->state.engines.Send(aOrder);
  this->state.log.Write(LogWeight::Notable,
                        "engine_order",
                        { { "kind", Name(aOrder.kind) },
                          { "server", aOrder.server.Value() },
                          { "group", aOrder.group.Value() },
                          { "generation", static_cast<std::int64_t>(aOrder.generation) },
                          { "fence", aOrder.fence },
                          { "reply", Name(reply) } });
  if (givenUnder == this->term) {
    this->ControllerOf(aPool).OnReply(aOrder, reply, BootClock::now());
  }
}

void GroupKeeper::OnSuspicion(const GroupId& aGroup)
{
  const auto now = BootClock::now();
  if (this->session.LeaderTerm(now) == 0 || !this->state.configuration) {
    return;
  }
  const auto last = this->examinedAt.find(aGroup);
  if (last != this->examinedAt.end() && now - last->second < kExaminationInterval) {
    return;
  }
  this->examinedAt[aGroup] = now;
  std::erase_if(this->examinedAt, [now](const auto& aExamined) {
    return now - aExamined.second > kExaminationInterval;
  });
  for (const auto& entry : this->state.directory.Servers() | std::views::values) {
    if (entry.membership && entry.membership->group == aGroup) {
      asio::co_spawn(this->state.loop,
                     this->Examine(entry.pool, entry.id, entry.endpoint),
                     asio::detached);
    }
  }
}

Task<> GroupKeeper::Examine(PoolId aPool, ServerId aMember, Endpoint aEndpoint)
{
  const auto askedUnder = this->term;
  bool answers = co_await this->state.engines.Answers(aMember, aEndpoint);
  if (!answers) {
    co_await Pause(this->state.loop, kSecondQuestion);
    answers = co_await this->state.engines.Answers(aMember, aEndpoint);
  }
  this->state.log.Write(LogWeight::Notable,
                        "member_examined",
                        { { "server", aMember.Value() }, { "answers", answers } });
  if (askedUnder != this->term) {
    co_return;
  }
  auto& controller = this->ControllerOf(aPool);
  if (answers) {
    controller.OnResponsive(aMember);
  } else {
    controller.OnUnresponsive(aMember);
  }
}

nlohmann::json GroupKeeper::Describe() const
{
  nlohmann::json all = nlohmann::json::object();
  for (const auto& [pool, controller] : this->controllers) {
    all[pool.Value()] = controller.Describe();
  }
  return all;
}

} // namespace toucanstand
