#include "admission/AdmissionPool.h"

#include <algorithm>
#include <cmath>

#include <nlohmann/json.hpp>

namespace toucanstand {

namespace {

/// Accounts of a pool with a state of their own; further ones share one.
constexpr std::size_t kMaximumAccounts = 1024;

/// Excess over its share of the queue from which an account is told that it is over it.
constexpr double kOverShare = 1.25;

/// An account below this part of its share keeps what it has queued. Slightly under one,
/// so that rounding does not protect all accounts with equal queues.
constexpr double kWithinShare = 1.0 - 1e-9;

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
    account->granted = this->GrantedTo(id);
  }
}

void AdmissionPool::SetSlots(double aSlots)
{
  this->limit.SetSlots(aSlots);
}

void AdmissionPool::Offer(Arrival aArrival, TimePoint aNow, Actions& aActions)
{
  Waiting request = this->Prepare(std::move(aArrival));
  if (request.giveUpAt <= aNow) {
    this->Refuse(request, RefusalReason::DeadlineTooClose, aNow, aActions);
    return;
  }
  const WorkClass accountedAs = request.accountedAs;
  this->Enqueue(std::move(request));
  this->Dispatch(aNow, aActions);
  this->Trim(accountedAs, aNow, aActions);
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
  --this->runningByClass[IndexOf(request.accountedAs)];
  --request.account->running;
  if (request.longFrom) {
    this->longRuns.erase({ *request.longFrom, request.sequence });
  }
  this->returns.OnDrained(aNow);
  if (aOutcome == AttemptOutcome::Answered) {
    this->Learn(request, aService, aNow);
  } else if (aOutcome == AttemptOutcome::NotRun) {
    request.account->Charge(-request.chargedCost);
  }
}

bool AdmissionPool::Withdraw(const RequestId& aId)
{
  const auto found = this->waiting.find(aId);
  if (found == this->waiting.end()) {
    return false;
  }
  this->Take(found->second);
  return true;
}

void AdmissionPool::Advance(TimePoint aNow, Actions& aActions)
{
  this->AccountLongRuns(aNow);
  this->RefuseLate(aNow, aActions);
  this->Dispatch(aNow, aActions);
  // A lower limit makes a queue longer in time without any arrival.
  for (const WorkClass accountedAs : kClasses) {
    this->Trim(accountedAs, aNow, aActions);
  }
}

std::optional<TimePoint> AdmissionPool::NextWake() const
{
  std::optional<TimePoint> next;
  for (const auto* schedule : { &this->giveUps, &this->longRuns }) {
    if (!schedule->empty()) {
      const TimePoint first = schedule->begin()->first.first;
      next = std::min(next.value_or(first), first);
    }
  }
  return next;
}

Duration AdmissionPool::RetryAfter(TimePoint aNow)
{
  return this->returns.Next(this->waiting.size(), this->settings, this->random, aNow);
}

AccountState& AdmissionPool::AccountOf(const AccountId& aId)
{
  const auto found = this->accounts.find(aId);
  if (found != this->accounts.end()) {
    return *found->second;
  }
  if (this->accounts.size() >= kMaximumAccounts) {
    this->ForgetIdleAccounts();
  }
  const bool full = this->accounts.size() >= kMaximumAccounts;
  auto& account = this->accounts[full ? AccountId() : aId];
  if (account == nullptr) {
    account = std::make_unique<AccountState>(this->GrantedTo(aId));
    account->virtualTime = this->virtualTime;
  }
  return *account;
}

ClientAccount AdmissionPool::GrantedTo(const AccountId& aId) const
{
  const auto found = std::ranges::find(this->settings.accounts, aId, &ClientAccount::id);
  ClientAccount ordinary;
  ordinary.id = aId;
  return found == this->settings.accounts.end() ? ordinary : *found;
}

void AdmissionPool::ForgetIdleAccounts()
{
  std::erase_if(this->accounts,
                [](const auto& aEntry) { return aEntry.second->IsIdle(); });
}

