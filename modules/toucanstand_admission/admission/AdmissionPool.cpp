#include "admission/AdmissionPool.h"

#include <algorithm>
#include <cmath>

#include <nlohmann/json.hpp>

namespace toucanstand {

namespace {

/// Maximum number of accounts with separate state. Further accounts share one state.
constexpr std::size_t kMaximumAccounts = 1024;

/// Requests of an account whose queued work is more than this multiple of its share are
/// refused with AccountOverShare instead of QueueFull.
constexpr double kOverShareRatio = 1.25;

/// When the queue is too long, requests of accounts below this fraction of their share
/// are not refused. The value is slightly below one, because rounding errors could
/// otherwise protect every account when all have equal queues.
constexpr double kProtectedShareRatio = 1.0 - 1e-9;

constexpr std::array kClasses = { WorkClass::Short, WorkClass::Long };

} // namespace

AdmissionPool::AdmissionPool(const AdmissionSettings& aSettings, Random& aRandom)
  : settings(aSettings)
  , random(aRandom)
  , limit(aSettings.limit)
{
}

void AdmissionPool::Configure()
{
  this->limit.Configure(this->settings.limit);
  for (auto& [id, account] : this->accounts) {
    account->clientAccount = this->ClientAccountFor(id);
  }
}

void AdmissionPool::SetSlots(double aSlots)
{
  this->limit.SetSlots(aSlots);
}

void AdmissionPool::Offer(Arrival aArrival, TimePoint aNow, Actions& aActions)
{
  WaitingRequest request = this->MakeWaitingRequest(std::move(aArrival));
  if (request.latestStart <= aNow) {
    this->Refuse(request, RefusalReason::DeadlineTooClose, aNow, aActions);
    return;
  }
  const WorkClass effectiveClass = request.effectiveClass;
  this->Enqueue(std::move(request));
  this->Dispatch(aNow, aActions);
  this->RefuseExcess(effectiveClass, aNow, aActions);
}

void AdmissionPool::Finish(const RequestId& aId,
                           std::optional<AttemptOutcome> aOutcome,
                           Duration aService,
                           TimePoint aNow)
{
  const auto found = this->running.find(aId);
  if (found == this->running.end()) {
    return;
  }
  const Running request = found->second;
  this->running.erase(found);
  --this->runningByClass[IndexOf(request.effectiveClass)];
  --request.account->running;
  if (request.reclassifyAt) {
    this->reclassifications.erase({ *request.reclassifyAt, request.sequence });
  }
  this->retryAfterSchedule.OnRequestFinished(aNow);
  if (aOutcome == AttemptOutcome::Answered) {
    this->UpdateEstimates(request, aService, aNow);
  } else if (aOutcome == AttemptOutcome::NotRun) {
    request.account->Charge(-request.chargedCost);
  }
}

bool AdmissionPool::CancelWaiting(const RequestId& aId)
{
  const auto found = this->waiting.find(aId);
  if (found == this->waiting.end()) {
    return false;
  }
  this->RemoveWaiting(found->second);
  return true;
}

void AdmissionPool::Advance(TimePoint aNow, Actions& aActions)
{
  this->ReclassifyLongRuns(aNow);
  this->RefuseExpired(aNow, aActions);
  this->Dispatch(aNow, aActions);
  // When the limit falls, the same queue takes longer to run without any new request.
  for (const WorkClass effectiveClass : kClasses) {
    this->RefuseExcess(effectiveClass, aNow, aActions);
  }
}

std::optional<TimePoint> AdmissionPool::NextWake() const
{
  std::optional<TimePoint> next;
  for (const auto* schedule : { &this->latestStarts, &this->reclassifications }) {
    if (!schedule->empty()) {
      const TimePoint first = schedule->begin()->first.first;
      next = std::min(next.value_or(first), first);
    }
  }
  return next;
}

Duration AdmissionPool::RetryAfter(TimePoint aNow)
{
  return this->retryAfterSchedule.Next(
    this->waiting.size(), this->settings, this->random, aNow);
}

AccountState& AdmissionPool::FindOrCreateAccount(const AccountId& aId)
{
  const auto found = this->accounts.find(aId);
  if (found != this->accounts.end()) {
    return *found->second;
  }
  if (this->accounts.size() >= kMaximumAccounts) {
    this->EraseIdleAccounts();
  }
  const bool full = this->accounts.size() >= kMaximumAccounts;
  auto& account = this->accounts[full ? AccountId() : aId];
  if (account == nullptr) {
    account = std::make_unique<AccountState>(this->ClientAccountFor(aId));
    account->virtualTime = this->virtualTime;
  }
  return *account;
}

ClientAccount AdmissionPool::ClientAccountFor(const AccountId& aId) const
{
  const auto found = std::ranges::find(this->settings.accounts, aId, &ClientAccount::id);
  ClientAccount unlisted;
  unlisted.id = aId;
  return found == this->settings.accounts.end() ? unlisted : *found;
}

void AdmissionPool::EraseIdleAccounts()
{
  std::erase_if(this->accounts,
                [](const auto& aEntry) { return aEntry.second->IsIdle(); });
}

WaitingRequest AdmissionPool::MakeWaitingRequest(Arrival aArrival)
{
  WaitingRequest request;
  auto& account = this->FindOrCreateAccount(aArrival.account);
  request.account = &account;
  request.effectiveClass =
    account.DeclaresLongWorkAsShort() ? WorkClass::Long : aArrival.workClass;
  request.cost = aArrival.cost * account.CostFactor(aArrival.workClass);
  request.worthPerCost = aArrival.worth * account.clientAccount.worth / request.cost;
  request.expectedSeconds =
    this->serviceTimeModel.PredictSeconds(aArrival.workClass, request.cost);
  request.sequence = this->nextSequence++;
  // Bounded, because a huge declared cost would exceed the range of Duration.
  const double boundedService =
    std::min(request.expectedSeconds, ToSeconds(aArrival.deadline.time_since_epoch()));
  request.latestStart = aArrival.deadline - FromSeconds(boundedService);
  request.arrival = std::move(aArrival);
  return request;
}

const WaitingRequest& AdmissionPool::Enqueue(WaitingRequest aWaiting)
{
  auto& account = *aWaiting.account;
  if (!account.IsBacklogged()) {
    // An account gains no credit for time in which it had no requests waiting.
    account.virtualTime = std::max(account.virtualTime, this->virtualTime);
  }
  const RequestId id = aWaiting.arrival.id;
  const WaitingRequest& stored = this->waiting[id] = std::move(aWaiting);
  account.Enqueue(stored);
  this->latestStarts.emplace(std::pair(stored.latestStart, stored.sequence), id);
  return stored;
}

WaitingRequest AdmissionPool::RemoveWaiting(const WaitingRequest& aWaiting)
{
  aWaiting.account->Dequeue(aWaiting);
  this->latestStarts.erase({ aWaiting.latestStart, aWaiting.sequence });
  auto node = this->waiting.extract(aWaiting.arrival.id);
  return std::move(node.mapped());
}

void AdmissionPool::Refuse(const WaitingRequest& aWaiting,
                           RefusalReason aReason,
                           TimePoint aNow,
                           Actions& aActions)
{
  ++this->refusals[static_cast<std::size_t>(aReason)];
  ++aWaiting.account->refused;
  aActions.emplace_back(
    toucanstand::Refuse{ aWaiting.arrival.id, { aReason, this->RetryAfter(aNow) } });
}

void AdmissionPool::RefuseExcess(WorkClass aClass, TimePoint aNow, Actions& aActions)
{
  while (this->IsQueueTooLong(aClass)) {
    const WaitingRequest* leastValuable = this->FindLeastValuable(aClass);
    if (leastValuable == nullptr) {
      return;
    }
    const double relativeShare =
      this->TotalsOf(aClass).RelativeShareOf(*leastValuable->account, aClass);
    const WaitingRequest taken = this->RemoveWaiting(*leastValuable);
    this->Refuse(taken,
                 relativeShare > kOverShareRatio ? RefusalReason::AccountOverShare
                                                 : RefusalReason::QueueFull,
                 aNow,
                 aActions);
  }
}

bool AdmissionPool::IsQueueTooLong(WorkClass aClass) const
{
  if (this->waiting.size() > this->settings.maximumQueued) {
    return true;
  }
  const double longest = std::max(ToSeconds(this->settings.maximumQueueTime),
                                  this->serviceTimeModel.MeanSeconds(aClass));
  return this->TotalsOf(aClass).expectedSeconds >
         longest *
           static_cast<double>(std::max<std::size_t>(this->SlotLimitOf(aClass), 1));
}

const WaitingRequest* AdmissionPool::FindLeastValuable(WorkClass aClass) const
{
  const QueueTotals totals = this->TotalsOf(aClass);
  const WaitingRequest* leastValuable = nullptr;
  for (const auto& [id, account] : this->accounts) {
    const auto& queue = account->QueueOf(aClass);
    if (queue.empty() ||
        totals.RelativeShareOf(*account, aClass) < kProtectedShareRatio) {
      continue;
    }
    const WaitingRequest* last = *queue.rbegin();
    if (leastValuable == nullptr ||
        AccountState::HigherWorthFirst()(leastValuable, last)) {
      leastValuable = last;
    }
  }
  return leastValuable;
}

AdmissionPool::QueueTotals AdmissionPool::TotalsOf(WorkClass aClass) const
{
  QueueTotals totals;
  for (const auto& [id, account] : this->accounts) {
    const auto& queue = account->QueueOf(aClass);
    if (!queue.empty()) {
      totals.expectedSeconds += account->QueuedSeconds(aClass);
      totals.count += static_cast<double>(queue.size());
      totals.shares += account->clientAccount.share;
    }
  }
  return totals;
}

double AdmissionPool::QueueTotals::RelativeShareOf(const AccountState& aAccount,
                                                   WorkClass aClass) const
{
  if (this->shares <= 0) {
    return 1.0;
  }
  // Until service times are known, the number of requests is used instead.
  const double queuedFraction =
    this->expectedSeconds > 0
      ? aAccount.QueuedSeconds(aClass) / this->expectedSeconds
      : static_cast<double>(aAccount.QueueOf(aClass).size()) / std::max(this->count, 1.0);
  return queuedFraction * this->shares /
         std::max(aAccount.clientAccount.share, kMinimumShare);
}

void AdmissionPool::RefuseExpired(TimePoint aNow, Actions& aActions)
{
  while (!this->latestStarts.empty() && this->latestStarts.begin()->first.first <= aNow) {
    const RequestId id = this->latestStarts.begin()->second;
    const WaitingRequest taken = this->RemoveWaiting(this->waiting.at(id));
    this->Refuse(taken, RefusalReason::DeadlineTooClose, aNow, aActions);
  }
}

void AdmissionPool::ReclassifyLongRuns(TimePoint aNow)
{
  while (!this->reclassifications.empty() &&
         this->reclassifications.begin()->first.first <= aNow) {
    auto& request = this->running.at(this->reclassifications.begin()->second);
    this->reclassifications.erase(this->reclassifications.begin());
    request.reclassifyAt.reset();
    request.effectiveClass = WorkClass::Long;
    --this->runningByClass[IndexOf(WorkClass::Short)];
    ++this->runningByClass[IndexOf(WorkClass::Long)];
    ++this->reclassifiedCount;
  }
}

void AdmissionPool::Dispatch(TimePoint aNow, Actions& aActions)
{
  const auto recordRunning = [this, aNow] {
    this->shortWorkDemand.RecordRunning(
      static_cast<double>(this->runningByClass[IndexOf(WorkClass::Short)]), aNow);
  };
  recordRunning();
  while (!this->waiting.empty() && this->running.size() < this->limit.MaximumRunning()) {
    const WaitingRequest* next = this->SelectNext();
    if (next == nullptr) {
      break;
    }
    this->StartRequest(this->RemoveWaiting(*next), aNow, aActions);
  }
  recordRunning();
}

void AdmissionPool::StartRequest(const WaitingRequest& aWaiting,
                                 TimePoint aNow,
                                 Actions& aActions)
{
  Running request;
  request.account = aWaiting.account;
  request.declaredClass = aWaiting.arrival.workClass;
  request.effectiveClass = aWaiting.effectiveClass;
  request.declaredCost = aWaiting.arrival.cost;
  request.chargedCost = aWaiting.cost;
  request.sequence = aWaiting.sequence;
  if (request.effectiveClass == WorkClass::Short) {
    request.reclassifyAt = aNow + this->LongRunThreshold();
    this->reclassifications.emplace(std::pair(*request.reclassifyAt, request.sequence),
                                    aWaiting.arrival.id);
  }
  aWaiting.account->Charge(aWaiting.cost);
  ++aWaiting.account->running;
  ++aWaiting.account->admitted;
  ++this->admitted;
  ++this->runningByClass[IndexOf(request.effectiveClass)];
  this->running.emplace(aWaiting.arrival.id, request);
  aActions.emplace_back(Admit{ aWaiting.arrival.id });
}

const WaitingRequest* AdmissionPool::SelectNext()
{
  // Selecting by fair share alone gives an account with work of little worth as much as
  // the others. Selecting by worth alone gives such an account nothing. A fraction of the
  // admissions (the setting fairShare) goes by share, the rest by worth.
  this->fairShareCredit += this->settings.fairShare;
  if (this->fairShareCredit >= 1.0) {
    this->fairShareCredit -= 1.0;
    return this->SelectByFairShare();
  }
  return this->SelectByWorth();
}

const WaitingRequest* AdmissionPool::MostValuableRunnable(
  const AccountState& aAccount) const
{
  const WaitingRequest* best = nullptr;
  for (const WorkClass effectiveClass : kClasses) {
    const auto& queue = aAccount.QueueOf(effectiveClass);
    if (queue.empty() || !this->MayRun(effectiveClass)) {
      continue;
    }
    if (best == nullptr || AccountState::HigherWorthFirst()(*queue.begin(), best)) {
      best = *queue.begin();
    }
  }
  return best;
}

const WaitingRequest* AdmissionPool::SelectByFairShare()
{
  const WaitingRequest* next = nullptr;
  for (const auto& [id, account] : this->accounts) {
    if (next != nullptr && account->virtualTime >= next->account->virtualTime) {
      continue;
    }
    if (const WaitingRequest* best = this->MostValuableRunnable(*account)) {
      next = best;
    }
  }
  if (next != nullptr) {
    this->virtualTime = std::max(this->virtualTime, next->account->virtualTime);
  }
  return next;
}

const WaitingRequest* AdmissionPool::SelectByWorth() const
{
  const WaitingRequest* next = nullptr;
  for (const auto& [id, account] : this->accounts) {
    const WaitingRequest* best = this->MostValuableRunnable(*account);
    if (best != nullptr &&
        (next == nullptr || AccountState::HigherWorthFirst()(best, next))) {
      next = best;
    }
  }
  return next;
}

bool AdmissionPool::MayRun(WorkClass aClass) const
{
  if (aClass == WorkClass::Short) {
    return true;
  }
  const std::size_t longRunning = this->runningByClass[IndexOf(WorkClass::Long)];
  if (this->limit.MaximumRunning() > 1) {
    return longRunning < this->SlotLimitOf(WorkClass::Long);
  }
  // A single slot cannot be divided, so long work uses it only when no short work waits.
  return std::ranges::none_of(this->accounts, [](const auto& aEntry) {
    return !aEntry.second->QueueOf(WorkClass::Short).empty();
  });
}

std::size_t AdmissionPool::SlotLimitOf(WorkClass aClass) const
{
  const std::size_t maximumRunning = this->limit.MaximumRunning();
  if (aClass == WorkClass::Short || maximumRunning == 0) {
    return maximumRunning;
  }
  const auto slots = static_cast<double>(maximumRunning);
  const double maximum = slots * this->settings.maximumLongShare;
  const double minimum = std::min(slots * this->settings.minimumLongShare, maximum);
  // Long work cannot be preempted, and holds its slots for a long time. The slots that
  // short work is expected to need are therefore kept free in advance.
  const double available =
    std::clamp(slots - this->shortWorkDemand.RequiredSlots(), minimum, maximum);
  return std::max<std::size_t>(static_cast<std::size_t>(std::floor(available + 1e-9)), 1);
}

Duration AdmissionPool::LongRunThreshold() const
{
  const double seconds =
    this->serviceTimeModel.MeanSeconds(WorkClass::Short) * this->settings.longRunFactor;
  return std::max(FromSeconds(seconds), this->settings.minimumLongRunTime);
}

void AdmissionPool::UpdateEstimates(const Running& aRunning,
                                    Duration aService,
                                    TimePoint aNow)
{
  const double seconds = std::max(0.0, ToSeconds(aService));
  const bool ranLong = aService > this->LongRunThreshold();
  if (aRunning.declaredClass == WorkClass::Short) {
    aRunning.account->OnShortWorkFinished(ranLong);
  }
  const double observed =
    this->serviceTimeModel.EquivalentCost(aRunning.declaredClass, seconds);
  if (observed > 0) {
    aRunning.account->UpdateCostFactor(aRunning.declaredClass,
                                       observed / aRunning.declaredCost);
    aRunning.account->Charge(observed - aRunning.chargedCost);
  }
  if (aRunning.declaredClass == WorkClass::Short && ranLong) {
    return; // Misdeclared long work would distort the estimates for short work.
  }
  this->serviceTimeModel.Record(aRunning.declaredClass, aRunning.declaredCost, seconds);
  this->limit.Record(aRunning.declaredClass, aRunning.declaredCost, seconds, aNow);
}

nlohmann::json AdmissionPool::Describe(TimePoint aNow) const
{
  nlohmann::json describedAccounts = nlohmann::json::object();
  for (const auto& [id, account] : this->accounts) {
    describedAccounts[id.Value()] = {
      { "share", account->clientAccount.share },
      { "running", account->running },
      { "queued_short", account->QueueOf(WorkClass::Short).size() },
      { "queued_long", account->QueueOf(WorkClass::Long).size() },
      { "admitted", account->admitted },
      { "refused", account->refused },
      { "cost_factor_short", account->CostFactor(WorkClass::Short) },
      { "cost_factor_long", account->CostFactor(WorkClass::Long) },
      { "misannounces_long_work", account->DeclaresLongWorkAsShort() },
    };
  }
  nlohmann::json refused = nlohmann::json::object();
  for (std::size_t index = 0; index < this->refusals.size(); ++index) {
    refused[Name(static_cast<RefusalReason>(index))] = this->refusals[index];
  }
  return { { "slots", this->limit.Slots() },
           { "limit", this->limit.Unrounded() },
           { "limit_long", this->SlotLimitOf(WorkClass::Long) },
           { "running_short", this->runningByClass[IndexOf(WorkClass::Short)] },
           { "running_long", this->runningByClass[IndexOf(WorkClass::Long)] },
           { "queued", this->waiting.size() },
           { "mean_service_short_s",
             this->serviceTimeModel.MeanSeconds(WorkClass::Short) },
           { "mean_service_long_s", this->serviceTimeModel.MeanSeconds(WorkClass::Long) },
           { "drain_rate", this->retryAfterSchedule.CompletionRate(aNow) },
           { "admitted", this->admitted },
           { "long_runs_found", this->reclassifiedCount },
           { "refused", refused },
           { "accounts", describedAccounts } };
}

} // namespace toucanstand
