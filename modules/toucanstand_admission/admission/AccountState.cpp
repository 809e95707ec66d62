#include "admission/AccountState.h"

#include <algorithm>
#include <utility>

namespace toucanstand {

namespace {

/// Weight of a new observation of a cost; bounds of one observation and of the factor.
constexpr double kCorrectionWeight = 0.1;
constexpr double kLowestFactor = 0.25;
constexpr double kHighestFactor = 16.0;

/// Weight of one more request that did or did not run long, and the share from which on
/// announcements are not believed: three wrong ones in a row.
constexpr double kLongRunWeight = 0.25;
constexpr double kDisbelief = 0.5;

} // namespace

AccountState::AccountState(ClientAccount aGranted)
  : granted(std::move(aGranted))
{
}

void AccountState::Enqueue(const Waiting& aWaiting)
{
  this->queues[IndexOf(aWaiting.accountedAs)].insert(&aWaiting);
  this->queuedService[IndexOf(aWaiting.accountedAs)] += aWaiting.service;
}

void AccountState::Dequeue(const Waiting& aWaiting)
{
  auto& queue = this->queues[IndexOf(aWaiting.accountedAs)];
  auto& service = this->queuedService[IndexOf(aWaiting.accountedAs)];
  queue.erase(&aWaiting);
  // An empty queue is exactly zero, whatever rounding errors were added up.
  service = queue.empty() ? 0.0 : std::max(0.0, service - aWaiting.service);
}

double AccountState::QueuedService(WorkClass aClass) const
{
  return this->queuedService[IndexOf(aClass)];
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
  this->virtualTime += aCost / std::max(this->granted.share, kLowestShare);
}

void AccountState::Correct(WorkClass aClass, double aFactor)
{
  auto& factor = this->costFactors[IndexOf(aClass)];
  factor +=
    kCorrectionWeight * (std::clamp(aFactor, kLowestFactor, kHighestFactor) - factor);
}

void AccountState::OnShortEnded(bool aRanLong)
{
  this->longRuns += kLongRunWeight * ((aRanLong ? 1.0 : 0.0) - this->longRuns);
}

bool AccountState::MisannouncesLongWork() const
{
  return this->longRuns > kDisbelief;
}

} // namespace toucanstand