Waiting AdmissionPool::Prepare(Arrival aArrival)
{
  Waiting request;
  auto& account = this->AccountOf(aArrival.account);
  request.account = &account;
  request.accountedAs =
    account.MisannouncesLongWork() ? WorkClass::Long : aArrival.workClass;
  request.cost = aArrival.cost * account.CostFactor(aArrival.workClass);
  request.density = aArrival.worth * account.granted.worth / request.cost;
  request.service = this->model.Predict(aArrival.workClass, request.cost);
  request.sequence = this->nextSequence++;
  // Bounded, because a huge announced cost would exceed the range of a duration.
  const double patience =
    std::min(request.service, ToSeconds(aArrival.deadline.time_since_epoch()));
  request.giveUpAt = aArrival.deadline - FromSeconds(patience);
  request.arrival = std::move(aArrival);
  return request;
}

const Waiting& AdmissionPool::Enqueue(Waiting aWaiting)
{
  auto& account = *aWaiting.account;
  if (!account.IsBacklogged()) {
    // Time without demand earns no claim on later service.
    account.virtualTime = std::max(account.virtualTime, this->virtualTime);
  }
  const RequestId id = aWaiting.arrival.id;
  const Waiting& stored = this->waiting[id] = std::move(aWaiting);
  account.Enqueue(stored);
  this->giveUps.emplace(std::pair(stored.giveUpAt, stored.sequence), id);
  return stored;
}

Waiting AdmissionPool::Take(const Waiting& aWaiting)
{
  aWaiting.account->Dequeue(aWaiting);
  this->giveUps.erase({ aWaiting.giveUpAt, aWaiting.sequence });
  auto node = this->waiting.extract(aWaiting.arrival.id);
  return std::move(node.mapped());
}

void AdmissionPool::Refuse(const Waiting& aWaiting,
                           RefusalReason aReason,
                           TimePoint aNow,
                           Actions& aActions)
{
  ++this->refusals[static_cast<std::size_t>(aReason)];
  ++aWaiting.account->refused;
  aActions.emplace_back(
    toucanstand::Refuse{ aWaiting.arrival.id, { aReason, this->RetryAfter(aNow) } });
}

