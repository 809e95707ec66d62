#include "attempts/RetryBudget.h"

#include <algorithm>
#include <cmath>
#include <ranges>

#include <nlohmann/json.hpp>

namespace toucanstand {

template<typename Id>
RetryBudget::Bucket& RetryBudget::BucketOf(Buckets<Id>& aBuckets, const Id& aId) const
{
  const auto found = aBuckets.find(aId);
  if (found != aBuckets.end()) {
    return found->second;
  }
  // When full, new ids share one bucket, stored under the empty id. Evicting a bucket
  // instead would grant its owner the initial credit again.
  const bool bucketsFull = aBuckets.size() >= kMaximumBuckets;
  return aBuckets
    .try_emplace(bucketsFull ? Id{} : aId, Bucket{ this->settings.initialCredit, 0.0 })
    .first->second;
}

double RetryBudget::MaxCreditOf(const Bucket& aBucket) const
{
  return this->settings.maxCredit +
         this->settings.maxCreditPerRecentAttempt * aBucket.recentAttempts;
}

void RetryBudget::OnFirstAttempt(const AccountId& aAccount, const PoolId& aPool)
{
  ++this->firstAttempts;
  for (Bucket* bucket : { &this->BucketOf(this->accounts, aAccount),
                          &this->BucketOf(this->pools, aPool) }) {
    bucket->recentAttempts += 1.0;
    bucket->credit = std::min(bucket->credit + this->settings.creditPerFirstAttempt,
                              this->MaxCreditOf(*bucket));
  }
}

void RetryBudget::OnTime(TimePoint aNow)
{
  const auto elapsed = std::max(aNow - this->decayedAt, Duration::zero());
  const double decayFactor =
    std::exp(-ToSeconds(elapsed) / ToSeconds(this->settings.window));
  this->decayedAt = aNow;
  const auto decay = [this, decayFactor](auto& aBuckets) {
    for (auto& bucket : aBuckets | std::views::values) {
      bucket.recentAttempts *= decayFactor;
      bucket.credit = std::min(bucket.credit, this->MaxCreditOf(bucket));
    }
  };
  decay(this->accounts);
  decay(this->pools);
}

bool RetryBudget::TrySpend(const AccountId& aAccount,
                           const PoolId& aPool,
                           RetryCause aCause)
{
  auto& account = this->BucketOf(this->accounts, aAccount);
  auto& pool = this->BucketOf(this->pools, aPool);
  const double minPoolCredit =
    aCause == RetryCause::LostServer ? -this->settings.maxOverdraft : 0.0;
  const double minAccountCredit =
    minPoolCredit - this->settings.maxCreditPerRecentAttempt * pool.recentAttempts / 2;
  // Tolerance for rounding: 0.1 added ten times is slightly less than 1 in floating
  // point.
  constexpr double kRounding = 1e-9;
  if (account.credit - 1.0 < minAccountCredit - kRounding ||
      pool.credit - 1.0 < minPoolCredit - kRounding) {
    ++this->denied;
    return false;
  }
  account.credit -= 1.0;
  pool.credit -= 1.0;
  ++this->spent;
  return true;
}

nlohmann::json RetryBudget::Describe() const
{
  return { { "first_attempts", this->firstAttempts },
           { "spent", this->spent },
           { "denied", this->denied },
           { "accounts", this->accounts.size() },
           { "pools", this->pools.size() } };
}

} // namespace toucanstand
