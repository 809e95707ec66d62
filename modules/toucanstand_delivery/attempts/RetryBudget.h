#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include <nlohmann/json_fwd.hpp>

#include "identifiers/Identifiers.h"
#include "time/BootClock.h"

namespace toucanstand {

/// Why a retry is wanted; decides whether the budget may be overdrawn.
enum class RetryCause
{
  /// The failure also occurs under overload: the retry needs credit.
  MayBeOverload,
  /// A server or connection was lost: bounded overdraft is allowed, because the number of
  /// such retries is limited by what the lost server was running.
  LostServer,
};

/// How many retries one entry VM allows.
struct RetryBudgetSettings
{
  /// Retries earned by one first attempt.
  double creditPerFirstAttempt = 0.1;
  /// Lets an account with few requests retry once.
  double initialCredit = 1.0;
  /// Bounds the burst of retries after a long quiet period.
  double maxCredit = 20.0;
  /// Credit that may be held beyond that, relative to the first attempts of the last
  /// window: a lost server costs many retries at once, and the rest of the time few.
  double maxCreditPerRecentAttempt = 0.0;
  Duration window = std::chrono::seconds(10);
  /// About what one entry VM has in flight on a third of a pool of 50 engines.
  double maxOverdraft = 64.0;
};

/// Limits retries to a share of the first attempts, per account and per pool.
///
/// Both buckets must allow a retry. In any period, retries to one pool are at most the
/// share of its first attempts plus the largest credit plus the largest overdraft. An
/// account may be overdrawn by half of what its pool may hold for recent attempts.
class RetryBudget
{
public:
  RetryBudget() = default;
  explicit RetryBudget(RetryBudgetSettings aSettings)
    : settings(aSettings)
  {
  }

  /// Replaces the limits; credit that was earned stays.
  void Configure(const RetryBudgetSettings& aSettings) { this->settings = aSettings; }

  /// Call it some times in each window where recent attempts count.
  void OnTime(TimePoint aNow);

  /// Accounts or pools beyond this number share one bucket.
  static constexpr std::size_t kMaximumBuckets = 4096;

  /// Earns credit; call it for the first attempt of each request.
  void OnFirstAttempt(const AccountId& aAccount, const PoolId& aPool);

  /// Spends one retry. False, and nothing is spent, when either bucket is exhausted.
  [[nodiscard]] bool TrySpend(const AccountId& aAccount,
                              const PoolId& aPool,
                              RetryCause aCause);

  [[nodiscard]] std::uint64_t Spent() const { return this->spent; }
  [[nodiscard]] std::uint64_t Denied() const { return this->denied; }
  [[nodiscard]] nlohmann::json Describe() const;

private:
  struct Bucket
  {
    double credit = 0;
    /// First attempts, each of which fades over a window.
    double recentAttempts = 0;
  };

  template<typename Id>
  using Buckets = std::unordered_map<Id, Bucket>;

  template<typename Id>
  Bucket& BucketOf(Buckets<Id>& aBuckets, const Id& aId) const;
  [[nodiscard]] double MaxCreditOf(const Bucket& aBucket) const;

  RetryBudgetSettings settings;
  Buckets<AccountId> accounts;
  Buckets<PoolId> pools;
  TimePoint decayedAt{};
  std::uint64_t firstAttempts = 0;
  std::uint64_t spent = 0;
  std::uint64_t denied = 0;
};

} // namespace toucanstand
