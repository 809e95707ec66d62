#include "formation/WeightStaging.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include "formation/GroupRecord.h"

namespace toucanstand {

namespace {

/// A confirmed load that is not reported as staged within this multiple of the load time
/// is given up.
constexpr int kMaxLoadDurationFactor = 2;
/// Retry interval of a load that the engine has not confirmed. An order may be executed
/// seconds late; executing it twice is harmless.
constexpr Duration kUnconfirmedRetryInterval = std::chrono::seconds(4);
/// Before the first request, this multiple of the number of loads that run concurrently
/// without slowing one another down may be in progress.
constexpr std::size_t kLoadFactorBeforeTraffic = 2;

bool IsStaged(const ServerEntry& aEntry, const std::string& aModel)
{
  return std::ranges::find(aEntry.stagedModels, aModel) != aEntry.stagedModels.end();
}

} // namespace

void WeightStaging::StartTerm()
{
  this->inProgress.clear();
  this->orders.clear();
}

void WeightStaging::Update(const PoolId& aPool,
                           const FormationInputs& aInputs,
                           TimePoint aNow)
{
  this->UpdateLastModels(aPool, aInputs.directory);
  this->RemoveFinishedLoads(aInputs, aNow);
}

void WeightStaging::UpdateLastModels(const PoolId& aPool,
                                     const ServerDirectory& aDirectory)
{
  for (const auto& entry : aDirectory.Servers() | std::views::values) {
    if (entry.pool == aPool && entry.membership &&
        entry.membership->state != MembershipState::Joining) {
      this->lastModels[entry.id] = { entry.startedAtUnixMs,
                                     ModelOfGroup(entry.membership->group) };
    }
  }
  std::erase_if(this->lastModels, [&aDirectory](const auto& aLast) {
    return aDirectory.Find(aLast.first) == nullptr;
  });
}

void WeightStaging::RemoveFinishedLoads(const FormationInputs& aInputs, TimePoint aNow)
{
  std::erase_if(this->inProgress, [&](const auto& aStaging) {
    const auto& [server, staging] = aStaging;
    const auto* entry = aInputs.directory.Find(server);
    const auto* terms = aInputs.cost.FindModel(staging.model);
    if (entry == nullptr || terms == nullptr || IsStaged(*entry, staging.model)) {
      return true;
    }
    const Duration longest = staging.confirmed ? terms->loadTime * kMaxLoadDurationFactor
                                               : kUnconfirmedRetryInterval;
    return aNow - staging.orderedAt >= longest;
  });
}

JoinCost WeightStaging::CostOf(const ServerEntry& aEntry, const std::string& aModel) const
{
  const auto last = this->lastModels.find(aEntry.id);
  if (last != this->lastModels.end() &&
      last->second.startedAtUnixMs == aEntry.startedAtUnixMs &&
      last->second.model == aModel) {
    return JoinCost::Hot;
  }
  return IsStaged(aEntry, aModel) ? JoinCost::Warm : JoinCost::Cold;
}

bool WeightStaging::IsLoading(const ServerId& aServer, const std::string& aModel) const
{
  const auto found = this->inProgress.find(aServer);
  return found != this->inProgress.end() && found->second.model == aModel;
}

void WeightStaging::TryStage(const ServerEntry& aEntry,
                             const std::string& aModel,
                             const FormationInputs& aInputs,
                             TimePoint aNow)
{
  const bool mayStage =
    !this->IsLoading(aEntry.id) && !this->IsAtLoadLimit(aInputs) &&
    (!aInputs.trafficStarted ||
     this->loadLimiter.TryAcquire(1, aInputs.cost.loadsPerSecond, aNow));
  if (!mayStage) {
    return;
  }
  this->inProgress[aEntry.id] = { aModel, aNow };
  EngineOrder order;
  order.server = aEntry.id;
  order.endpoint = aEntry.endpoint;
  order.kind = OrderKind::Stage;
  order.model = aModel;
  this->orders.push_back(std::move(order));
}

bool WeightStaging::IsAtLoadLimit(const FormationInputs& aInputs) const
{
  const std::size_t factor = aInputs.trafficStarted ? 1 : kLoadFactorBeforeTraffic;
  return this->inProgress.size() >= aInputs.cost.concurrentLoads * factor;
}

void WeightStaging::OnReply(const EngineOrder& aOrder, EngineOrderReply aReply)
{
  const auto found = this->inProgress.find(aOrder.server);
  if (aOrder.kind == OrderKind::Stage && found != this->inProgress.end() &&
      found->second.model == aOrder.model) {
    found->second.confirmed =
      aReply == EngineOrderReply::Begun || aReply == EngineOrderReply::Done;
  }
}

std::vector<EngineOrder> WeightStaging::TakeOrders()
{
  return std::exchange(this->orders, {});
}

} // namespace toucanstand