void AdmissionPool::Trim(WorkClass aClass, TimePoint aNow, Actions& aActions)
{
  while (this->IsQueueTooLong(aClass)) {
    const Waiting* least = this->LeastValuable(aClass);
    if (least == nullptr) {
      return;
    }
    const double used = this->TotalsOf(aClass).ShareUsedBy(*least->account, aClass);
    const Waiting taken = this->Take(*least);
    this->Refuse(taken,
                 used > kOverShare ? RefusalReason::AccountOverShare
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
  const double longest =
    std::max(ToSeconds(this->settings.longestQueue), this->model.Mean(aClass));
  return this->TotalsOf(aClass).service >
         longest * static_cast<double>(std::max<std::size_t>(this->SlotsOf(aClass), 1));
}

const Waiting* AdmissionPool::LeastValuable(WorkClass aClass) const
{
  const QueueTotals totals = this->TotalsOf(aClass);
  const Waiting* least = nullptr;
  for (const auto& [id, account] : this->accounts) {
    const auto& queue = account->QueueOf(aClass);
    if (queue.empty() || totals.ShareUsedBy(*account, aClass) < kWithinShare) {
      continue;
    }
    const Waiting* last = *queue.rbegin();
    if (least == nullptr || AccountState::Order()(least, last)) {
      least = last;
    }
  }
  return least;
}

AdmissionPool::QueueTotals AdmissionPool::TotalsOf(WorkClass aClass) const
{
  QueueTotals totals;
  for (const auto& [id, account] : this->accounts) {
    const auto& queue = account->QueueOf(aClass);
    if (!queue.empty()) {
      totals.service += account->QueuedService(aClass);
      totals.count += static_cast<double>(queue.size());
      totals.shares += account->granted.share;
    }
  }
  return totals;
}

double AdmissionPool::QueueTotals::ShareUsedBy(const AccountState& aAccount,
                                               WorkClass aClass) const
{
  if (this->shares <= 0) {
    return 1.0;
  }
  // Before service times are known, requests are counted instead.
  const double used =
    this->service > 0
      ? aAccount.QueuedService(aClass) / this->service
      : static_cast<double>(aAccount.QueueOf(aClass).size()) / std::max(this->count, 1.0);
  return used * this->shares / std::max(aAccount.granted.share, kLowestShare);
}

void AdmissionPool::RefuseLate(TimePoint aNow, Actions& aActions)
{
  while (!this->giveUps.empty() && this->giveUps.begin()->first.first <= aNow) {
    const RequestId id = this->giveUps.begin()->second;
    const Waiting taken = this->Take(this->waiting.at(id));
    this->Refuse(taken, RefusalReason::DeadlineTooClose, aNow, aActions);
  }
}

void AdmissionPool::AccountLongRuns(TimePoint aNow)
{
  while (!this->longRuns.empty() && this->longRuns.begin()->first.first <= aNow) {
    auto& request = this->running.at(this->longRuns.begin()->second);
    this->longRuns.erase(this->longRuns.begin());
    request.longFrom.reset();
    request.accountedAs = WorkClass::Long;
    --this->runningByClass[IndexOf(WorkClass::Short)];
    ++this->runningByClass[IndexOf(WorkClass::Long)];
    ++this->longRunsFound;
  }
}

void AdmissionPool::Dispatch(TimePoint aNow, Actions& aActions)
{
  const auto observe = [this, aNow] {
    this->shortDemand.Observe(
      static_cast<double>(this->runningByClass[IndexOf(WorkClass::Short)]), aNow);
  };
  observe();
  while (!this->waiting.empty() && this->running.size() < this->limit.Whole()) {
    const Waiting* next = this->Next();
    if (next == nullptr) {
      break;
    }
    this->Start(this->Take(*next), aNow, aActions);
  }
  observe();
}

void AdmissionPool::Start(const Waiting& aWaiting, TimePoint aNow, Actions& aActions)
{
  Running request;
  request.account = aWaiting.account;
  request.announcedAs = aWaiting.arrival.workClass;
  request.accountedAs = aWaiting.accountedAs;
  request.announcedCost = aWaiting.arrival.cost;
  request.chargedCost = aWaiting.cost;
  request.sequence = aWaiting.sequence;
  if (request.accountedAs == WorkClass::Short) {
    request.longFrom = aNow + this->LongRunAfter();
    this->longRuns.emplace(std::pair(*request.longFrom, request.sequence),
                           aWaiting.arrival.id);
  }
  aWaiting.account->Charge(aWaiting.cost);
  ++aWaiting.account->running;
  ++aWaiting.account->admitted;
  ++this->admitted;
  ++this->runningByClass[IndexOf(request.accountedAs)];
  this->running.emplace(aWaiting.arrival.id, request);
  aActions.emplace_back(Admit{ aWaiting.arrival.id });
}

const Waiting* AdmissionPool::Next()
{
  // By share alone, an account with little valuable work gets as much as the others; by
  // value alone, such an account gets nothing. Slots are split between the two rules.
  this->fairCredit += this->settings.fairShare;
  if (this->fairCredit >= 1.0) {
    this->fairCredit -= 1.0;
    return this->NextByShare();
  }
  return this->NextByValue();
}

const Waiting* AdmissionPool::MostValuable(const AccountState& aAccount) const
{
  const Waiting* best = nullptr;
  for (const WorkClass accountedAs : kClasses) {
    const auto& queue = aAccount.QueueOf(accountedAs);
    if (queue.empty() || !this->MayRun(accountedAs)) {
      continue;
    }
    if (best == nullptr || AccountState::Order()(*queue.begin(), best)) {
      best = *queue.begin();
    }
  }
  return best;
}

const Waiting* AdmissionPool::NextByShare()
{
  const Waiting* next = nullptr;
  for (const auto& [id, account] : this->accounts) {
    if (next != nullptr && account->virtualTime >= next->account->virtualTime) {
      continue;
    }
    if (const Waiting* best = this->MostValuable(*account)) {
      next = best;
    }
  }
  if (next != nullptr) {
    this->virtualTime = std::max(this->virtualTime, next->account->virtualTime);
  }
  return next;
}

const Waiting* AdmissionPool::NextByValue() const
{
  const Waiting* next = nullptr;
  for (const auto& [id, account] : this->accounts) {
    const Waiting* best = this->MostValuable(*account);
    if (best != nullptr && (next == nullptr || AccountState::Order()(best, next))) {
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
  if (this->limit.Whole() > 1) {
    return longRunning < this->SlotsOf(WorkClass::Long);
  }
  // A single slot cannot be divided: long work uses it when no short work waits.
  return std::ranges::none_of(this->accounts, [](const auto& aEntry) {
    return !aEntry.second->QueueOf(WorkClass::Short).empty();
  });
}

std::size_t AdmissionPool::SlotsOf(WorkClass aClass) const
{
  const std::size_t whole = this->limit.Whole();
  if (aClass == WorkClass::Short || whole == 0) {
    return whole;
  }
  const auto slots = static_cast<double>(whole);
  const double most = slots * this->settings.longShare;
  const double least = std::min(slots * this->settings.leastLongShare, most);
  // Long work holds its slots for so long that they cannot be taken back when short work
  // arrives; the room for it has to be kept free beforehand.
  const double left = std::clamp(slots - this->shortDemand.Needed(), least, most);
  return std::max<std::size_t>(static_cast<std::size_t>(std::floor(left + 1e-9)), 1);
}

Duration AdmissionPool::LongRunAfter() const
{
  const double seconds =
    this->model.Mean(WorkClass::Short) * this->settings.longRunFactor;
  return std::max(FromSeconds(seconds), this->settings.shortestLongRun);
}

void AdmissionPool::Learn(const Running& aRunning, Duration aService, TimePoint aNow)
{
  const double seconds = std::max(0.0, ToSeconds(aService));
  const bool ranLong = aService > this->LongRunAfter();
  if (aRunning.announcedAs == WorkClass::Short) {
    aRunning.account->OnShortEnded(ranLong);
  }
  const double observed = this->model.CostOf(aRunning.announcedAs, seconds);
  if (observed > 0) {
    aRunning.account->Correct(aRunning.announcedAs, observed / aRunning.announcedCost);
    aRunning.account->Charge(observed - aRunning.chargedCost);
  }
  if (aRunning.announcedAs == WorkClass::Short && ranLong) {
    return; // It says nothing about honest short work.
  }
  this->model.Record(aRunning.announcedAs, aRunning.announcedCost, seconds);
  this->limit.Record(aRunning.announcedAs, aRunning.announcedCost, seconds, aNow);
}

nlohmann::json AdmissionPool::Describe(TimePoint aNow) const
{
  nlohmann::json described = nlohmann::json::object();
  for (const auto& [id, account] : this->accounts) {
    described[id.Value()] = {
      { "share", account->granted.share },
      { "running", account->running },
      { "queued_short", account->QueueOf(WorkClass::Short).size() },
      { "queued_long", account->QueueOf(WorkClass::Long).size() },
      { "admitted", account->admitted },
      { "refused", account->refused },
      { "cost_factor_short", account->CostFactor(WorkClass::Short) },
      { "cost_factor_long", account->CostFactor(WorkClass::Long) },
      { "misannounces_long_work", account->MisannouncesLongWork() },
    };
  }
  nlohmann::json refused = nlohmann::json::object();
  for (std::size_t index = 0; index < this->refusals.size(); ++index) {
    refused[Name(static_cast<RefusalReason>(index))] = this->refusals[index];
  }
  return { { "slots", this->limit.Slots() },
           { "limit", this->limit.Value() },
           { "limit_long", this->SlotsOf(WorkClass::Long) },
           { "running_short", this->runningByClass[IndexOf(WorkClass::Short)] },
           { "running_long", this->runningByClass[IndexOf(WorkClass::Long)] },
           { "queued", this->waiting.size() },
           { "mean_service_short_s", this->model.Mean(WorkClass::Short) },
           { "mean_service_long_s", this->model.Mean(WorkClass::Long) },
           { "drain_rate", this->returns.DrainRate(aNow) },
           { "admitted", this->admitted },
           { "long_runs_found", this->longRunsFound },
           { "refused", refused },
           { "accounts", described } };
}

} // namespace toucanstand
