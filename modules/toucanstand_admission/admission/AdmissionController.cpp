#include "admission/AdmissionController.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <unordered_map>
#include <utility>

#include <nlohmann/json.hpp>

#include "admission/AdmissionPool.h"

namespace toucanstand {

namespace {

/// Largest valid worth, cost and number of slots.
constexpr double kMaximumInput = 1e9;

/// Maximum number of pools. Slot reports for further pools are ignored and counted.
constexpr std::size_t kMaximumPools = 1'000;

bool IsPositiveInRange(double aNumber)
{
  return std::isfinite(aNumber) && aNumber > 0 && aNumber <= kMaximumInput;
}

bool IsWellFormed(const Arrival& aArrival)
{
  return !aArrival.id.IsEmpty() && IsPositiveInRange(aArrival.cost) &&
         (aArrival.worth == 0 || IsPositiveInRange(aArrival.worth));
}

} // namespace

struct AdmissionController::State
{
  State(AdmissionSettings aSettings, Random aRandom)
    : settings(std::move(aSettings))
    , random(aRandom)
  {
  }

  std::vector<AdmissionAction> RefuseArrival(const RequestId& aId,
                                             RefusalReason aReason,
                                             Duration aRetryAfter);
  /// Removes the refused requests from `requests`, and returns the actions unchanged.
  std::vector<AdmissionAction> ForgetRefused(std::vector<AdmissionAction> aActions);

  AdmissionSettings settings;
  Random random;
  bool draining = false;
  std::map<PoolId, std::unique_ptr<AdmissionPool>> pools;
  /// Pool of each waiting or running request.
  std::unordered_map<RequestId, AdmissionPool*> requests;
  std::map<RefusalReason, std::uint64_t> refusals;
  std::uint64_t slotReportsIgnored = 0;
  std::uint64_t unknownIds = 0;
};

std::vector<AdmissionAction> AdmissionController::State::RefuseArrival(
  const RequestId& aId,
  RefusalReason aReason,
  Duration aRetryAfter)
{
  ++this->refusals[aReason];
  return { Refuse{ aId, { aReason, aRetryAfter } } };
}

std::vector<AdmissionAction> AdmissionController::State::ForgetRefused(
  std::vector<AdmissionAction> aActions)
{
  for (const auto& action : aActions) {
    if (const auto* refuse = std::get_if<Refuse>(&action)) {
      this->requests.erase(refuse->id);
    }
  }
  return aActions;
}

AdmissionController::AdmissionController(AdmissionSettings aSettings, Random aRandom)
  : state(std::make_unique<State>(std::move(aSettings), aRandom))
{
}

AdmissionController::~AdmissionController() = default;
AdmissionController::AdmissionController(AdmissionController&& aOther) noexcept = default;
AdmissionController& AdmissionController::operator=(
  AdmissionController&& aOther) noexcept = default;

void AdmissionController::Configure(AdmissionSettings aSettings)
{
  this->state->settings = std::move(aSettings);
  for (auto& [id, pool] : this->state->pools) {
    pool->Configure();
  }
}

std::vector<AdmissionAction> AdmissionController::Offer(Arrival aArrival, TimePoint aNow)
{
  auto& current = *this->state;
  if (!IsWellFormed(aArrival) || current.requests.contains(aArrival.id)) {
    return current.RefuseArrival(aArrival.id, RefusalReason::Malformed, Duration{ 0 });
  }
  const Duration shortRetryAfter =
    FromSeconds(ToSeconds(current.settings.minimumRetryAfter) *
                (1.0 + current.settings.retryJitter * current.random.Fraction()));
  if (current.draining) {
    return current.RefuseArrival(aArrival.id, RefusalReason::Draining, shortRetryAfter);
  }
  const auto found = current.pools.find(aArrival.pool);
  if (found == current.pools.end()) {
    return current.RefuseArrival(aArrival.id, RefusalReason::NoCapacity, shortRetryAfter);
  }
  auto& pool = *found->second;
  if (!pool.HasSlots()) {
    return current.RefuseArrival(
      aArrival.id, RefusalReason::NoCapacity, pool.RetryAfter(aNow));
  }
  current.requests.emplace(aArrival.id, &pool);
  std::vector<AdmissionAction> actions;
  pool.Offer(std::move(aArrival), aNow, actions);
  return current.ForgetRefused(std::move(actions));
}

std::vector<AdmissionAction> AdmissionController::OnFinished(const RequestId& aId,
                                                             AttemptOutcome aOutcome,
                                                             Duration aService,
                                                             TimePoint aNow)
{
  auto& current = *this->state;
  const auto found = current.requests.find(aId);
  if (found == current.requests.end()) {
    ++current.unknownIds;
    return {};
  }
  auto& pool = *found->second;
  current.requests.erase(found);
  pool.CancelWaiting(aId);
  pool.Finish(aId, aOutcome, aService, aNow);
  std::vector<AdmissionAction> actions;
  pool.Advance(aNow, actions);
  return current.ForgetRefused(std::move(actions));
}

std::vector<AdmissionAction> AdmissionController::OnAbandoned(const RequestId& aId,
                                                              TimePoint aNow)
{
  auto& current = *this->state;
  const auto found = current.requests.find(aId);
  if (found == current.requests.end()) {
    ++current.unknownIds;
    return {};
  }
  auto& pool = *found->second;
  current.requests.erase(found);
  if (!pool.CancelWaiting(aId)) {
    pool.Finish(aId, std::nullopt, Duration{ 0 }, aNow);
  }
  std::vector<AdmissionAction> actions;
  pool.Advance(aNow, actions);
  return current.ForgetRefused(std::move(actions));
}

void AdmissionController::OnSlotsReported(const PoolId& aPool,
                                          double aSlots,
                                          TimePoint /*aNow*/)
{
  auto& current = *this->state;
  const bool plausible = aSlots == 0 || IsPositiveInRange(aSlots);
  if (!plausible ||
      (!current.pools.contains(aPool) && current.pools.size() >= kMaximumPools)) {
    ++current.slotReportsIgnored;
    return;
  }
  auto& pool = current.pools[aPool];
  if (pool == nullptr) {
    pool = std::make_unique<AdmissionPool>(current.settings, current.random);
  }
  pool->SetSlots(aSlots);
}

void AdmissionController::StartDrain()
{
  this->state->draining = true;
}

std::vector<AdmissionAction> AdmissionController::Advance(TimePoint aNow)
{
  std::vector<AdmissionAction> actions;
  for (auto& [id, pool] : this->state->pools) {
    pool->Advance(aNow, actions);
  }
  return this->state->ForgetRefused(std::move(actions));
}

std::optional<TimePoint> AdmissionController::NextWake() const
{
  std::optional<TimePoint> next;
  for (const auto& [id, pool] : this->state->pools) {
    if (const auto wake = pool->NextWake()) {
      next = std::min(next.value_or(*wake), *wake);
    }
  }
  return next;
}

nlohmann::json AdmissionController::Describe(TimePoint aNow) const
{
  const auto& current = *this->state;
  nlohmann::json pools = nlohmann::json::object();
  for (const auto& [id, pool] : current.pools) {
    pools[id.Value()] = pool->Describe(aNow);
  }
  nlohmann::json refused = nlohmann::json::object();
  for (const auto& [reason, count] : current.refusals) {
    refused[Name(reason)] = count;
  }
  return { { "draining", current.draining },
           { "in_progress", current.requests.size() },
           { "refused_at_once", refused },
           { "slot_reports_ignored", current.slotReportsIgnored },
           { "unknown_ids", current.unknownIds },
           { "pools", pools } };
}

} // namespace toucanstand
