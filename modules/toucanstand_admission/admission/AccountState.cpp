#include "admission/AccountState.h"

#include <algorithm>
#include <utility>

namespace toucanstand {

namespace {

/// Weight of a new observation in the cost factor, and bounds of an observation. The
/// bounds also hold for the factor, which is an average of observations.
constexpr double kCostSampleWeight = 0.1;
constexpr double kMinimumCostFactor = 0.25;
constexpr double kMaximumCostFactor = 16.0;

/// Weight of a new request in the fraction of long runs, and the fraction above which the
/// account's short requests are treated as long. Three long runs in a row exceed it.
constexpr double kLongRunSampleWeight = 0.25;
constexpr double kMisdeclarationThreshold = 0.5;

} // namespace

AccountState::AccountState(ClientAccount aClientAccount)
  : clientAccount(std::move(aClientAccount))
{
}

void AccountState::Enqueue(const WaitingRequest& aWaiting)
{
  this->queues[IndexOf(aWaiting.effectiveClass)].insert(&aWaiting);
  this->queuedSeconds[IndexOf(aWaiting.effectiveClass)] += aWaiting.expectedSeconds;
}

void AccountState::Dequeue(const WaitingRequest& aWaiting)
{
  auto& queue = this->queues[IndexOf(aWaiting.effectiveClass)];
  auto& queuedTime = this->queuedSeconds[IndexOf(aWaiting.effectiveClass)];
  queue.erase(&aWaiting);
  // Reset to zero when the queue is empty, so that rounding errors do not accumulate.
  queuedTime = queue.empty() ? 0.0 : std::max(0.0, queuedTime - aWaiting.expectedSeconds);
}

double AccountState::QueuedSeconds(WorkClass aClass) const
{
  return this->queuedSeconds[IndexOf(aClass)];
}

bool AccountState::IsBacklogged() const
{
  return std::ranges::any_of(this->queues,
                             [](const auto& aQueue) { return !aQueue.empty(); });
}

bool AccountState::IsIdle() const
{
  return this->running == 0 && !this->IsBacklogged();
}

void AccountState::Charge(double aCost)
{
  this->virtualTime += aCost / std::max(this->clientAccount.share, kMinimumShare);
}

void AccountState::UpdateCostFactor(WorkClass aClass, double aFactor)
{
  auto& factor = this->costFactors[IndexOf(aClass)];
  factor += kCostSampleWeight *
            (std::clamp(aFactor, kMinimumCostFactor, kMaximumCostFactor) - factor);
}

void AccountState::OnShortWorkFinished(bool aRanLong)
{
  this->longRunShare +=
    kLongRunSampleWeight * ((aRanLong ? 1.0 : 0.0) - this->longRunShare);
}

bool AccountState::DeclaresLongWorkAsShort() const
{
  return this->longRunShare > kMisdeclarationThreshold;
}

} // namespace toucanstand
