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

/// Greatest worth, cost and number of slots that is believed.
constexpr double kGreatestNumber = 1e9;

/// Pools with reported slots; further ones are ignored and counted.
constexpr std::size_t kMaximumPools = 1'000;

bool IsPositive(double aNumber)
{
  return std::isfinite(aNumber) && aNumber > 0 && aNumber <= kGreatestNumber;
}

bool IsWellFormed(const Arrival& aArrival)
{
  return !aArrival.id.IsEmpty() && IsPositive(aArrival.cost) &&
         (aArrival.worth == 0 || IsPositive(aArrival.worth));
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
  /// Forgets the requests that were refused.
  std::vector<AdmissionAction> Settle(std::vector<AdmissionAction> aActions);

  AdmissionSettings settings;
  Random random;
  bool draining = false;
  std::map<PoolId, std::unique_ptr<AdmissionPool>> pools;
  /// Pool of each request that waits or runs.
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

std::vector<AdmissionAction> AdmissionController::State::Settle(
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
  auto& own = *this->state;
  if (!IsWellFormed(aArrival) || own.requests.contains(aArrival.id)) {
    return own.RefuseArrival(aArrival.id, RefusalReason::Malformed, Duration{ 0 });
  }
  const Duration soon =
    FromSeconds(ToSeconds(own.settings.shortestRetryAfter) *
                (1.0 + own.settings.retryJitter * own.random.Fraction()));
  if (own.draining) {
    return own.RefuseArrival(aArrival.id, RefusalReason::Draining, soon);
  }
  const auto found = own.pools.find(aArrival.pool);
  if (found == own.pools.end()) {
    return own.RefuseArrival(aArrival.id, RefusalReason::NoCapacity, soon);
  }
  auto& pool = *found->second;
  if (!pool.HasSlots()) {
    return own.RefuseArrival(
      aArrival.id, RefusalReason::NoCapacity, pool.RetryAfter(aNow));
  }
  own.requests.emplace(aArrival.id, &pool);
  std::vector<AdmissionAction> actions;
  pool.Offer(std::move(aArrival), aNow, actions);
  return own.Settle(std::move(actions));
}

std::vector<AdmissionAction> AdmissionController::OnFinished(const RequestId& aId,
                                                             AttemptOutcome aOutcome,
                                                             Duration aService,
                                                             TimePoint aNow)
{
  auto& own = *this->state;
  const auto found = own.requests.find(aId);
  if (found == own.requests.end()) {
    ++own.unknownIds;
    return {};
  }
  auto& pool = *found->second;
  own.requests.erase(found);
  pool.Withdraw(aId);
  pool.Finish(aId, aOutcome, aService, aNow);
  std::vector<AdmissionAction> actions;
  pool.Advance(aNow, actions);
  return own.Settle(std::move(actions));
}

std::vector<AdmissionAction> AdmissionController::OnAbandoned(const RequestId& aId,
                                                              TimePoint aNow)
{
  auto& own = *this->state;
  const auto found = own.requests.find(aId);
  if (found == own.requests.end()) {
    ++own.unknownIds;
    return {};
  }
  auto& pool = *found->second;
  own.requests.erase(found);
  if (!pool.Withdraw(aId)) {
    pool.Finish(aId, std::nullopt, Duration{ 0 }, aNow);
  }
  std::vector<AdmissionAction> actions;
  pool.Advance(aNow, actions);
  return own.Settle(std::move(actions));
}

void AdmissionController::OnSlots(const PoolId& aPool, double aSlots, TimePoint /*aNow*/)
{
  auto& own = *this->state;
  const bool plausible = aSlots == 0 || IsPositive(aSlots);
  if (!plausible || (!own.pools.contains(aPool) && own.pools.size() >= kMaximumPools)) {
    ++own.slotReportsIgnored;
    return;
  }
  auto& pool = own.pools[aPool];
  if (pool == nullptr) {
    pool = std::make_unique<AdmissionPool>(own.settings, own.random);
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
  return this->state->Settle(std::move(actions));
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
  const auto& own = *this->state;
  nlohmann::json pools = nlohmann::json::object();
  for (const auto& [id, pool] : own.pools) {
    pools[id.Value()] = pool->Describe(aNow);
  }
  nlohmann::json refused = nlohmann::json::object();
  for (const auto& [reason, count] : own.refusals) {
    refused[Name(reason)] = count;
  }
  return {
    { "draining", own.draining },      { "in_progress", own.requests.size() },
    { "refused_at_once", refused },    { "slot_reports_ignored", own.slotReportsIgnored },
    { "unknown_ids", own.unknownIds }, { "pools", pools }
  };
}

} // namespace toucanstand
