#include "admission/AdmissionController.h"

#include <algorithm>
#include <deque>
#include <map>
#include <unordered_map>
#include <utility>

#include <nlohmann/json.hpp>

namespace toucanstand {

struct AdmissionController::State
{
  AdmissionSettings settings;
  Random random;
  bool draining = false;
  std::map<PoolId, double> slots;
  std::map<PoolId, std::size_t> running;
  std::map<PoolId, std::deque<Arrival>> queues;
  std::unordered_map<RequestId, PoolId> admitted;

  void Dispatch(const PoolId& aPool, std::vector<AdmissionAction>& aActions);
};

void AdmissionController::State::Dispatch(const PoolId& aPool,
                                          std::vector<AdmissionAction>& aActions)
{
  auto& queue = this->queues[aPool];
  auto& count = this->running[aPool];
  while (!queue.empty() &&
         static_cast<double>(count) < std::max(1.0, this->slots[aPool])) {
    aActions.emplace_back(Admit{ queue.front().id });
    this->admitted[queue.front().id] = aPool;
    queue.pop_front();
    ++count;
  }
}

AdmissionController::AdmissionController(AdmissionSettings aSettings, Random aRandom)
  : state(std::make_unique<State>(
      State{ std::move(aSettings), aRandom, false, {}, {}, {}, {} }))
{
}

AdmissionController::~AdmissionController() = default;
AdmissionController::AdmissionController(AdmissionController&& aOther) noexcept = default;
AdmissionController& AdmissionController::operator=(
  AdmissionController&& aOther) noexcept = default;

void AdmissionController::Configure(AdmissionSettings aSettings)
{
  this->state->settings = std::move(aSettings);
}

std::vector<AdmissionAction> AdmissionController::Offer(Arrival aArrival, TimePoint aNow)
{
  auto& own = *this->state;
  const auto refuse = [&own, &aArrival](RefusalReason aReason) {
    return std::vector<AdmissionAction>{ Refuse{
      aArrival.id, { aReason, own.settings.shortestRetryAfter } } };
  };
  if (own.draining) {
    return refuse(RefusalReason::Draining);
  }
  if (own.slots[aArrival.pool] <= 0) {
    return refuse(RefusalReason::NoCapacity);
  }
  if (aArrival.deadline <= aNow) {
    return refuse(RefusalReason::DeadlineTooClose);
  }
  if (own.queues[aArrival.pool].size() >= own.settings.maximumQueued) {
    return refuse(RefusalReason::QueueFull);
  }
  std::vector<AdmissionAction> actions;
  const PoolId pool = aArrival.pool;
  own.queues[pool].push_back(std::move(aArrival));
  own.Dispatch(pool, actions);
  return actions;
}

std::vector<AdmissionAction> AdmissionController::OnFinished(const RequestId& aId,
                                                             AttemptOutcome /*aOutcome*/,
                                                             Duration /*aService*/,
                                                             TimePoint aNow)
{
  return this->OnAbandoned(aId, aNow);
}

std::vector<AdmissionAction> AdmissionController::OnAbandoned(const RequestId& aId,
                                                              TimePoint /*aNow*/)
{
  auto& own = *this->state;
  std::vector<AdmissionAction> actions;
  const auto found = own.admitted.find(aId);
  if (found == own.admitted.end()) {
    for (auto& [pool, queue] : own.queues) {
      std::erase_if(queue,
                    [&aId](const Arrival& aWaiting) { return aWaiting.id == aId; });
    }
    return actions;
  }
  const PoolId pool = found->second;
  own.admitted.erase(found);
  --own.running[pool];
  own.Dispatch(pool, actions);
  return actions;
}

void AdmissionController::OnSlots(const PoolId& aPool, double aSlots, TimePoint /*aNow*/)
{
  this->state->slots[aPool] = aSlots;
}

void AdmissionController::StartDrain()
{
  this->state->draining = true;
}

std::vector<AdmissionAction> AdmissionController::Advance(TimePoint aNow)
{
  auto& own = *this->state;
  std::vector<AdmissionAction> actions;
  for (auto& [pool, queue] : own.queues) {
    std::erase_if(queue, [&actions, aNow](const Arrival& aWaiting) {
      if (aWaiting.deadline > aNow) {
        return false;
      }
      actions.emplace_back(
        Refuse{ aWaiting.id, { RefusalReason::DeadlineTooClose, {} } });
      return true;
    });
    own.Dispatch(pool, actions);
  }
  return actions;
}

std::optional<TimePoint> AdmissionController::NextWake() const
{
  std::optional<TimePoint> next;
  for (const auto& [pool, queue] : this->state->queues) {
    for (const auto& waiting : queue) {
      next = std::min(next.value_or(waiting.deadline), waiting.deadline);
    }
  }
  return next;
}

nlohmann::json AdmissionController::Describe(TimePoint /*aNow*/) const
{
  nlohmann::json pools = nlohmann::json::object();
  for (const auto& [pool, slots] : this->state->slots) {
    pools[pool.Value()] = { { "slots", slots } };
  }
  return { { "draining", this->state->draining }, { "pools", pools } };
}

} // namespace toucanstand
