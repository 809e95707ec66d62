#include "attempts/RetryBudget.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace toucanstand {

template<typename Id>
double& RetryBudget::BucketOf(Buckets<Id>& aBuckets, const Id& aId) const
{
  const auto found = aBuckets.find(aId);
  if (found != aBuckets.end()) {
    return found->second;
  }
  // Evicting a bucket instead would grant its owner the initial credit again. The shared
  // bucket is named by the empty id.
  const bool full = aBuckets.size() >= kMaximumBuckets;
  return aBuckets.try_emplace(full ? Id{} : aId, this->settings.initialCredit)
    .first->second;
}

void RetryBudget::OnFirstAttempt(const AccountId& aAccount, const PoolId& aPool)
{
  ++this->firstAttempts;
  for (double* bucket : { &this->BucketOf(this->accounts, aAccount),
                          &this->BucketOf(this->pools, aPool) }) {
    *bucket = std::min(*bucket + this->settings.share, this->settings.largestCredit);
  }
}

bool RetryBudget::TrySpend(const AccountId& aAccount,
                           const PoolId& aPool,
                           RetryCause aCause)
{
  double& account = this->BucketOf(this->accounts, aAccount);
  double& pool = this->BucketOf(this->pools, aPool);
  const double lowest =
    aCause == RetryCause::LostServer ? -this->settings.largestOverdraft : 0.0;
  // Ten shares of 0.1 add up to slightly less than 1 in floating point.
  constexpr double kRounding = 1e-9;
  if (std::min(account, pool) - 1.0 < lowest - kRounding) {
    ++this->denied;
    return false;
  }
  account -= 1.0;
  pool -= 1.0;
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
